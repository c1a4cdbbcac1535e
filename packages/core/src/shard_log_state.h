/** State of ShardLog. Changed only by its commands. */
#pragma once

#include "vanillahall/core/shard_log_base.h"

#include <deque>
#include <set>
#include <string>

namespace Vanillahall {

/** Purpose of a write of the lease row. */
enum class LeaseWriteKind : std::uint8_t {
    Create,   ///< Creates the row.
    Claim,    ///< Takes the lease from another holder.
    Commit,   ///< Renews the lease and writes records.
    HandOver, ///< Hands the shard over.
};

/** A write of the lease row whose outcome isn't known yet. It is retried unchanged until the store has accepted or rejected it. */
struct LeaseWrite
{
    LeaseWriteKind kind = LeaseWriteKind::Commit; ///< Purpose of the write.
    StoreTransaction body;                        ///< The transaction that is sent; the same in every attempt.
    LeaseRow row;                                 ///< The row that it writes.
    std::uint64_t bytes{};                        ///< Size of the segments it writes.
    SegmentNumber cleanedUpTo;                    ///< Segments up to this one are removed once it has taken effect.
    std::size_t leftoverRowsRemoved{};            ///< Number of rows left by an earlier holder that it removes.
    std::uint32_t attempts{};                     ///< Number of attempts sent.
    TimePoint firstSent;                          ///< Time of the first attempt.
    TimePoint lastSent;                           ///< When the newest attempt or read of the row was sent.
    std::optional<StoreRequestId> attempt;        ///< The attempt in progress.
    std::optional<StoreRequestId> readBack;       ///< The read of the row in progress.
    bool isConflicted{};                          ///< True if the row doesn't have the expected version; the row has to be read.
};

/** A record that isn't durable in the store yet. */
struct PendingRecord
{
    RecordNumber number;  ///< Its position.
    JournalRecord record; ///< The record.
    std::size_t bytes{};  ///< Its size in bytes.
};

/** Progress of reading the journal after a takeover. */
struct JournalLoad
{
    bool snapshotRead{};                    ///< True once the snapshot was read, or if there is none.
    std::optional<StoreRequestId> request;  ///< The read in progress.
    TimePoint requestedAt;                  ///< When the newest read was sent.
    SegmentNumber lastSegment;              ///< Newest segment loaded.
    std::optional<RecordNumber> lastRecord; ///< Newest record loaded; nothing before the first one if its position isn't known.
    std::vector<JournalRecord> records;     ///< Records loaded.
    std::uint64_t segments{};               ///< Number of segments loaded.
    std::uint64_t bytes{};                  ///< Size of the segments loaded.
    std::uint64_t snapshotBytes{};          ///< Size of the snapshot.
};

/** Progress of a new snapshot. */
enum class SnapshotStep : std::uint8_t {
    None,           ///< No snapshot is in progress.
    AwaitingCommit, ///< The newest record of the snapshot isn't durable yet.
    Writing,        ///< The object is being written.
    Written,        ///< The object was written; the row doesn't refer to it yet.
};

/** A snapshot being written. */
struct SnapshotWrite
{
    SnapshotStep step = SnapshotStep::None; ///< Its progress.
    ObjectKey key;                          ///< The new object.
    ShardSnapshot body;                     ///< Its content; the records are discarded once the object was written.
    std::uint64_t bytes{};                  ///< Size of its records.
    std::optional<StoreRequestId> request;  ///< The write of the object in progress.
    TimePoint requestedAt;                  ///< When the write was sent.
};

/** Progress of removing segments and objects that a snapshot has made obsolete. */
struct JournalCleanup
{
    SegmentNumber cleanedUpTo;                   ///< Segments up to this one were removed.
    SegmentNumber scanEnd;                       ///< Segments up to this one may have been left by an earlier holder; 0 if there are none.
    std::optional<StoreRequestId> scan;          ///< The scan in progress.
    std::vector<RowKey> leftoverRows;            ///< Rows left by an earlier holder that the scan has found.
    std::vector<ObjectKey> obsoleteObjects;      ///< Objects to remove.
    std::optional<StoreRequestId> objectRemoval; ///< The removal in progress, of the first of `obsoleteObjects`.
    TimePoint requestedAt;                       ///< When the newest request was sent.
};

/** A round of requests for promises. */
struct PromiseRound
{
    std::uint64_t sequence{};        ///< Number of the round.
    TimePoint sent;                  ///< When the requests were sent.
    std::set<EntryName> outstanding; ///< Entries that have not granted a promise yet.
};

/** All state of a ShardLog. */
struct ShardLogState
{
    ShardId shard;               ///< Which shard.
    EntryName self;              ///< This entry.
    Incarnation incarnation;     ///< Incarnation of this entry's process.
    ShardLogSettings settings;   ///< Settings of leases and journals.
    Duration minWriteInterval{}; ///< Shortest time between two transactions, as set by the write budget.

    ShardPhase phase = ShardPhase::Claiming; ///< Phase of the shard.
    bool loaded{};                           ///< True once the journal has been read.
    LeaseRow row;                            ///< The lease row as last known to be in the store.
    RowVersion version;                      ///< Version of the lease row.
    TimePoint validUntil;                    ///< End of the lease.
    TimePoint lastRenewal;                   ///< When the last successful write was sent.
    std::vector<EntryName> successors;       ///< Successors that the next write names.
    std::optional<StoredRow> conflictingRow; ///< The row that showed that the shard is lost.

    std::optional<StoreRequestId> claimRead; ///< Read of the row before a takeover.
    RowVersion expectedVersion;              ///< Version that the row must have for a takeover; 0 accepts any row without owner.

    std::optional<LeaseWrite> write; ///< The write in progress.
    bool isStoreUnavailable{};       ///< True if the last request failed or a write has had no reply for half its time-out.

    std::deque<PendingRecord> pendingRecords; ///< Records that aren't durable in the store yet.
    TimePoint pendingSince;                   ///< When the first record that isn't in the newest write was appended.
    RecordNumber appended;                    ///< Newest record appended.
    RecordNumber newestInWrite;               ///< Newest record in the store or in the write in progress.
    TimePoint lastWriteSent;                  ///< When the first attempt of the newest write was sent.

    JournalLoad load;                      ///< Progress of reading the journal.
    SnapshotWrite snapshot;                ///< The snapshot in progress.
    JournalCleanup cleanup;                ///< Progress of removing obsolete rows and objects.
    std::uint64_t segmentsSinceSnapshot{}; ///< Number of segments since the last snapshot.
    std::uint64_t bytesSinceSnapshot{};    ///< Size of these segments in bytes.
    std::uint64_t lastSnapshotBytes{};     ///< Size of the last snapshot in bytes.

    PromiseRound promiseRound; ///< The newest round of requests for promises.

    bool handOverRequested{}; ///< True once handOver() was called.
    bool handOverSent{};      ///< True once the write that hands the shard over was sent.
    EntryName handOverTarget; ///< Entry that is to take over; empty if the shard is to be retired.
};

} // namespace Vanillahall
