/**
 * Grants from second shares that this proxy has obtained or witnessed, and the inquiry by which the successor of a lost owner learns them.
 * Load pattern: an owner is killed at any time, also just after it has granted tokens that its row doesn't name yet. The proxies that
 * obtained them still know; one that was restarted since may have lost some, which the version of its first read of the store shows.
 */
#pragma once

#include "vanillahall/core/budget/budget_owners_base.h"

#include <array>
#include <map>
#include <set>

namespace Vanillahall::Forward {

/** Grants are remembered this long: until a successor has claimed the partition and the programs have ended. */
inline constexpr Duration ObtainedGrantLifetime = OutageShareQuarantine + BudgetTakeoverTime + std::chrono::seconds(60);
/** Grants that are remembered at most; about 6 MB. */
inline constexpr std::size_t MaxObtainedGrants = 20000;

/** What a proxy tells the successor of an owner. */
struct GrantTestimony
{
    std::uint64_t since{};               ///< Version of the store that it read first; grants to a former process are older.
    std::vector<OutageTurnRecord> turns; ///< Grants that it knows.
};

/** Grants that this proxy knows as one that asks. */
class ObtainedGrants
{
public:
    // Commands.

    /** Records the version of the store that a read has shown; the first one counts. */
    void recordVersion(std::uint64_t version);
    /** Records a granted turn. */
    void add(const OutageGrantRequest &request, TimePoint now);
    /** Records the end of a turn. */
    void report(const OutageReport &report);
    /**
     * Tells the grants of some partitions. Grants of former owners that were requested earlier mustn't be used any more, see isFenced().
     * @return Nothing if grants may be missing.
     */
    std::optional<GrantTestimony> testify(const std::vector<std::uint32_t> &partitions, TimePoint now);
    void removeExpired(TimePoint now);

    // Queries.

    /** @return True if a successor was told the grants of the partition after this time: a grant requested then may be unknown to it. */
    [[nodiscard]] bool isFenced(std::uint32_t partition, TimePoint requestedAt) const;

private:
    struct Grant
    {
        OutageTurnRecord record;
        TimePoint addedAt{};
    };

    std::map<std::string, Grant> m_grants; ///< Grants by the names of their turns.
    std::array<TimePoint, BudgetPartitions> m_testifiedAt{};
    std::optional<std::uint64_t> m_firstVersion;
    bool m_isOverflown = false; ///< True if grants weren't recorded for lack of room.
};

/** Collects what other proxies know of the grants of a lost owner. */
class GrantInquiry
{
public:
    /**
     * @param claims Partitions of one former owner.
     * @param members Names of all proxies that may have asked it, without this one and the former owner.
     */
    GrantInquiry(std::vector<ClaimedPartition> claims, const std::vector<std::string> &members);

    // Commands.

    /** Handles the testimony of a proxy. */
    void onTestimony(const std::string &member, std::uint64_t since);

    // Queries.

    [[nodiscard]] std::vector<std::uint32_t> partitions() const;
    /** @return Names of the proxies that haven't testified. */
    [[nodiscard]] const std::set<std::string> &waiting() const;
    /** @return Partitions whose grants are all known, once all have testified. */
    [[nodiscard]] std::vector<ClaimedPartition> settled() const;

private:
    std::vector<ClaimedPartition> m_claims;
    std::set<std::string> m_waiting;
    std::uint64_t m_latestStart = 0; ///< Greatest version that a proxy has read first.
};

} // namespace Vanillahall::Forward
