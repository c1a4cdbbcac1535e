#include "vanillahall/core/budget/outage_share_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

std::uint64_t secondShare(std::uint64_t budget, std::uint32_t percent)
{
    constexpr std::uint64_t Whole = 100;
    return budget / Whole * percent + budget % Whole * percent / Whole;
}

OutageShare::OutageShare(std::uint32_t percent)
    : m_percent(percent)
{
}

std::uint64_t OutageShare::tokens(const Program &program)
{
    std::uint64_t sum = 0;
    for (const auto &[name, turn] : program.turns) {
        sum += turn.tokens;
    }
    return sum;
}

OutageShare::Program *OutageShare::findOrAdd(const std::string &program, TimePoint now)
{
    auto it = m_programs.find(program);
    if (it == m_programs.end()) {
        if (m_programs.size() >= MaxOutagePrograms) {
            std::erase_if(m_programs, [now](const auto &entry) {
                return now - entry.second.lastUse >= OutageProgramMinLifetime;
            });
        }
        if (m_programs.size() >= MaxOutagePrograms) {
            return nullptr;
        }
        it = m_programs.try_emplace(program).first;
    }
    it->second.lastUse = now;
    return &it->second;
}

OutageAnswer OutageShare::grant(const OutageGrantRequest &request, OwnerRight right, TimePoint now)
{
    if (right == OwnerRight::None) {
        return OutageNotOwner{};
    }
    if (right == OwnerRight::Quarantined) {
        return OutageShareSpent{};
    }
    auto *program = findOrAdd(request.program, now);
    if (program == nullptr) {
        return OutageNotOwner{};
    }
    program->budget = std::min(program->budget, request.budget);
    const auto known = program->turns.find(request.turn);
    if (known != program->turns.end()) {
        return known->second.isGranted ? OutageAnswer(OutageGranted{}) : OutageAnswer(OutageShareSpent{});
    }
    const auto share = secondShare(program->budget, m_percent);
    const auto granted = tokens(*program);
    const bool fits = granted <= share && request.maxTokens <= share - granted;
    const auto &version = request.streamVersion;
    const bool isNewVersion = version && std::find(program->versions.begin(), program->versions.end(), *version) == program->versions.end();
    const bool hasRoom = program->turns.size() < MaxOutageTurns && !(isNewVersion && program->versions.size() >= MaxOutageTurns);
    if (program->isClosed || !fits || !hasRoom) {
        return OutageShareSpent{};
    }
    program->turns[request.turn] = {request.maxTokens, now + request.timeLeft + OutageReportGrace, true, false};
    if (isNewVersion) {
        program->versions.push_back(*version);
    }
    return OutageGranted{};
}

void OutageShare::report(const OutageReport &report, TimePoint now)
{
    auto *program = findOrAdd(report.program, now);
    if (program == nullptr) {
        return;
    }
    const auto it = program->turns.find(report.turn);
    if (it == program->turns.end()) {
        // The report has overtaken the request, which mustn't count any more.
        if (program->turns.size() < MaxOutageTurns) {
            program->turns[report.turn] = {report.used, now, false, true};
        }
        return;
    }
    it->second.tokens = it->second.isReported ? it->second.tokens : std::min(it->second.tokens, report.used);
    it->second.isReported = true;
}

OutageCloseAnswer OutageShare::close(const std::string &program, OwnerRight right, TimePoint now)
{
    if (right != OwnerRight::Full) {
        return right == OwnerRight::None ? OutageCloseAnswer(OutageNotOwner{}) : OutageCloseAnswer(OutageUnsettled{});
    }
    auto *known = findOrAdd(program, now);
    if (known == nullptr) {
        return OutageNotOwner{};
    }
    known->isClosed = true;
    const bool areAllSettled = std::all_of(known->turns.begin(), known->turns.end(), [now](const auto &it) {
        return it.second.isReported || now >= it.second.endsBy;
    });
    return areAllSettled ? OutageCloseAnswer(OutageClosed{tokens(*known)}) : OutageCloseAnswer(OutageUnsettled{});
}

void OutageShare::removeIdle(TimePoint now)
{
    std::erase_if(m_programs, [now](const auto &it) {
        return now - it.second.lastUse >= OutageProgramLifetime;
    });
}

std::optional<std::vector<SoftwareVersion>> OutageShare::streamVersions(const std::string &program, OwnerRight right) const
{
    if (right != OwnerRight::Full) {
        return std::nullopt;
    }
    const auto it = m_programs.find(program);
    return it == m_programs.end() ? std::vector<SoftwareVersion>() : it->second.versions;
}

std::size_t OutageShare::size() const
{
    return m_programs.size();
}

} // namespace Vanillahall::Forward
