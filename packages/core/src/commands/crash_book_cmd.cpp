#include "vanillahall/core/crash_book_base.h"

namespace Vanillahall::Forward {

CrashCount CrashBook::broke(std::uint64_t content, TimePoint now)
{
    auto &own = m_own[content];
    own.breaks++;
    own.last = now;
    return {content, own.breaks};
}

bool CrashBook::worked(std::uint64_t content)
{
    m_others.erase(content);
    return m_own.erase(content) != 0;
}

void CrashBook::share(const std::vector<CrashCount> &others)
{
    m_others.clear();
    for (const auto &it : others) {
        m_others[it.content] += it.breaks;
    }
}

std::vector<std::uint64_t> CrashBook::forget(TimePoint now)
{
    std::vector<std::uint64_t> old;
    for (auto it = m_own.begin(); it != m_own.end();) {
        if (now - it->second.last < CrashMemory) {
            ++it;
            continue;
        }
        old.push_back(it->first);
        it = m_own.erase(it);
    }
    return old;
}

} // namespace Vanillahall::Forward
