/** Share of one entry in the request rate that the deployment may put on the platform's store. */
#pragma once

#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>

namespace Vanillahall {

/** Request rates that the whole deployment may put on the store. */
struct StoreBudgetSettings
{
    std::uint32_t writesPerSecond = 300;      ///< Transactions and object writes of all entries together.
    std::uint32_t readsPerSecond = 1500;      ///< Row reads and scan pages of all entries together.
    Duration burst = std::chrono::seconds(1); ///< Unused reads accumulate for at most this long.
};

/**
 * Divides the budget without a coordinator: every entry knows approximately how many entries there are and uses an equal share.
 * Lease renewals take precedence: their interval is never increased so far that a failed renewal can't be retried in time.
 */
class StoreBudget
{
public:
    /**
     * @param settings Budget of the whole deployment.
     * @param log Settings of leases and journals.
     */
    StoreBudget(StoreBudgetSettings settings, ShardLogSettings log);

    // Commands.

    /** Sets the number of entries that share the budget, including this one; 0 is treated as 1. */
    void setEntries(std::uint32_t entries);
    /** Sets the number of shards that this entry holds; 0 is treated as 1. */
    void setShards(std::uint32_t shards);
    /** Consumes one read of the budget. @return False if the budget is used up at present. */
    bool tryConsumeRead(Now now);

    // Queries.

    /** @return Shortest time between two transactions of one shard. */
    [[nodiscard]] Duration commitWindow() const;
    /** @return Longest time between two renewals of one shard. */
    [[nodiscard]] Duration renewInterval() const;
    /** @return False if renewing the leases alone exceeds this entry's share of the writes. */
    [[nodiscard]] bool leasesFit() const;
    /** @return This entry's share, in writes per second. */
    [[nodiscard]] double writeShare() const;
    /** @return This entry's share, in reads per second. */
    [[nodiscard]] double readShare() const;

private:
    StoreBudgetSettings m_settings;
    ShardLogSettings m_log;
    std::uint32_t m_entries = 1;
    std::uint32_t m_shards = 1;
    double m_availableReads = 0;
    TimePoint m_lastRefill;
    bool m_isInitialized = false;
};

} // namespace Vanillahall
