#include "commands/shard_log_part.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** @return Everyone who might take over: those named in the row, and those named by a write that may have taken effect. */
std::set<EntryName> possibleSuccessors(const ShardLogState &state)
{
    std::set<EntryName> names(state.row.successors.begin(), state.row.successors.end());
    if (state.write) {
        names.insert(state.write->row.successors.begin(), state.write->row.successors.end());
    }
    names.erase(state.self);
    return names;
}

/** @return True if a round may be begun now. Refused rounds are repeated sooner, because the lease runs out. */
bool roundDue(const ShardLogState &state, Now now)
{
    constexpr int RoundsPerInterval = 4; // While some successor refuses.
    const bool holds = state.phase == ShardPhase::Held || state.phase == ShardPhase::Lapsed || state.phase == ShardPhase::Loading;
    const bool conflicted = state.write && state.write->conflicted;
    if (!holds || !state.isStoreUnavailable || state.handOverSent || conflicted) {
        return false;
    }
    const Duration interval = state.settings.renewInterval;
    const Duration pause = state.round.missing.empty() ? interval : interval / RoundsPerInterval;
    return now.steady >= state.renewed + interval && now.steady >= state.round.sent + pause;
}

/** Extends the lease from a moment at which nobody else could take it. */
void extendLease(ShardLogState &state, TimePoint from)
{
    const TimePoint end = std::min(from + state.settings.leaseTime, state.renewed + state.settings.outageLimit);
    state.validUntil = std::max(state.validUntil, end);
}

} // namespace

void drivePromises(ShardLogState &state, Now now, ShardLogOutput &out)
{
    if (!roundDue(state, now)) {
        return;
    }
    const std::set<EntryName> names = possibleSuccessors(state);
    if (!names.empty() && now.steady >= state.validUntil) {
        return; // A lease that has run out may have been taken; only the store can tell.
    }
    if (state.round.sent <= state.renewed) {
        writeLog(state, LogLevel::Warning, EventNumber::LeaseExtended, "the store is away; asking the successors for promises", out);
    }
    state.round.sequence++;
    state.round.sent = now.steady;
    state.round.missing = names;
    for (const EntryName &it : names) {
        out.promises.push_back(ShardPromiseRequest{it, PromiseRequest{state.shard, state.row.epoch, state.round.sequence}});
    }
    if (names.empty()) {
        extendLease(state, now.steady);
    }
}

void ShardLog::onPromise(const EntryName &from, const PromiseAnswer &answer, Now now)
{
    ShardLogState &state = *m_state;
    const bool current = answer.shard == state.shard && answer.epoch == state.row.epoch && answer.sequence == state.round.sequence;
    const bool conflicted = state.write && state.write->conflicted;
    const bool running = now.steady < state.validUntil && state.phase != ShardPhase::Lost && !state.handOverSent;
    if (!current || !answer.granted || !running || conflicted) {
        return;
    }
    if (state.round.missing.erase(from) > 0 && state.round.missing.empty()) {
        extendLease(state, state.round.sent);
    }
}

} // namespace Vanillahall
