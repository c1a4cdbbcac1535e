#include "commands/shard_log_part.h"
#include "queries/shard_log_snapshot.h"
#include "vanillahall/core/shard_log_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t LeftOverPerPage = 16; ///< Rows of one scan for segments left by an earlier holder.

void driveObject(ShardLogState &state, Now now, ShardLogOutput &out)
{
    SnapshotWrite &snapshot = state.snapshot;
    if (snapshot.step == SnapshotStep::Cut && snapshot.body.upToRecord <= state.row.lastRecord) {
        snapshot.step = SnapshotStep::Writing;
    }
    const bool due = !snapshot.request && now.steady >= snapshot.asked + state.settings.renewInterval;
    if (snapshot.step == SnapshotStep::Writing && due) {
        snapshot.asked = now.steady;
        snapshot.request = sendStoreRequest(out, ObjectPut{snapshot.key, snapshot.body});
    }
}

void driveCleanup(ShardLogState &state, Now now, ShardLogOutput &out)
{
    JournalCleanup &cleanup = state.cleanup;
    if (cleanup.scan || cleanup.objectWrite || state.isStoreUnavailable || now.steady < cleanup.asked + state.window) {
        return;
    }
    if (!cleanup.objects.empty()) {
        cleanup.asked = now.steady;
        cleanup.objectWrite = sendStoreRequest(out, ObjectRemove{cleanup.objects.front()});
    } else if (cleanup.searchEnd.value > 0 && cleanup.leftOver.empty()) {
        cleanup.asked = now.steady;
        const RowKey to = segmentKey(state.shard, SegmentNumber{cleanup.searchEnd.value + 1});
        cleanup.scan = sendStoreRequest(out, StoreScan{segmentKey(state.shard, SegmentNumber()), to, LeftOverPerPage});
    }
}

} // namespace

void startCleanup(ShardLogState &state)
{
    state.cleanup = JournalCleanup();
    state.cleanup.done = state.row.snapshotSegment;
    state.cleanup.searchEnd = state.row.snapshotSegment;
    state.cleanup.objects = leftOverObjects(state.row);
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
        state.cleanup.searchEnd = SegmentNumber();
    }
    for (const StoredRow &it : page->rows) {
        state.cleanup.leftOver.push_back(it.key);
    }
}

void onObjectRemoved(ShardLogState &state, const StoreAnswer &answer)
{
    state.cleanup.objectWrite.reset();
    if (std::holds_alternative<StoreDone>(answer)) {
        state.cleanup.objects.erase(state.cleanup.objects.begin());
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
    snapshot.asked = now.steady - state.settings.renewInterval;
    for (const JournalRecord &it : live) {
        snapshot.bytes += recordBytes(it);
    }
    snapshot.body.records = std::move(live);
    snapshot.body.upToRecord = state.appended;
    snapshot.body.upTo = state.write ? state.write->row.lastSegment : state.row.lastSegment;
    snapshot.step = SnapshotStep::Cut;
    driveSnapshot(state, now, out);
}

} // namespace Vanillahall
