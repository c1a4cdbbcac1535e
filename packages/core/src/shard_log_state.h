/** State of a shard's lease and journal. Changed only by the commands of ShardLog. */
#pragma once

#include "vanillahall/core/shard_log_base.h"

#include <deque>
#include <set>
#include <string>

namespace Vanillahall {

/** What a write of the lease row is for. */
enum class LeaseWriteKind : std::uint8_t {
    Create,   ///< Makes the row.
    Claim,    ///< Takes the lease from another holder.
    Commit,   ///< Renews, and writes records.
    HandOver, ///< Gives the lease away.
};

/** A write of the lease row whose fate isn't known yet. It is sent again unchanged until the store has decided. */
struct LeaseWrite
{
    LeaseWriteKind kind = LeaseWriteKind::Commit; ///< What it is for.
    StoreTransaction body;                        ///< What is sent; never changes.
    LeaseRow row;                                 ///< The row that it writes.
    std::uint64_t bytes{};                        ///< Size of its segments.
    SegmentNumber cleanedUpTo;                    ///< Segments up to this one are gone once it has taken effect.
    std::size_t leftOverRemoved{};                ///< Rows left by an earlier holder that it removes.
    std::uint32_t attempts{};                     ///< How often it was sent.
    TimePoint firstSent;                          ///< First attempt.
    TimePoint lastSent;                           ///< Newest attempt or read of the row.
    std::optional<StoreRequestId> attempt;        ///< The attempt under way.
    std::optional<StoreRequestId> readBack;       ///< Read of the row under way.
    bool conflicted{};                            ///< True if the row has another version than expected: it must be read.
};

/** A record that the store doesn't have yet. */
struct WaitingRecord
{
    RecordNumber number;  ///< Its position.
    JournalRecord record; ///< The record.
    std::size_t bytes{};  ///< Its size.
};

/** Reading the journal after a takeover. */
struct JournalLoad
{
    bool snapshotRead{};                    ///< True once the snapshot is here, or if there is none.
    std::optional<StoreRequestId> request;  ///< The read under way.
    TimePoint asked;                        ///< When the newest read was sent.
    SegmentNumber upTo;                     ///< Newest segment taken in.
    std::optional<RecordNumber> lastRecord; ///< Newest record taken in; nothing before the first if it isn't known.
    std::vector<JournalRecord> records;     ///< Records taken in.
    std::uint64_t segments{};               ///< Segments taken in.
    std::uint64_t bytes{};                  ///< Their size.
    std::uint64_t snapshotBytes{};          ///< Size of the snapshot.
};

/** How far a new snapshot is. */
enum class SnapshotStep : std::uint8_t {
    None,    ///< There is none under way.
    Cut,     ///< Its newest record isn't durable yet.
    Writing, ///< The object is being written.
    Written, ///< The object is there; the row doesn't name it yet.
};

/** A snapshot being written. */
struct SnapshotWrite
{
    SnapshotStep step = SnapshotStep::None; ///< How far it is.
    ObjectKey key;                          ///< The new object.
    ShardSnapshot body;                     ///< Its content; dropped once written.
    std::uint64_t bytes{};                  ///< Size of its records.
    std::optional<StoreRequestId> request;  ///< The write under way.
    TimePoint asked;                        ///< When it was sent.
};

/** Removing what a snapshot has replaced. */
struct JournalCleanup
{
    SegmentNumber done;                        ///< Segments up to this one are gone.
    SegmentNumber searchEnd;                   ///< Segments up to this one may be left by an earlier holder; 0 if none is.
    std::optional<StoreRequestId> scan;        ///< The search under way.
    std::vector<RowKey> leftOver;              ///< Rows left by an earlier holder, found by the search.
    std::vector<ObjectKey> objects;            ///< Objects to remove.
    std::optional<StoreRequestId> objectWrite; ///< The removal under way; it concerns the first of `objects`.
    TimePoint asked;                           ///< When the newest request was sent.
};

/** A round of promises. */
struct PromiseRound
{
    std::uint64_t sequence{};    ///< Its number.
    TimePoint sent;              ///< When the requests were sent.
    std::set<EntryName> missing; ///< Who hasn't granted yet.
};

/** Everything that a ShardLog knows. */
struct ShardLogState
{
    ShardId shard;             ///< Which shard.
    EntryName self;            ///< This entry.
    Incarnation incarnation;   ///< This run of it.
    ShardLogSettings settings; ///< How leases and journals work.
    Duration window{};         ///< Shortest time between two transactions, by the write budget.

    ShardPhase phase = ShardPhase::Claiming; ///< Where the shard is in its life.
    bool loaded{};                           ///< True once the journal has been read.
    LeaseRow row;                            ///< The row as last known to be in the store.
    RowVersion version;                      ///< Its version.
    TimePoint validUntil;                    ///< End of the lease.
    TimePoint renewed;                       ///< When the last successful write was sent.
    std::vector<EntryName> successors;       ///< Who is named with the next write.
    std::optional<StoredRow> seen;           ///< The row that showed the shard to be lost.

    std::optional<StoreRequestId> firstRead; ///< Read before a takeover.
    RowVersion wantedVersion;                ///< Version that the row must have for a takeover; 0 for a row without owner.

    std::optional<LeaseWrite> write; ///< The write under way.
    bool isStoreUnavailable{};       ///< True if the last request failed.

    std::deque<WaitingRecord> waiting; ///< Records that the store doesn't have.
    TimePoint waitingSince;            ///< When the first record after the newest write was appended.
    RecordNumber appended;             ///< Newest record appended.
    RecordNumber packed;               ///< Newest record in the write under way or in the store.
    TimePoint sent;                    ///< When the newest write was first sent.

    JournalLoad load;                 ///< Reading after a takeover.
    SnapshotWrite snapshot;           ///< The snapshot under way.
    JournalCleanup cleanup;           ///< Removing what was replaced.
    std::uint64_t segmentsSince{};    ///< Segments since the last snapshot.
    std::uint64_t bytesSince{};       ///< Their size.
    std::uint64_t lastSnapshotSize{}; ///< Size of the last snapshot.

    PromiseRound round; ///< The newest round of promises.

    bool handOverWanted{}; ///< True once handOver() was called.
    bool handOverSent{};   ///< True once the write that gives the lease away was sent.
    EntryName heir;        ///< Who shall have it; empty if it is to be retired.
};

} // namespace Vanillahall
