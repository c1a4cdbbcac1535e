#include "vanillahall/core/customer/programs_in_progress_base.h"

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

std::uint64_t programHash(const ProgramHints &hints)
{
    return XXH3_64bits_withSeed(hints.program.data(), hints.program.size(), XXH3_64bits(hints.customer.data(), hints.customer.size()));
}

} // namespace

void ProgramsInProgress::record(const ProgramHints &hints, TimePoint now)
{
    if (hints.program.empty()) {
        return;
    }
    const auto hash = programHash(hints);
    const auto it = m_byHash.find(hash);
    if (it != m_byHash.end()) {
        it->second->servedAt = now;
        m_programs.splice(m_programs.end(), m_programs, it->second);
    } else {
        m_byHash[hash] = m_programs.insert(m_programs.end(), {hash, now});
    }
    while (m_programs.size() > MaxProgramsInProgress || m_programs.front().servedAt + ProgramMemoryTime < now) {
        m_byHash.erase(m_programs.front().hash);
        m_programs.pop_front();
    }
}

bool ProgramsInProgress::contains(const ProgramHints &hints, TimePoint now) const
{
    const bool isSubAgent = !hints.session.empty() && hints.session != hints.program;
    if (!hints.isModelRoute || hints.hasPreviousTurn || isSubAgent) {
        return true;
    }
    const auto it = hints.program.empty() ? m_byHash.end() : m_byHash.find(programHash(hints));
    return it != m_byHash.end() && now - it->second->servedAt <= ProgramMemoryTime;
}

std::size_t ProgramsInProgress::size() const
{
    return m_programs.size();
}

} // namespace Vanillahall::Forward
