/** One entry's share of what the whole deployment may ask of the platform's store. */
#pragma once

#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>

namespace Vanillahall {

/** What the whole deployment may ask of the store. */
struct StoreBudgetSettings
{
    std::uint32_t writesPerSecond = 300;      ///< Transactions and object writes, all entries together.
    std::uint32_t readsPerSecond = 1500;      ///< Reads and scan pages, all entries together.
    Duration burst = std::chrono::seconds(1); ///< Reads not used are saved up for this long.
};

/**
 * Shares a budget without a coordinator: every entry knows about how many entries there are and uses its part.
 * Renewals come first: the interval between them is never stretched so far that a failed one can't be repeated in time.
 */
class StoreBudget
{
public:
    /**
     * @param settings The budget.
     * @param log How leases work.
     */
    StoreBudget(StoreBudgetSettings settings, ShardLogSettings log);

    // Commands.

    /** Sets how many entries share the budget, this one included; 0 counts as 1. */
    void setEntries(std::uint32_t entries);
    /** Sets how many shards this entry holds. */
    void setShards(std::uint32_t shards);
    /** Takes one read out of the budget. @return False if there is none left now. */
    bool tryConsumeRead(Now now);

    // Queries.

    /** @return Shortest time between two transactions of one shard. */
    [[nodiscard]] Duration commitWindow() const;
    /** @return Longest time between two renewals of one shard. */
    [[nodiscard]] Duration renewInterval() const;
    /** @return False if the leases alone exceed this entry's share of the writes. */
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
    double m_reads = 0;
    TimePoint m_filled;
    bool m_started = false;
};

} // namespace Vanillahall
