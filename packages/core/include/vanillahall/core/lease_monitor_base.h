/** Leases of other entries: when may this entry take over one of their shards. */
#pragma once

#include "vanillahall/core/message_type.h"
#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/store_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace Vanillahall {

/** A shard whose lease has lapsed; for ShardLog::takeOverVersion(). */
struct TakeOverDue
{
    ShardId shard;      ///< Which shard.
    RowVersion version; ///< Version of the row whose lease has lapsed.
};

/** What is due for the shards of others. */
struct LeaseMonitorDue
{
    /**
     * Take these over; then call onTakeOverEnded() once it is decided.
     * If an earlier ShardLog of the shard is still here, keep it, begin nothing, and call onTakeOverEnded() at once:
     * either it is the holder, and an earlier holder doesn't know yet, or it has yet to learn from the store that it is lost.
     */
    std::vector<TakeOverDue> takeOvers;
    std::vector<ShardId> reads;            ///< Read these lease rows and give them to onRow().
    std::optional<StoreScan> scan;         ///< A page of the search for orphans; its rows go to onScan().
    std::vector<StoreTransaction> removes; ///< Rows of retired shards to remove; the answers don't matter.
};

struct LeaseMonitorState;

/**
 * Watches the leases of other entries.
 * It trusts only that a row had a version at some moment before it was told so, and never compares clocks.
 */
class LeaseMonitor
{
public:
    /**
     * @param self This entry.
     * @param incarnation This run of it.
     * @param settings How leases work.
     * @param heartbeat Time between two EntryStatus messages of an entry.
     */
    LeaseMonitor(EntryName self, Incarnation incarnation, ShardLogSettings settings, Duration heartbeat);
    ~LeaseMonitor();
    LeaseMonitor(LeaseMonitor &&) noexcept;
    LeaseMonitor &operator=(LeaseMonitor &&) noexcept;

    // Commands.

    /**
     * Takes in a heartbeat.
     * A shard that it named before and doesn't name any more was handed over or lost: its row is read at once.
     */
    void onStatus(const EntryStatus &status, Now now);

    /** The connection to an entry is lost; its lease rows are read soon. */
    void onLost(const EntryName &entry, Now now);

    /**
     * Takes in a lease row that was read from the store.
     * @param row The row; may be an old version.
     */
    void onRow(const StoredRow &row, Now now);

    /** A lease row was read and doesn't exist. */
    void onMissing(ShardId shard);

    /** Takes in a page of the search for orphans. */
    void onScan(const StoreRows &page, Now now);

    /** The page could not be read; the search starts again later. */
    void onScanFailed(Now now);

    /**
     * Answers a holder that can't reach the store.
     * @param isStoreUnavailable True if this entry can't reach the store either.
     */
    PromiseAnswer onPromiseRequest(const PromiseRequest &request, bool isStoreUnavailable, Now now);

    /**
     * Finds what is due.
     * @param isStoreUnavailable True if this entry can't reach the store; nothing is due then.
     */
    LeaseMonitorDue tick(bool isStoreUnavailable, Now now);

    /**
     * A takeover that tick() or the owner began is decided: the ShardLog's phase is no longer Claiming.
     * Until then no promise is given for the shard, so a ShardLog that is Claiming must never be dropped.
     * @param held True if this entry has the shard now.
     * @param row The row that stood against it, if the takeover failed; see ShardLog::conflictingRow().
     */
    void onTakeOverEnded(ShardId shard, bool held, const std::optional<StoredRow> &row, Now now);

    /** The owner begins a takeover by itself, for example after a hand-over. */
    void onTakeOverBegun(ShardId shard);

    // Queries.

    /** @return Until when a promise forbids to take a shard over; nothing if none was given. */
    [[nodiscard]] std::optional<TimePoint> promisedUntil(ShardId shard) const;
    /** @return True if a takeover of the shard is under way. */
    [[nodiscard]] bool takingOver(ShardId shard) const;

private:
    std::unique_ptr<LeaseMonitorState> m_state;
};

} // namespace Vanillahall
