/** One shard's lease and journal: taking, renewing, group commit, recovery, handing over. */
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

/** A request to the store by a shard log. The owner gives it a number and returns the answer with it. */
struct ShardStoreRequest
{
    StoreRequestId request; ///< Taken from ShardLogOutput::nextRequest.
    StoreRequest body;      ///< What to ask.
};

/** A request for a promise, to one successor. */
struct ShardPromiseRequest
{
    EntryName successor;    ///< Whom to ask.
    PromiseRequest message; ///< What to ask.
};

/** What a shard log asks to be done. Filled by its commands, drained by the owner. */
struct ShardLogOutput
{
    StoreRequestId nextRequest;                ///< In: the next free number; out: advanced past those used.
    std::vector<ShardStoreRequest> store;      ///< Requests to the store.
    std::vector<ShardPromiseRequest> promises; ///< Requests to successors.
    std::vector<JournalRecord> recovered;      ///< Records read back after a takeover, in order.
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
     * @param incarnation This run of it.
     * @param settings How leases and journals work.
     */
    ShardLog(ShardId shard, EntryName self, Incarnation incarnation, ShardLogSettings settings);
    ~ShardLog();
    ShardLog(ShardLog &&) noexcept;
    ShardLog &operator=(ShardLog &&) noexcept;

    // Commands.

    /** Creates the shard's row; the phase becomes Claiming. */
    void create(Now now, ShardLogOutput &out);

    /**
     * Takes over a shard whose lease has lapsed or was handed over.
     * @param lease The row as last seen. The write is conditional on its version.
     */
    void takeOver(const StoredRow &lease, Now now, ShardLogOutput &out);

    /**
     * Takes over by reading the row first, if it still has the version that was seen.
     * @param version Version whose lease has lapsed, as told by the holder's last heartbeat; 0 takes whatever is there,
     *                which is allowed only for a row that names no owner.
     */
    void takeOverVersion(RowVersion version, Now now, ShardLogOutput &out);

    /**
     * Adds a record to the journal. It is written with the next group commit.
     * @pre The phase is Held or Lapsed, and handOver() wasn't called.
     * @return Its position; compare with durable().
     */
    RecordNumber append(JournalRecord record, Now now, ShardLogOutput &out);

    /** Renews, commits, asks for promises, as due. */
    void tick(Now now, ShardLogOutput &out);

    /**
     * Takes in an answer of the store.
     * @return True if the request was this shard's.
     */
    bool onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ShardLogOutput &out);

    /** Takes in a successor's promise. */
    void onPromise(const EntryName &from, const PromiseAnswer &answer, Now now);

    /**
     * Takes in a heartbeat of another entry that names this shard. A newer epoch than this entry's shows that the shard is lost.
     * Call it before the heartbeat goes to LeaseMonitor, so that no takeover begins beside a log that is still here.
     */
    void onOtherHolder(const HeldLease &lease, ShardLogOutput &out);

    /** Sets who is named as successor with the next renewal. */
    void setSuccessors(std::vector<EntryName> names);

    /**
     * Sets this shard's share of the store's write budget; see StoreBudget.
     * @param commitWindow Shortest time between two transactions.
     * @param renewInterval Longest time between two renewals.
     */
    void setWriteIntervals(Duration commitWindow, Duration renewInterval);

    /**
     * Writes the whole live state as a snapshot, if isSnapshotDue().
     * @param live Records that rebuild the live state up to the newest record.
     */
    void writeSnapshot(std::vector<JournalRecord> live, Now now, ShardLogOutput &out);

    /**
     * Gives the shard away once everything appended is durable: the row then names no owner and `to` as successor.
     * From the moment the write is sent nothing may be ordered any more; the phase becomes Lost when it has succeeded.
     * @param to Who shall take it; empty if the shard has no live program and is to be retired.
     */
    void handOver(const EntryName &to, Now now, ShardLogOutput &out);

    // Queries.

    [[nodiscard]] ShardId shard() const;
    [[nodiscard]] ShardPhase phase() const;
    [[nodiscard]] Epoch epoch() const;
    /** @return Until when orders may be given, on this entry's clock. Past when nothing may be ordered. */
    [[nodiscard]] TimePoint validUntil() const;
    /** @return True while orders may be given. */
    [[nodiscard]] bool canOrder(TimePoint now) const;
    /** @return Newest record that the store has. */
    [[nodiscard]] RecordNumber durable() const;
    /** @return Newest record appended. */
    [[nodiscard]] RecordNumber appended() const;
    /** @return True if the segments since the last snapshot are so many or so large that a snapshot pays. */
    [[nodiscard]] bool isSnapshotDue() const;
    /** @return True if the last request to the store failed, or a write has waited for half its time limit, and none has succeeded since.
     */
    [[nodiscard]] bool isStoreUnavailable() const;
    /** @return The lease for heartbeats. */
    [[nodiscard]] HeldLease heldLease() const;
    /** @return True once handOver() was called. */
    [[nodiscard]] bool isHandingOver() const;
    /** @return The lease row that showed the shard to be Lost, for LeaseMonitor::onTakeOverEnded(); nothing if none was read. */
    [[nodiscard]] const std::optional<StoredRow> &conflictingRow() const;

private:
    std::unique_ptr<ShardLogState> m_state;
};

} // namespace Vanillahall
