#include "vanillahall/core/budget/obtained_grants_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

void ObtainedGrants::recordVersion(std::uint64_t version)
{
    m_firstVersion = m_firstVersion.value_or(version);
}

void ObtainedGrants::add(const OutageGrantRequest &request, TimePoint now)
{
    if (m_grants.size() >= MaxObtainedGrants) {
        m_isOverflown = true;
        return;
    }
    const auto endsIn = request.timeLeft + OutageReportGrace;
    m_grants[request.turn] = {{request.program, request.turn, request.maxTokens, endsIn, false, request.streamVersion}, now};
}

void ObtainedGrants::report(const OutageReport &report)
{
    const auto it = m_grants.find(report.turn);
    if (it != m_grants.end() && !it->second.record.isReported) {
        it->second.record.isReported = true;
        it->second.record.tokens = std::min(it->second.record.tokens, report.used);
    }
}

std::optional<GrantTestimony> ObtainedGrants::testify(const std::vector<std::uint32_t> &partitions, TimePoint now)
{
    if (!m_firstVersion || m_isOverflown) {
        return std::nullopt;
    }
    GrantTestimony testimony{*m_firstVersion, {}};
    for (const auto it : partitions) {
        m_testifiedAt.at(it) = now;
    }
    for (const auto &[name, grant] : m_grants) {
        const auto partition = budgetPartition(grant.record.program);
        if (std::find(partitions.begin(), partitions.end(), partition) == partitions.end()) {
            continue;
        }
        testimony.turns.push_back(grant.record);
        auto &left = testimony.turns.back().timeLeft;
        left = std::max(left - (now - grant.addedAt), Duration::zero());
    }
    return testimony;
}

void ObtainedGrants::removeExpired(TimePoint now)
{
    std::erase_if(m_grants, [now](const auto &it) {
        return now - it.second.addedAt >= ObtainedGrantLifetime;
    });
    m_isOverflown = m_isOverflown && !m_grants.empty();
}

bool ObtainedGrants::isFenced(std::uint32_t partition, TimePoint requestedAt) const
{
    return requestedAt <= m_testifiedAt.at(partition);
}

GrantInquiry::GrantInquiry(std::vector<ClaimedPartition> claims, const std::vector<std::string> &members)
    : m_claims(std::move(claims))
    , m_waiting(members.begin(), members.end())
{
}

void GrantInquiry::onTestimony(const std::string &member, std::uint64_t since)
{
    if (m_waiting.erase(member) != 0) {
        m_latestStart = std::max(m_latestStart, since);
    }
}

std::vector<std::uint32_t> GrantInquiry::partitions() const
{
    std::vector<std::uint32_t> list;
    list.reserve(m_claims.size());
    for (const auto &it : m_claims) {
        list.push_back(it.partition);
    }
    return list;
}

const std::set<std::string> &GrantInquiry::waiting() const
{
    return m_waiting;
}

std::vector<ClaimedPartition> GrantInquiry::settled() const
{
    std::vector<ClaimedPartition> list;
    std::copy_if(m_claims.begin(), m_claims.end(), std::back_inserter(list), [this](const auto &it) {
        return m_waiting.empty() && m_latestStart < it.formerLedger.seenVersion;
    });
    return list;
}

} // namespace Vanillahall::Forward
