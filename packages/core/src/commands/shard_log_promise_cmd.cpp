#include "commands/shard_log_part.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** @return All entries that might take over: successors named by the row, and by a write that may have taken effect. */
std::set<EntryName> possibleSuccessors(const ShardLogState &state)
{
    std::set<EntryName> names(state.row.successors.begin(), state.row.successors.end());
    if (state.write) {
        names.insert(state.write->row.successors.begin(), state.write->row.successors.end());
    }
    names.erase(state.self);
    return names;
}

/** @return True if a round of requests is due. Incomplete rounds are repeated earlier, before the lease expires. */
bool isPromiseRoundDue(const ShardLogState &state, Now now)
{
    constexpr int RoundsPerInterval = 4; // Used while some successor has not granted its promise.
    const bool holds = state.phase == ShardPhase::Held || state.phase == ShardPhase::Lapsed || state.phase == ShardPhase::Loading;
    const bool isConflicted = state.write && state.write->isConflicted;
    if (!holds || !state.isStoreUnavailable || state.handOverSent || isConflicted) {
        return false;
    }
    const Duration interval = state.settings.renewInterval;
    const Duration pause = state.promiseRound.outstanding.empty() ? interval : interval / RoundsPerInterval;
    return now.steady >= state.lastRenewal + interval && now.steady >= state.promiseRound.sent + pause;
}

/** Extends the lease to `leaseTime` after `from`, but not beyond `outageLimit`. No other entry could take it over at `from`. */
void extendLease(ShardLogState &state, TimePoint from)
{
    const TimePoint end = std::min(from + state.settings.leaseTime, state.lastRenewal + state.settings.outageLimit);
    state.validUntil = std::max(state.validUntil, end);
}

} // namespace

void drivePromises(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (!isPromiseRoundDue(state, now)) {
        return;
    }
    const std::set<EntryName> names = possibleSuccessors(state);
    if (!names.empty() && now.steady >= state.validUntil) {
        return; // Another entry may have taken an expired lease; only the store shows whether it has.
    }
    if (state.promiseRound.sent <= state.lastRenewal) {
        writeLog(
            state, LogLevel::Warning, EventNumber::LeaseExtended, "the store is unavailable; requesting promises from the successors", out);
    }
    state.promiseRound.sequence++;
    state.promiseRound.sent = now.steady;
    state.promiseRound.outstanding = names;
    for (const EntryName &it : names) {
        out.promises.push_back(ShardPromiseRequest{it, PromiseRequest{state.shard, state.row.epoch, state.promiseRound.sequence}});
    }
    if (names.empty()) {
        extendLease(state, now.steady);
    }
}

void ShardLog::onPromise(const EntryName &from, const PromiseAnswer &answer, Now now)
{
    ShardLogState &state = *m_state;
    const bool current = answer.shard == state.shard && answer.epoch == state.row.epoch && answer.sequence == state.promiseRound.sequence;
    const bool isConflicted = state.write && state.write->isConflicted;
    const bool running = now.steady < state.validUntil && state.phase != ShardPhase::Lost && !state.handOverSent;
    if (!current || !answer.granted || !running || isConflicted) {
        return;
    }
    if (state.promiseRound.outstanding.erase(from) > 0 && state.promiseRound.outstanding.empty()) {
        extendLease(state, state.promiseRound.sent);
    }
}

} // namespace Vanillahall
