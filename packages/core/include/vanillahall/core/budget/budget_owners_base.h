/**
 * Owners of the partitions of programs, and their leases.
 * Load pattern: proxies are killed, frozen, cut off from the store and restarted at any time, and many start at once. Rows in the store
 * that change only on condition of their version name the owners; a lease by time makes an owner that can't reach the store stop before
 * there is another one.
 */
#pragma once

#include "vanillahall/core/budget/outage_share_base.h"

#include <array>
#include <set>

namespace Vanillahall::Forward {

/** Number of partitions of the programs; a proxy that is lost affects only the programs of its own. */
inline constexpr std::uint32_t BudgetPartitions = 64;

/** Row of one partition in the store. */
struct BudgetOwnerRow
{
    std::uint32_t partition{};    ///< Partition, below BudgetPartitions.
    std::string owner;            ///< Name of the owner's VM; empty if the last owner gave it up.
    std::string incarnation;      ///< Incarnation of the process that wrote the row.
    std::uint64_t term{};         ///< Grows with each change of the owner.
    std::uint64_t renewals{};     ///< Grows with each renewal.
    bool isClean = false;         ///< True if the last owner gave it up and had answered no request for OutageShareQuarantine.
    std::uint32_t sharePercent{}; ///< Share of the budgets that the owner may grant, in percent.
    std::uint64_t version{};      ///< Version of the row in the store; 0 if there is none.
    OutageLedger ledger = {};     ///< Grants of the owner and of former ones.
};

/** A partition that this proxy has claimed. */
struct ClaimedPartition
{
    std::uint32_t partition{};  ///< Partition.
    std::uint64_t term{};       ///< Term of this proxy.
    std::string formerOwner;    ///< Name of the VM of the former owner; empty if it has given the partition up.
    OutageLedger formerLedger;  ///< Grants that the former owner recorded last.
    bool areGrantsKnown = true; ///< True if the ledger names all grants that may be in use.
};

/** An owner's grants end this long after the start of its last successful renewal, by CLOCK_BOOTTIME. */
inline constexpr Duration BudgetLease = std::chrono::seconds(60);
/** A row whose renewal counter hasn't changed for this long may be claimed by another proxy; the margin covers clocks of unequal rates. */
inline constexpr Duration BudgetTakeoverTime = std::chrono::seconds(65);
/** After an owner was lost, its successor treats the second shares as spent for this long; programs that may have used them have ended by
 * then. */
inline constexpr Duration OutageShareQuarantine = std::chrono::seconds(150);
/** Interval between renewals; 64 owners then make 13 transactions per second. */
inline constexpr Duration BudgetRenewInterval = std::chrono::seconds(5);
/** A partition is handed over to another proxy once that has been preferred for this long: lists of live proxies differ for a while. */
inline constexpr Duration BudgetHandOverDelay = std::chrono::seconds(10);
/** Rows in one transaction: each takes a condition and a write. */
inline constexpr std::size_t MaxOwnerRowsPerWrite = 50;

/** @return Partition of a program. @param program Key of the program. */
[[nodiscard]] std::uint32_t budgetPartition(const std::string &program);

/** Knows the owners of all partitions, and claims, renews and gives up those of this proxy. */
class BudgetOwners
{
public:
    /**
     * @param self Name of this VM.
     * @param incarnation Unique for each start of the process.
     * @param sharePercent Size of the second share at this proxy, in percent.
     */
    BudgetOwners(std::string self, std::string incarnation, std::uint32_t sharePercent);

    // Commands.

    /** Handles a complete read of the rows. @param endedAt When its reply was received. */
    void onRowsRead(const std::vector<BudgetOwnerRow> &rows, TimePoint endedAt);
    /**
     * Starts the next write.
     * @param live Names of the live proxies.
     * @param share Grants of this proxy, to be recorded in the rows.
     * @return Rows to write in one transaction, on condition of their versions; none if nothing is due or a write is under way.
     */
    std::vector<BudgetOwnerRow> beginWrite(const std::vector<std::string> &live, const OutageShare &share, TimePoint now);
    /** Handles the success of the write. @param version New version of all its rows. */
    void onWritten(std::uint64_t version, TimePoint now);
    /** Handles the refusal of the write. @param rows Current rows of its conditions; a row that is missing doesn't exist. */
    void onConflict(const std::vector<BudgetOwnerRow> &rows, TimePoint now);
    /** Handles the write failing or having an unknown outcome; a later read shows it, or the same write is repeated. */
    void onWriteFailed();
    /** Records that a request about a program of a partition was answered as its owner. */
    void recordUse(std::uint32_t partition, TimePoint now);
    /** Gives up all partitions from now on, because the process stops. */
    void giveUpAll();
    /**
     * Makes the next write renew all partitions, and another one follow: a proxy that starts has lost the grants that its former process
     * got from this owner. The second record is newer than the start.
     */
    void renewSoon();
    /** @return Partitions claimed since the last call. */
    std::vector<ClaimedPartition> takeClaims();
    /** Records that all grants of the former owner of a claimed partition are known and adopted. */
    void recordGrantsKnown(const ClaimedPartition &claim);

