#include "commands/shard_log_part.h"
#include "vanillahall/core/shard_log_func.h"

#include <iterator>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t SegmentsPerPage = 64;                  ///< Rows of one scan page.
constexpr Duration ReadDelay = std::chrono::milliseconds(200); ///< Time between two reads of the same part.

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

/** Resets the load to before its first part. */
void restartLoad(ShardLogState &state)
{
    state.load = JournalLoad();
    state.load.snapshotRead = state.row.snapshot.empty();
    state.load.upTo = state.row.snapshotSegment;
    if (state.row.snapshotSegment.value == 0) {
        state.load.lastRecord = RecordNumber();
    }
}

/** Everything is read: hands the records to the owner. */
void finishLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    const RecordNumber last = state.load.lastRecord.value_or(state.row.lastRecord);
    if (last != state.row.lastRecord) {
        writeLog(state, LogLevel::Error, EventNumber::ShardLoaded, "the journal ends before its last record; reading again", out);
        restartLoad(state);
        state.load.asked = now.steady;
        return;
    }
    writeLog(state, LogLevel::Info, EventNumber::ShardLoaded, std::to_string(state.load.records.size()) + " records", out);
    moveRecords(std::move(state.load.records), out.recovered);
    state.segmentsSince = state.load.segments;
    state.bytesSince = state.load.bytes;
    state.lastSnapshotSize = state.load.snapshotBytes;
    state.appended = state.row.lastRecord;
    state.packed = state.row.lastRecord;
    state.load = JournalLoad();
    state.loaded = true;
    startCleanup(state);
    state.phase = ShardPhase::Held;
    updatePhase(state, now, out);
}

void askNextPart(ShardLogState &state, Now now, ShardLogOutput &out)
{
    JournalLoad &load = state.load;
    load.asked = now.steady;
    if (!load.snapshotRead) {
        load.request = sendStoreRequest(out, ObjectGet{state.row.snapshot});
    } else if (load.upTo < state.row.lastSegment) {
        const RowKey from = segmentKey(state.shard, SegmentNumber{load.upTo.value + 1});
        const RowKey to = segmentKey(state.shard, SegmentNumber{state.row.lastSegment.value + 1});
        load.request = sendStoreRequest(out, StoreScan{from, to, SegmentsPerPage});
    } else {
        finishLoad(state, now, out);
    }
}

/** Takes in the snapshot. @return False if it has to be read again. */
bool takeSnapshot(ShardLogState &state, const StoreObject &object)
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

/** Takes in one segment. @return False if it isn't the next one. */
bool takeSegment(JournalLoad &load, const Segment &segment)
{
    const bool follows
        = segment.number.value == load.upTo.value + 1 && (!load.lastRecord || segment.first.value == load.lastRecord->value + 1);
    if (!follows || segment.records.empty()) {
        return false;
    }
    load.upTo = segment.number;
    load.lastRecord = RecordNumber{segment.first.value + segment.records.size() - 1};
    load.segments++;
    load.bytes += totalBytes(segment.records);
    moveRecords(segment.records, load.records);
    return true;
}

/** Takes in a page. @return False if it lacks the next segment. */
bool takePage(ShardLogState &state, const StoreRows &page)
{
    for (const StoredRow &it : page.rows) {
        const auto *segment = std::get_if<Segment>(&it.value);
        if (segment == nullptr || !takeSegment(state.load, *segment)) {
            return false;
        }
    }
    return !page.rows.empty();
}

} // namespace

void startLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    restartLoad(state);
    askNextPart(state, now, out);
}

void driveLoad(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (state.phase != ShardPhase::Loading || state.load.request || now.steady < state.load.asked + ReadDelay) {
        return;
    }
    askNextPart(state, now, out);
}

void onLoadAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    state.load.request.reset();
    bool progress = false;
    if (const auto *object = std::get_if<StoreObject>(&answer)) {
        progress = takeSnapshot(state, *object);
    } else if (const auto *page = std::get_if<StoreRows>(&answer)) {
        progress = takePage(state, *page);
    }
    if (progress) {
        askNextPart(state, now, out);
    }
}

} // namespace Vanillahall
