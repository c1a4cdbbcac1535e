#include "commands/shard_log_part.h"
#include "vanillahall/core/shard_log_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(200); ///< Shortest time between two attempts of a write.

void sendAttempt(ShardLogState &state, Now now, ShardLogOutput &out)
{
    LeaseWrite &write = *state.write;
    if (write.attempts == 0) {
        write.firstSent = now.steady;
        state.lastWriteSent = now.steady;
    }
    write.attempts++;
    write.lastSent = now.steady;
    if (write.kind == LeaseWriteKind::HandOver) {
        state.handOverSent = true;
    }
    write.attempt = sendStoreRequest(out, write.body);
}

void sendReadBack(ShardLogState &state, Now now, ShardLogOutput &out)
{
    state.write->lastSent = now.steady;
    state.write->readBack = sendStoreRequest(out, StoreGet{leaseKey(state.shard)});
}

/**
 * @return Shortest time from the newest attempt to the next. The first retry ignores minWriteInterval, because the lease could expire
 * meanwhile.
 */
Duration retryDelay(const ShardLogState &state)
{
    return state.write->attempts <= 1 ? RetryDelay : std::max(RetryDelay, state.minWriteInterval);
}

/** @return True if a requested hand-over needs another write. */
bool isHandOverWriteDue(const ShardLogState &state)
{
    if (!state.handOverRequested || !state.loaded) {
        return false;
    }
    if (isReadyToHandOver(state) || state.snapshot.step == SnapshotStep::Written) {
        return true;
    }
    const bool obsolete = state.cleanup.cleanedUpTo < state.row.lastSegment || state.row.snapshotSegment < state.row.lastSegment
        || !state.row.snapshot.empty() || !state.cleanup.leftoverRows.empty();
    return state.handOverTarget.empty() && state.snapshot.step == SnapshotStep::None && obsolete;
}

/** @return True if a new write is due. */
bool isCommitDue(const ShardLogState &state, Now now)
{
    if (state.version.value == 0) {
        return false;
    }
    if (now.steady >= state.lastRenewal + state.settings.renewInterval) {
        return true;
    }
    if (now.steady < state.lastWriteSent + state.minWriteInterval) {
        return false;
    }
    const bool firstSuccessor = state.row.successors.empty() && !state.successors.empty() && state.handOverTarget.empty();
    if (firstSuccessor || isHandOverWriteDue(state)) {
        return true;
    }
    return state.appended > state.newestInWrite && now.steady >= state.pendingSince + state.settings.commitWindow;
}

/** Records that a write has changed the snapshot that the row refers to. */
void onSnapshotCommitted(ShardLogState &state, const ObjectKey &replaced)
{
    if (!replaced.empty()) {
        state.cleanup.obsoleteObjects.push_back(replaced);
    }
    state.segmentsSinceSnapshot = state.row.lastSegment.value - state.row.snapshotSegment.value;
    state.bytesSinceSnapshot = 0;
    state.lastSnapshotBytes = state.snapshot.bytes;
    state.snapshot = SnapshotWrite();
}

/** Continues after a write has taken effect, depending on its kind. */
void finishWrite(ShardLogState &state, LeaseWriteKind kind, Now now, ShardLogOutput &out)
{
    switch (kind) {
    case LeaseWriteKind::Create:
        state.loaded = true;
        state.phase = ShardPhase::Held;
        writeLog(state, LogLevel::Info, EventNumber::LeaseTaken, "shard created", out);
        break;
    case LeaseWriteKind::Claim:
        state.phase = ShardPhase::Loading;
        writeLog(state, LogLevel::Info, EventNumber::LeaseTaken, "shard taken over", out);
        startLoad(state, now, out);
        break;
    case LeaseWriteKind::Commit:
        break;
    case LeaseWriteKind::HandOver:
        state.phase = ShardPhase::Lost;
        writeLog(state,
                 LogLevel::Info,
                 EventNumber::ShardHandedOver,
                 state.handOverTarget.empty() ? "shard retired" : "shard handed over to " + state.handOverTarget.text,
                 out);
        break;
    }
}

/**
 * Records that the write has taken effect.
 * @param sent When the attempt that took effect was sent, or an earlier time.
 */
