/** Monitors the leases of other entries and decides when this entry may take over one of their shards. */
#pragma once

#include "vanillahall/core/message_type.h"
#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/store_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace Vanillahall {

/** A shard whose lease has expired; for ShardLog::takeOverVersion(). */
struct TakeOverDue
{
    ShardId shard;      ///< Which shard.
    RowVersion version; ///< Version of the row whose lease has expired.
};

/** Actions due for shards of other entries. */
struct LeaseMonitorDue
{
    /**
     * Shards to take over; the owner calls onTakeOverEnded() once a takeover has succeeded or failed.
     * If a ShardLog of the shard still exists at this entry, the owner keeps it, starts no takeover and calls onTakeOverEnded() at once:
     * either that log is the holder and an earlier holder hasn't noticed yet, or the log has not yet learnt from the store that it is Lost.
     */
    std::vector<TakeOverDue> takeOvers;
    std::vector<ShardId> reads;            ///< Lease rows to read; the rows are passed to onRow().
    std::optional<StoreScan> scan;         ///< Page of the scan for orphaned shards to read; its rows are passed to onScan().
    std::vector<StoreTransaction> removes; ///< Transactions that remove the rows of retired shards; their replies are ignored.
};

struct LeaseMonitorState;

/**
 * Monitors the leases of other entries.
 * Relies only on the fact that a row had a certain version at some time before this entry learnt of it; clocks of different entries are
 * never compared.
 */
class LeaseMonitor
{
public:
    /**
     * @param self This entry.
     * @param incarnation Incarnation of this entry's process.
     * @param settings Settings of leases.
     * @param heartbeat Interval of the EntryStatus messages of an entry.
     */
    LeaseMonitor(EntryName self, Incarnation incarnation, ShardLogSettings settings, Duration heartbeat);
    ~LeaseMonitor();
    LeaseMonitor(LeaseMonitor &&) noexcept;
    LeaseMonitor &operator=(LeaseMonitor &&) noexcept;

    // Commands.

    /**
     * Processes a heartbeat.
     * A shard that the entry's heartbeats no longer name was handed over or lost: its row is read at once.
     */
    void onStatus(const EntryStatus &status, Now now);

    /** Records that the connection to an entry was lost; the next tick() requests its lease rows. */
    void onLost(const EntryName &entry, Now now);

    /**
     * Processes a lease row that was read from the store.
     * @param row The row; may be an outdated version.
     */
    void onRow(const StoredRow &row, Now now);

    /** Records that a lease row was read and doesn't exist. */
    void onMissing(ShardId shard);

    /** Processes a page of the scan for orphaned shards. */
    void onScan(const StoreRows &page, Now now);

    /** Records that a page could not be read; the scan starts again at its next interval. */
    void onScanFailed(Now now);

    /**
     * Decides on the request of a holder that can't reach the store.
     * @param isStoreUnavailable True if this entry can't reach the store either; a promise is granted only then.
     */
    PromiseAnswer onPromiseRequest(const PromiseRequest &request, bool isStoreUnavailable, Now now);

    /**
     * Determines the actions that are due.
     * @param isStoreUnavailable True if this entry can't reach the store; no action is due then.
     */
    LeaseMonitorDue tick(bool isStoreUnavailable, Now now);

    /**
     * Records that a takeover started by tick() or by the owner has ended: the phase of the ShardLog is no longer Claiming.
     * Until then no promise is granted for the shard, so a ShardLog that is Claiming must never be destroyed.
     * @param held True if this entry holds the shard now.
     * @param row The row that made the takeover fail, if one was read; see ShardLog::conflictingRow().
     */
    void onTakeOverEnded(ShardId shard, bool held, const std::optional<StoredRow> &row, Now now);

    /** Records that the owner has started a takeover by itself, for example after a hand-over. */
    void onTakeOverBegun(ShardId shard);

    // Queries.

    /** @return Until when a promise forbids this entry to take over a shard; nothing if none was given. */
    [[nodiscard]] std::optional<TimePoint> promisedUntil(ShardId shard) const;
    /** @return True if a takeover of the shard is in progress. */
    [[nodiscard]] bool isTakingOver(ShardId shard) const;

private:
    std::unique_ptr<LeaseMonitorState> m_state;
};

} // namespace Vanillahall
