#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration ReleaseRetryInterval = std::chrono::seconds(1); ///< Time between requests to release the same memory.

/** @return True if a call of the program waits or runs here. */
bool hasActiveCall(const GateState &state, const ProgramId &program)
{
    for (auto it = state.calls.lower_bound(CallKey{program, Turn{0}}); it != state.calls.end() && it->first.program == program; ++it) {
        if (it->second.state != HeldState::Finished) {
            return true;
        }
    }
    return false;
}

void retryReleases(GateContext &context)
{
    for (auto &[program, next] : context.state.pendingReleases) {
        if (context.now.steady >= next) {
            next = context.now.steady + ReleaseRetryInterval;
            context.actions.emplace_back(FreeMemory{program});
        }
    }
}

/** @return True if the shard has had no holder for so long that its programs won't resume here. */
bool isShardAbandoned(const GateState &state, ShardId shard, Now now)
{
    const auto it = state.shards.find(shard);
    if (it == state.shards.end()) {
        return true;
    }
    const TimePoint valid = TimePoint(it->second.validUntil.time_since_epoch());
    return now.steady - std::max(valid, it->second.lastOrderAt) > state.settings.orphanTimeout;
}

void releaseAbandonedPrograms(GateContext &context)
{
    for (const ProgramId &program : context.state.cachePins.programs()) {
        if (isShardAbandoned(context.state, program.shard, context.now) && !hasActiveCall(context.state, program)) {
            context.state.cachePins.recordRelease(program, context.now.steady);
            releaseMemory(context, program);
        }
    }
}

} // namespace

void releaseMemory(GateContext &context, const ProgramId &program)
{
    context.state.pendingReleases[program] = context.now.steady + ReleaseRetryInterval;
    context.actions.emplace_back(FreeMemory{program});
}

void onMemoryFreed(GateContext &context, const MemoryFreed &event)
{
    if (event.done && context.state.pendingReleases.erase(event.program) > 0) {
        writeLog(context, LogLevel::Info, EventNumber::MemoryReleased, CallKey{event.program, Turn{0}}, "engine memory released");
    }
}

void recordPauseIfIdle(GateContext &context, const ProgramId &program)
{
    if (context.state.cachePins.isPinned(program) && !hasActiveCall(context.state, program)) {
        context.state.cachePins.recordPause(program, context.now.steady);
    }
}

void checkMemory(GateContext &context)
{
    retryReleases(context);
    releaseAbandonedPrograms(context);
    while (const auto candidate = context.state.cachePins.evictionCandidate(context.now.steady)) {
        context.state.cachePins.recordRelease(*candidate, context.now.steady);
        releaseMemory(context, *candidate);
    }
}

} // namespace Vanillahall
