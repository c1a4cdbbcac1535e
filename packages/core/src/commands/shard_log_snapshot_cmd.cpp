#include "commands/shard_log_part.h"
#include "queries/shard_log_snapshot.h"
#include "vanillahall/core/shard_log_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t LeftoverRowsPerPage = 16; ///< Rows of one scan page for segments left by an earlier holder.

void driveObject(ShardLogState &state, Now now, ShardLogOutput &out)
{
    SnapshotWrite &snapshot = state.snapshot;
    if (snapshot.step == SnapshotStep::AwaitingCommit && snapshot.body.upToRecord <= state.row.lastRecord) {
        snapshot.step = SnapshotStep::Writing;
    }
    const bool due = !snapshot.request && now.steady >= snapshot.requestedAt + state.settings.renewInterval;
    if (snapshot.step == SnapshotStep::Writing && due) {
        snapshot.requestedAt = now.steady;
        snapshot.request = sendStoreRequest(out, ObjectPut{snapshot.key, snapshot.body});
    }
}

void driveCleanup(ShardLogState &state, Now now, ShardLogOutput &out)
{
    JournalCleanup &cleanup = state.cleanup;
    if (cleanup.scan || cleanup.objectRemoval || state.isStoreUnavailable || now.steady < cleanup.requestedAt + state.minWriteInterval) {
        return;
    }
    if (!cleanup.obsoleteObjects.empty()) {
        cleanup.requestedAt = now.steady;
        cleanup.objectRemoval = sendStoreRequest(out, ObjectRemove{cleanup.obsoleteObjects.front()});
    } else if (cleanup.scanEnd.value > 0 && cleanup.leftoverRows.empty()) {
        cleanup.requestedAt = now.steady;
        const RowKey to = segmentKey(state.shard, SegmentNumber{cleanup.scanEnd.value + 1});
        cleanup.scan = sendStoreRequest(out, StoreScan{segmentKey(state.shard, SegmentNumber()), to, LeftoverRowsPerPage});
    }
}

} // namespace

void startCleanup(ShardLogState &state)
{
    state.cleanup = JournalCleanup();
    state.cleanup.cleanedUpTo = state.row.snapshotSegment;
    state.cleanup.scanEnd = state.row.snapshotSegment;
    state.cleanup.obsoleteObjects = leftoverObjects(state.row);
}

void driveSnapshot(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (!state.loaded || state.phase == ShardPhase::Lost) {
        return;
    }
    driveObject(state, now, out);
    driveCleanup(state, now, out);
}

void onSnapshotAnswer(ShardLogState &state, const StoreAnswer &answer)
{
    state.snapshot.request.reset();
    if (std::holds_alternative<StoreDone>(answer)) {
        state.snapshot.step = SnapshotStep::Written;
        state.snapshot.body.records.clear();
    }
}

void onCleanupScan(ShardLogState &state, const StoreAnswer &answer)
{
    state.cleanup.scan.reset();
    const auto *page = std::get_if<StoreRows>(&answer);
    if (page == nullptr) {
        return;
    }
    if (page->rows.empty()) {
        state.cleanup.scanEnd = SegmentNumber();
    }
    for (const StoredRow &it : page->rows) {
        state.cleanup.leftoverRows.push_back(it.key);
    }
}

void onObjectRemoved(ShardLogState &state, const StoreAnswer &answer)
{
    state.cleanup.objectRemoval.reset();
    if (std::holds_alternative<StoreDone>(answer)) {
        state.cleanup.obsoleteObjects.erase(state.cleanup.obsoleteObjects.begin());
    }
}

void ShardLog::writeSnapshot(std::vector<JournalRecord> live, Now now, ShardLogOutput &out)
{
    ShardLogState &state = *m_state;
    if (!isSnapshotDue()) {
        return;
    }
    SnapshotWrite &snapshot = state.snapshot;
    snapshot = SnapshotWrite();
    snapshot.key = nextSnapshotKey(state.row);
    snapshot.requestedAt = now.steady - state.settings.renewInterval;
    for (const JournalRecord &it : live) {
        snapshot.bytes += recordBytes(it);
    }
    snapshot.body.records = std::move(live);
    snapshot.body.upToRecord = state.appended;
    snapshot.body.upTo = state.write ? state.write->row.lastSegment : state.row.lastSegment;
    snapshot.step = SnapshotStep::AwaitingCommit;
    driveSnapshot(state, now, out);
}

} // namespace Vanillahall