void onWriteApplied(ShardLogState &state, RowVersion version, TimePoint sent, Now now, ShardLogOutput &out)
{
    const LeaseWrite write = std::move(*state.write);
    state.write.reset();
    const ObjectKey oldSnapshot = state.row.snapshot;
    const std::uint64_t oldSegment = state.row.lastSegment.value;
    state.row = write.row;
    state.version = version;
    state.lastRenewal = std::max(state.lastRenewal, sent);
    state.validUntil = std::max(state.validUntil, sent + state.settings.leaseTime);
    if (write.kind == LeaseWriteKind::Commit || write.kind == LeaseWriteKind::HandOver) {
        state.segmentsSinceSnapshot += state.row.lastSegment.value - oldSegment;
        state.bytesSinceSnapshot += write.bytes;
        state.cleanup.cleanedUpTo = write.cleanedUpTo;
        state.cleanup.leftoverRows.erase(state.cleanup.leftoverRows.begin(),
                                         state.cleanup.leftoverRows.begin() + static_cast<std::ptrdiff_t>(write.leftoverRowsRemoved));
        if (oldSnapshot != state.row.snapshot) {
            onSnapshotCommitted(state, oldSnapshot);
        }
    }
    while (!state.pendingRecords.empty() && state.pendingRecords.front().number <= state.row.lastRecord) {
        state.pendingRecords.pop_front();
    }
    finishWrite(state, write.kind, now, out);
}

/** @return True if a row is the result of the given write. */
bool isResultOf(const LeaseWrite &write, const LeaseRow &row)
{
    return row.owner == write.row.owner && row.incarnation == write.row.incarnation && row.epoch == write.row.epoch
        && row.commit == write.row.commit;
}

} // namespace

void startClaim(ShardLogState &state, LeaseWriteKind kind, RowVersion expected, LeaseRow row, Now now, ShardLogOutput &out)
{
    row.owner = state.self;
    row.incarnation = state.incarnation;
    row.epoch.value++;
    row.commit++;
    row.successors = state.successors;
    row.retired = false;
    LeaseWrite write;
    write.kind = kind;
    write.row = row;
    write.body.conditions.push_back(RowCondition{leaseKey(state.shard), expected});
    write.body.puts.push_back(RowPut{leaseKey(state.shard), row});
    state.phase = ShardPhase::Claiming;
    state.write = std::move(write);
    sendAttempt(state, now, out);
}

bool isReadyToHandOver(const ShardLogState &state)
{
    const bool settled = state.snapshot.step == SnapshotStep::None && state.cleanup.obsoleteObjects.empty();
    if (!state.handOverTarget.empty()) {
        return settled;
    }
    const bool cleaned = state.row.snapshot.empty() && state.row.snapshotSegment == state.row.lastSegment
        && state.cleanup.cleanedUpTo == state.row.lastSegment && state.cleanup.scanEnd.value == 0 && state.appended == state.row.lastRecord;
    return settled && cleaned;
}

void driveWrite(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (state.phase == ShardPhase::Lost) {
        return;
    }
    if (!state.write) {
        if (isCommitDue(state, now)) {
            state.write = buildCommit(state);
            sendAttempt(state, now, out);
        }
        return;
    }
    if (state.write->attempt || state.write->readBack || now.steady < state.write->lastSent + retryDelay(state)) {
        return;
    }
    if (state.write->isConflicted) {
        sendReadBack(state, now, out);
    } else {
        sendAttempt(state, now, out);
    }
}

void onWriteAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    LeaseWrite &write = *state.write;
    write.attempt.reset();
    if (const auto *done = std::get_if<StoreDone>(&answer)) {
        onWriteApplied(state, done->version, write.lastSent, now, out);
    } else if (std::holds_alternative<StoreConflict>(answer)) {
        write.isConflicted = true;
        sendReadBack(state, now, out);
    }
}

void onReadBack(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    LeaseWrite &write = *state.write;
    write.readBack.reset();
    const auto *rows = std::get_if<StoreRows>(&answer);
    if (rows == nullptr) {
        return;
    }
    const RowVersion expected = write.body.conditions.front().version;
    if (rows->rows.empty()) {
        if (write.kind != LeaseWriteKind::Create) {
            markLost(state, "the lease row was removed", out);
        }
        return;
    }
    const StoredRow &found = rows->rows.front();
    if (found.version <= expected) {
        return; // Outdated version: the store replied with data from before the conflict.
    }
    const auto *lease = std::get_if<LeaseRow>(&found.value);
    if (lease != nullptr && isResultOf(write, *lease)) {
        onWriteApplied(state, found.version, write.firstSent, now, out);
        return;
    }
    state.conflictingRow = found;
    markLost(state, lease != nullptr ? "shard taken over by " + lease->owner.text : "the lease row can't be read", out);
}

} // namespace Vanillahall
