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
        state.sent = now.steady;
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

/** @return Shortest time from the newest attempt to the next one. The first repetition is early, so that the lease is kept. */
Duration retryDelay(const ShardLogState &state)
{
    return state.write->attempts <= 1 ? RetryDelay : std::max(RetryDelay, state.window);
}

/** @return True if a write brings the shard nearer to being given away. */
bool handOverWork(const ShardLogState &state)
{
    if (!state.handOverWanted || !state.loaded) {
        return false;
    }
    if (readyToHandOver(state) || state.snapshot.step == SnapshotStep::Written) {
        return true;
    }
    const bool obsolete = state.cleanup.done < state.row.lastSegment || state.row.snapshotSegment < state.row.lastSegment
        || !state.row.snapshot.empty() || !state.cleanup.leftOver.empty();
    return state.heir.empty() && state.snapshot.step == SnapshotStep::None && obsolete;
}

/** @return True if a new write shall be made. */
bool commitDue(const ShardLogState &state, Now now)
{
    if (state.version.value == 0) {
        return false;
    }
    if (now.steady >= state.renewed + state.settings.renewInterval) {
        return true;
    }
    if (now.steady < state.sent + state.window) {
        return false;
    }
    const bool firstSuccessor = state.row.successors.empty() && !state.successors.empty() && state.heir.empty();
    if (firstSuccessor || handOverWork(state)) {
        return true;
    }
    return state.appended > state.packed && now.steady >= state.waitingSince + state.settings.commitWindow;
}

/** Takes in that the snapshot has changed with the write. */
void noteSnapshotNamed(ShardLogState &state, const ObjectKey &replaced)
{
    if (!replaced.empty()) {
        state.cleanup.objects.push_back(replaced);
    }
    state.segmentsSince = state.row.lastSegment.value - state.row.snapshotSegment.value;
    state.bytesSince = 0;
    state.lastSnapshotSize = state.snapshot.bytes;
    state.snapshot = SnapshotWrite();
}

/** Goes on after a write has taken effect, by its kind. */
void afterWrite(ShardLogState &state, LeaseWriteKind kind, Now now, ShardLogOutput &out)
{
    switch (kind) {
    case LeaseWriteKind::Create:
        state.loaded = true;
        state.phase = ShardPhase::Held;
        writeLog(state, LogLevel::Info, EventNumber::LeaseTaken, "created", out);
        break;
    case LeaseWriteKind::Claim:
        state.phase = ShardPhase::Loading;
        writeLog(state, LogLevel::Info, EventNumber::LeaseTaken, "taken over", out);
        startLoad(state, now, out);
        break;
    case LeaseWriteKind::Commit:
        break;
    case LeaseWriteKind::HandOver:
        state.phase = ShardPhase::Lost;
        writeLog(state, LogLevel::Info, EventNumber::ShardHandedOver, state.heir.empty() ? "retired" : "to " + state.heir.text, out);
        break;
    }
}

/**
 * The write has taken effect.
 * @param sent When the attempt that took effect was sent, or an earlier moment.
 */
void settleWrite(ShardLogState &state, RowVersion version, TimePoint sent, Now now, ShardLogOutput &out)
{
    const LeaseWrite write = std::move(*state.write);
    state.write.reset();
    const ObjectKey oldSnapshot = state.row.snapshot;
    const std::uint64_t oldSegment = state.row.lastSegment.value;
    state.row = write.row;
    state.version = version;
    state.renewed = std::max(state.renewed, sent);
    state.validUntil = std::max(state.validUntil, sent + state.settings.leaseTime);
    if (write.kind == LeaseWriteKind::Commit || write.kind == LeaseWriteKind::HandOver) {
        state.segmentsSince += state.row.lastSegment.value - oldSegment;
        state.bytesSince += write.bytes;
        state.cleanup.done = write.cleanedUpTo;
        state.cleanup.leftOver.erase(state.cleanup.leftOver.begin(),
                                     state.cleanup.leftOver.begin() + static_cast<std::ptrdiff_t>(write.leftOverRemoved));
        if (oldSnapshot != state.row.snapshot) {
            noteSnapshotNamed(state, oldSnapshot);
        }
    }
    while (!state.waiting.empty() && state.waiting.front().number <= state.row.lastRecord) {
        state.waiting.pop_front();
    }
    afterWrite(state, write.kind, now, out);
}

/** @return True if a row is what the write under way would have made. */
bool madeBy(const LeaseWrite &write, const LeaseRow &row)
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

bool readyToHandOver(const ShardLogState &state)
{
    const bool settled = state.snapshot.step == SnapshotStep::None && state.cleanup.objects.empty();
    if (!state.heir.empty()) {
        return settled;
    }
    const bool cleaned = state.row.snapshot.empty() && state.row.snapshotSegment == state.row.lastSegment
        && state.cleanup.done == state.row.lastSegment && state.cleanup.searchEnd.value == 0 && state.appended == state.row.lastRecord;
    return settled && cleaned;
}

void driveWrite(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (state.phase == ShardPhase::Lost) {
        return;
    }
    if (!state.write) {
        if (commitDue(state, now)) {
            state.write = buildCommit(state);
            sendAttempt(state, now, out);
        }
        return;
    }
    if (state.write->attempt || state.write->readBack || now.steady < state.write->lastSent + retryDelay(state)) {
        return;
    }
    if (state.write->conflicted) {
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
        settleWrite(state, done->version, write.lastSent, now, out);
    } else if (std::holds_alternative<StoreConflict>(answer)) {
        write.conflicted = true;
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
            loseShard(state, "the lease row is gone", out);
        }
        return;
    }
    const StoredRow &found = rows->rows.front();
    if (found.version <= expected) {
        return; // An old version: the store answered with data from before the conflict.
    }
    const auto *lease = std::get_if<LeaseRow>(&found.value);
    if (lease != nullptr && madeBy(write, *lease)) {
        settleWrite(state, found.version, write.firstSent, now, out);
        return;
    }
    state.seen = found;
    loseShard(state, lease != nullptr ? "taken by " + lease->owner.text : "the lease row can't be read", out);
}

} // namespace Vanillahall