    // Queries.

    /** @return What this proxy may do for the programs of a partition at this time. */
    [[nodiscard]] OwnerRight right(std::uint32_t partition, TimePoint now) const;
    /** @return True if the owner's grants to itself have to be known to another proxy, because its row says so or is about to. */
    [[nodiscard]] bool needsWitness(std::uint32_t partition) const;
    /** @return Name of the VM that owns a partition; empty if there is none, or its share has another size. */
    [[nodiscard]] std::string owner(std::uint32_t partition) const;
    /** @return True if partitions are to be renewed before their time. */
    [[nodiscard]] bool hasUrgentRenewals() const;
    /** @return Names of the VMs that own partitions. */
    [[nodiscard]] std::set<std::string> owners() const;
    /** @return Number of partitions that this proxy owns as far as known. */
    [[nodiscard]] std::size_t ownedCount() const;
    /** @return Number of partitions without a known owner. */
    [[nodiscard]] std::size_t ownerlessCount() const;

private:
    /** Write whose outcome isn't known. */
    struct PendingWrite
    {
        BudgetOwnerRow row;    ///< New row; its version is the expected one.
        TimePoint startedAt{}; ///< Start of its first attempt.
        bool isClaim = false;
        bool isQuarantined = false;  ///< True if the former owner may have granted tokens or closed shares.
        ClaimedPartition claim = {}; ///< What is known of the former owner, if it is a claim.
    };
    /** State of one partition. */
    struct Partition
    {
        BudgetOwnerRow row;                        ///< Last known row.
        TimePoint shownAt{};                       ///< End of the call that first showed it.
        bool wasSeen = false;                      ///< True if there ever was a row.
        std::optional<PendingWrite> pending;       ///< Write whose outcome isn't known.
        bool isOwned = false;                      ///< True if the known row names this process.
        bool isGivingUp = false;                   ///< True once the row is being given up; ends the grants.
        std::optional<TimePoint> leaseStart;       ///< Start of the last successful claim or renewal.
        TimePoint renewedAt{};                     ///< When a renewal was last started.
        TimePoint quarantineEnd{};                 ///< Until then, grants of a former owner may be in use.
        std::optional<TimePoint> lastUse;          ///< Last request that was answered as the owner.
        std::optional<TimePoint> otherPreferredAt; ///< Since when another proxy has been preferred.
        bool areGrantsKnown = true;                ///< True if all grants of former owners are known.
        unsigned urgentRenewals = 0;               ///< Renewals to make without waiting for their time.
    };

    void applyRow(Partition &partition, const BudgetOwnerRow &row, TimePoint shownAt);
    void applyPending(Partition &partition, TimePoint shownAt);
    [[nodiscard]] bool isOwnRow(const BudgetOwnerRow &row) const;
    /** @return True if a former process of this VM owns the row; it has ended. */
    [[nodiscard]] bool isFormerOwnRow(const BudgetOwnerRow &row) const;
    /** @return What the next row of a partition records. */
    [[nodiscard]] OutageLedger makeLedger(const Partition &partition, const OutageShare &share, TimePoint now) const;
    [[nodiscard]] bool canClaim(const Partition &partition, TimePoint now) const;
    /** @return True if no program in progress can have got tokens from this owner or a former one. */
    static bool isClean(const Partition &partition, TimePoint now);
    void beginRenewal(Partition &partition, const OutageShare &share, TimePoint now) const;
    void beginClaim(Partition &partition, TimePoint now) const;
    void beginGiveUp(Partition &partition, const OutageShare &share, TimePoint now) const;
    void updatePreference(Partition &partition, const std::string &preferred, TimePoint now) const;

    std::string m_self;
    std::string m_incarnation;
    std::uint32_t m_sharePercent;
    std::array<Partition, BudgetPartitions> m_partitions;
    std::vector<std::uint32_t> m_written;   ///< Partitions of the write that is under way.
    std::vector<ClaimedPartition> m_claims; ///< Partitions claimed since takeClaims().
    bool m_hasOthers = false;               ///< True if other proxies were known at the last beginWrite().
    bool m_wasGreeted = false;              ///< True from renewSoon() until other proxies are listed as alive.
    bool m_isWriting = false;
    bool m_wasRead = false;
    bool m_isStopping = false;
};

/** Decides about the tokens of a turn with the right of this proxy, and records a grant as use of the partition. */
OutageAnswer grantAsOwner(BudgetOwners &owners, OutageShare &share, const OutageGrantRequest &request, TimePoint now);
/**
 * Ends the grants to a program with the right of this proxy. Counts as use of the partition like a grant: a successor that doesn't know of
 * the closing would grant the share of a program whose row holds the rest of the budget.
 */
OutageCloseAnswer closeAsOwner(BudgetOwners &owners, OutageShare &share, const std::string &program, TimePoint now);

} // namespace Vanillahall::Forward
