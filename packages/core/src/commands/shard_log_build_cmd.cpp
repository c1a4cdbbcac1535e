#include "commands/shard_log_part.h"
#include "vanillahall/core/shard_log_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxSegments = 8; ///< Most segments written by one transaction.
constexpr std::size_t MaxRemoves = 64; ///< Most rows removed by one transaction.

/** @return True if a record has to go into a new segment. */
bool needsNewSegment(const ShardLogState &state, const Segment &segment, std::size_t bytes, const PendingRecord &next)
{
    if (segment.records.empty()) {
        return false;
    }
    const bool isSnapshotEnd
        = state.snapshot.step == SnapshotStep::AwaitingCommit && next.number.value == state.snapshot.body.upToRecord.value + 1;
    return isSnapshotEnd || bytes + next.bytes > state.settings.segmentBytes;
}

/** Adds a complete segment to the write. */
void addSegment(ShardLogState &state, LeaseWrite &write, Segment segment)
{
    if (segment.records.empty()) {
        return;
    }
    write.row.lastSegment = segment.number;
    write.row.lastRecord.value = segment.first.value + segment.records.size() - 1;
    if (state.snapshot.step == SnapshotStep::AwaitingCommit && write.row.lastRecord == state.snapshot.body.upToRecord) {
        state.snapshot.body.upTo = segment.number;
    }
    const RowKey key = segmentKey(state.shard, segment.number);
    write.body.puts.push_back(RowPut{key, std::move(segment)});
}

/** Packs pending records into segments, oldest first. */
void addRecords(ShardLogState &state, LeaseWrite &write)
{
    Segment segment;
    std::size_t bytes = 0;
    std::size_t segments = 0;
    for (const PendingRecord &it : state.pendingRecords) {
        if (needsNewSegment(state, segment, bytes, it)) {
            addSegment(state, write, std::exchange(segment, Segment()));
            bytes = 0;
            segments++;
        }
        if (segments == MaxSegments) {
            break;
        }
        if (segment.records.empty()) {
            segment.number.value = write.row.lastSegment.value + 1;
            segment.first = it.number;
        }
        segment.records.push_back(it.record);
        bytes += it.bytes;
        write.bytes += it.bytes;
    }
    addSegment(state, write, std::move(segment));
    state.newestInWrite = write.row.lastRecord;
}

/** Refers to a snapshot that was written; before a retirement, marks the whole journal as obsolete. */
void updateSnapshotReference(const ShardLogState &state, LeaseWrite &write)
{
    if (state.snapshot.step == SnapshotStep::Written) {
        write.row.snapshot = state.snapshot.key;
        write.row.snapshotSegment = state.snapshot.body.upTo;
    } else if (state.handOverRequested && state.handOverTarget.empty() && state.snapshot.step == SnapshotStep::None) {
        write.row.snapshot = ObjectKey();
        write.row.snapshotSegment = write.row.lastSegment;
    }
}

/** Adds the removal of rows that the snapshot has made obsolete. */
void addRemoves(const ShardLogState &state, LeaseWrite &write)
{
    for (const RowKey &it : state.cleanup.leftoverRows) {
        if (write.body.removes.size() == MaxRemoves) {
            break;
        }
        write.body.removes.push_back(it);
        write.leftoverRowsRemoved++;
    }
    write.cleanedUpTo = state.cleanup.cleanedUpTo;
    // Rows put by this write are not removed: the order of a put and a removal of one row in a transaction is undefined.
    const SegmentNumber end = std::min(write.row.snapshotSegment, state.row.lastSegment);
    while (write.cleanedUpTo < end && write.body.removes.size() < MaxRemoves) {
        write.cleanedUpTo.value++;
        write.body.removes.push_back(segmentKey(state.shard, write.cleanedUpTo));
    }
}

/** Turns the write into the one that hands the shard over. */
void makeHandOver(const ShardLogState &state, LeaseWrite &write)
{
    write.kind = LeaseWriteKind::HandOver;
    write.row.owner = EntryName();
    write.row.successors.clear();
    write.row.retired = state.handOverTarget.empty();
    if (!state.handOverTarget.empty()) {
        write.row.successors.push_back(state.handOverTarget);
    }
}

} // namespace

LeaseWrite buildCommit(ShardLogState &state)
{
    LeaseWrite write;
    write.row = state.row;
    write.row.commit++;
    write.row.successors = state.successors;
    if (state.loaded) {
        addRecords(state, write);
        const bool canHandOver = state.handOverRequested && isReadyToHandOver(state) && state.newestInWrite == state.appended;
        updateSnapshotReference(state, write);
        addRemoves(state, write);
        if (canHandOver) {
            makeHandOver(state, write);
        }
    }
    write.body.conditions.push_back(RowCondition{leaseKey(state.shard), state.version});
    write.body.puts.push_back(RowPut{leaseKey(state.shard), write.row});
    return write;
}

} // namespace Vanillahall
