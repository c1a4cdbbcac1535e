#include "vanillahall/core/budget/outage_share_base.h"

#include "vanillahall/core/budget/budget_owners_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

std::uint64_t secondShare(std::uint64_t budget, std::uint32_t percent)
{
    constexpr std::uint64_t Whole = 100;
    return budget / Whole * percent + budget % Whole * percent / Whole;
}

namespace {

bool isListed(const std::vector<SoftwareVersion> &versions, const SoftwareVersion &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

} // namespace

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
    if (right != OwnerRight::Full) {
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
    const bool isNewVersion = version && !isListed(program->versions, *version);
    const bool hasRoom = program->turns.size() < MaxOutageTurns && !(isNewVersion && program->versions.size() >= MaxOutageTurns);
    if (program->isClosed || !fits || !hasRoom) {
        return OutageShareSpent{};
    }
    program->turns[request.turn] = {request.maxTokens, now + request.timeLeft + OutageReportGrace, true, false, version};
    m_withTurns.insert(request.program);
    addVersion(*program, version);
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
            m_withTurns.insert(report.program);
        }
        return;
    }
    it->second.tokens = it->second.isReported ? it->second.tokens : std::min(it->second.tokens, report.used);
    it->second.isReported = true;
}

OutageCloseAnswer OutageShare::close(const std::string &program, OwnerRight right, TimePoint now)
{
    if (right < OwnerRight::Settled) {
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

void OutageShare::addVersion(Program &program, const std::optional<SoftwareVersion> &version)
{
    if (version && !isListed(program.versions, *version)) {
        program.versions.push_back(*version);
    }
}

bool OutageShare::adopt(const std::vector<OutageTurnRecord> &turns, TimePoint now)
{
    bool haveAllRoom = true;
    for (const auto &it : turns) {
        auto *program = findOrAdd(it.program, now);
        if (program == nullptr) {
            haveAllRoom = false;
            continue;
        }
        addVersion(*program, it.streamVersion);
        const auto [turn, isNew]
            = program->turns.try_emplace(it.turn, Turn{it.tokens, now + it.timeLeft, false, it.isReported, it.streamVersion});
        if (!isNew && it.isReported && !turn->second.isReported) {
            turn->second.tokens = std::min(turn->second.tokens, it.tokens);
            turn->second.isReported = true;
        }
        m_withTurns.insert(it.program);
    }
    return haveAllRoom;
}

void OutageShare::removeIdle(TimePoint now)
{
    std::erase_if(m_programs, [now](const auto &it) {
        return now - it.second.lastUse >= OutageProgramLifetime;
    });
    std::erase_if(m_withTurns, [this](const auto &it) {
        return !m_programs.contains(it);
    });
}

std::optional<std::vector<OutageTurnRecord>> OutageShare::turns(std::uint32_t partition, TimePoint now) const
{
    std::vector<OutageTurnRecord> list;
    for (const auto &key : m_withTurns) {
        const auto program = m_programs.find(key);
        const bool isKnown = program != m_programs.end() && now - program->second.lastUse < OutageProgramMinLifetime;
        if (!isKnown || budgetPartition(key) != partition) {
            continue;
        }
        for (const auto &[name, turn] : program->second.turns) {
            const auto left = std::max(turn.endsBy - now, Duration::zero());
            list.push_back({key, name, turn.tokens, left, turn.isReported, turn.streamVersion});
        }
    }
    return list.size() <= MaxLedgerTurns ? std::optional(std::move(list)) : std::nullopt;
}

std::optional<std::vector<SoftwareVersion>> OutageShare::streamVersions(const std::string &program, OwnerRight right) const
{
    if (right < OwnerRight::Settled) {
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
