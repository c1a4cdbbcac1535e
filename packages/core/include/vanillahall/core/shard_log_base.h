/** Lease and journal of one shard: takeover, renewal, group commit, recovery and hand-over. */
#pragma once

#include "vanillahall/core/log_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/store_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Vanillahall {

/** A request of a shard log to the store. The owner sends it and passes the reply with the same number to onStoreReply(). */
struct ShardStoreRequest
{
    StoreRequestId request; ///< Taken from ShardLogOutput::nextRequest.
    StoreRequest body;      ///< Content of the request.
};

/** A request for a promise to one successor. */
struct ShardPromiseRequest
{
    EntryName successor;    ///< Entry that the request goes to.
    PromiseRequest message; ///< The request.
};

/** Actions requested by a shard log. Filled by its commands, drained by the owner. */
struct ShardLogOutput
{
    StoreRequestId nextRequest;                ///< In: next free number; out: advanced past the numbers used.
    std::vector<ShardStoreRequest> store;      ///< Requests to the store.
    std::vector<ShardPromiseRequest> promises; ///< Requests for promises, to successors.
    std::vector<JournalRecord> recovered;      ///< Records read from the journal after a takeover, in order.
    std::vector<WriteLog> logs;                ///< Log lines.
};

struct ShardLogState;

/** Lease and journal of one shard at one entry. */
class ShardLog
{
public:
    /**
     * @param shard Which shard.
     * @param self This entry.
     * @param incarnation Incarnation of this entry's process.
     * @param settings Settings of leases and journals.
     */
    ShardLog(ShardId shard, EntryName self, Incarnation incarnation, ShardLogSettings settings);
    ~ShardLog();
    ShardLog(ShardLog &&) noexcept;
    ShardLog &operator=(ShardLog &&) noexcept;

    // Commands.

    /** Creates the row of a new shard; the phase becomes Claiming. */
    void create(Now now, ShardLogOutput &out);

    /**
     * Takes over a shard whose lease has expired or that was handed over.
     * @param lease The row as last read. The write is conditional on its version.
     */
    void takeOver(const StoredRow &lease, Now now, ShardLogOutput &out);

    /**
     * Takes over after reading the row, if the row still has the given version.
     * @param version Version whose lease has expired, as reported by the last heartbeat of the holder; 0 accepts any version,
     *                but only if the row names no owner.
     */
    void takeOverVersion(RowVersion version, Now now, ShardLogOutput &out);

    /**
     * Appends a record to the journal. It is written with the next group commit.
     * @pre The phase is Held or Lapsed, and handOver() wasn't called.
     * @return Position of the record; it is durable once durable() has reached it.
     */
    RecordNumber append(JournalRecord record, Now now, ShardLogOutput &out);

    /** Renews the lease, commits records and requests promises when these are due. */
    void tick(Now now, ShardLogOutput &out);

    /**
     * Processes a reply of the store.
     * @return True if the request was sent by this shard log.
     */
    bool onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ShardLogOutput &out);

    /** Processes the reply of a successor to a request for a promise. */
    void onPromise(const EntryName &from, const PromiseAnswer &answer, Now now);

    /**
     * Processes a lease of this shard named by the heartbeat of another entry. An epoch newer than this entry's shows that the shard is
     * lost. Has to be called before the heartbeat is passed to LeaseMonitor, so that no takeover starts while this log still exists.
     */
    void onOtherHolder(const HeldLease &lease, ShardLogOutput &out);

    /** Sets the successors that the next renewal names. */
    void setSuccessors(std::vector<EntryName> names);

    /**
     * Sets the intervals that keep this shard within its share of the store's write budget; see StoreBudget.
     * @param commitWindow Shortest time between two transactions.
     * @param renewInterval Longest time between two renewals.
     */
    void setWriteIntervals(Duration commitWindow, Duration renewInterval);

    /**
     * Writes the whole live state as a snapshot, if isSnapshotDue().
     * @param live Records that rebuild the live state up to the newest record appended.
     */
    void writeSnapshot(std::vector<JournalRecord> live, Now now, ShardLogOutput &out);

    /**
     * Hands the shard over once all appended records are durable: the row then names no owner, and `to` as successor.
     * No calls may be ordered once the write is sent; the phase becomes Lost when the write has succeeded.
     * @param to Entry that is to take over; empty if the shard has no live program and is to be retired.
     */
    void handOver(const EntryName &to, Now now, ShardLogOutput &out);

    // Queries.

    [[nodiscard]] ShardId shard() const;
    [[nodiscard]] ShardPhase phase() const;
    [[nodiscard]] Epoch epoch() const;
    /** @return End of the lease on this entry's clock; no calls may be ordered after it. */
    [[nodiscard]] TimePoint validUntil() const;
    /** @return True while calls may be ordered. */
    [[nodiscard]] bool canOrder(TimePoint now) const;
    /** @return Newest record that is durable in the store. */
    [[nodiscard]] RecordNumber durable() const;
    /** @return Newest record appended. */
    [[nodiscard]] RecordNumber appended() const;
    /** @return True if the number or size of the segments since the last snapshot calls for a new snapshot. */
    [[nodiscard]] bool isSnapshotDue() const;
    /** @return True if the last request to the store failed or a write has had no reply for half its time-out, until the next success. */
    [[nodiscard]] bool isStoreUnavailable() const;
    /** @return The lease as reported in heartbeats. */
    [[nodiscard]] HeldLease heldLease() const;
    /** @return True once handOver() was called. */
    [[nodiscard]] bool isHandingOver() const;
    /** @return The lease row that showed that the shard is Lost, for LeaseMonitor::onTakeOverEnded(); nothing if none was read. */
    [[nodiscard]] const std::optional<StoredRow> &conflictingRow() const;

private:
    std::unique_ptr<ShardLogState> m_state;
};

} // namespace Vanillahall
