#include "commands/shard_log_part.h"
#include "vanillahall/core/shard_log_func.h"

#include <iterator>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t SegmentsPerPage = 64;                  ///< Rows of one scan page.
constexpr Duration ReadDelay = std::chrono::milliseconds(200); ///< Shortest time between two reads of the same part of the journal.

std::uint64_t totalBytes(const std::vector<JournalRecord> &records)
{
    std::uint64_t sum = 0;
    for (const JournalRecord &it : records) {
        sum += recordBytes(it);
    }
    return sum;
}

void moveRecords(std::vector<JournalRecord> from, std::vector<JournalRecord> &to)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

/** Restarts the load from the beginning. */
void restartLoad(ShardLogState &state)
{
    state.load = JournalLoad();
    state.load.snapshotRead = state.row.snapshot.empty();
    state.load.lastSegment = state.row.snapshotSegment;
    if (state.row.snapshotSegment.value == 0) {
        state.load.lastRecord = RecordNumber();
    }
}

/** Completes the load: passes the records to the owner, or restarts if the journal is incomplete. */
void finishLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    const RecordNumber last = state.load.lastRecord.value_or(state.row.lastRecord);
    if (last != state.row.lastRecord) {
        writeLog(state,
                 LogLevel::Error,
                 EventNumber::ShardLoaded,
                 "the journal ends before the last record named by the lease row; reading it again",
                 out);
        restartLoad(state);
        state.load.requestedAt = now.steady;
        return;
    }
    writeLog(state,
             LogLevel::Info,
             EventNumber::ShardLoaded,
             std::to_string(state.load.records.size()) + " records loaded from the journal",
             out);
    moveRecords(std::move(state.load.records), out.recovered);
    state.segmentsSinceSnapshot = state.load.segments;
    state.bytesSinceSnapshot = state.load.bytes;
    state.lastSnapshotBytes = state.load.snapshotBytes;
    state.appended = state.row.lastRecord;
    state.newestInWrite = state.row.lastRecord;
    state.load = JournalLoad();
    state.loaded = true;
    startCleanup(state);
    state.phase = ShardPhase::Held;
    updatePhase(state, now, out);
}

void requestNextPart(ShardLogState &state, Now now, ShardLogOutput &out)
{
    JournalLoad &load = state.load;
    load.requestedAt = now.steady;
    if (!load.snapshotRead) {
        load.request = sendStoreRequest(out, ObjectGet{state.row.snapshot});
    } else if (load.lastSegment < state.row.lastSegment) {
        const RowKey from = segmentKey(state.shard, SegmentNumber{load.lastSegment.value + 1});
        const RowKey to = segmentKey(state.shard, SegmentNumber{state.row.lastSegment.value + 1});
        load.request = sendStoreRequest(out, StoreScan{from, to, SegmentsPerPage});
    } else {
        finishLoad(state, now, out);
    }
}

/** Loads the snapshot. @return False if it has to be read again. */
bool loadSnapshot(ShardLogState &state, const StoreObject &object)
{
    if (!object.snapshot || object.snapshot->upTo != state.row.snapshotSegment) {
        return false;
    }
    state.load.snapshotRead = true;
    state.load.lastRecord = object.snapshot->upToRecord;
    state.load.snapshotBytes = totalBytes(object.snapshot->records);
    state.load.records = object.snapshot->records;
    return true;
}

/** Loads one segment. @return False if it isn't the next one. */
bool loadSegment(JournalLoad &load, const Segment &segment)
{
    const bool follows
        = segment.number.value == load.lastSegment.value + 1 && (!load.lastRecord || segment.first.value == load.lastRecord->value + 1);
    if (!follows || segment.records.empty()) {
        return false;
    }
    load.lastSegment = segment.number;
    load.lastRecord = RecordNumber{segment.first.value + segment.records.size() - 1};
    load.segments++;
    load.bytes += totalBytes(segment.records);
    moveRecords(segment.records, load.records);
    return true;
}

/** Loads a page of segments. @return False if the next segment is missing. */
bool loadPage(ShardLogState &state, const StoreRows &page)
{
    for (const StoredRow &it : page.rows) {
        const auto *segment = std::get_if<Segment>(&it.value);
        if (segment == nullptr || !loadSegment(state.load, *segment)) {
            return false;
        }
    }
    return !page.rows.empty();
}

} // namespace

void startLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    restartLoad(state);
    requestNextPart(state, now, out);
}

void driveLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (state.phase != ShardPhase::Loading || state.load.request || now.steady < state.load.requestedAt + ReadDelay) {
        return;
    }
    requestNextPart(state, now, out);
}

void onLoadAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    state.load.request.reset();
    bool progress = false;
    if (const auto *object = std::get_if<StoreObject>(&answer)) {
        progress = loadSnapshot(state, *object);
    } else if (const auto *page = std::get_if<StoreRows>(&answer)) {
        progress = loadPage(state, *page);
    }
    if (progress) {
        requestNextPart(state, now, out);
    }
}

} // namespace Vanillahall
