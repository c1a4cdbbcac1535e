#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration ReleaseRetry = std::chrono::seconds(1); ///< Time between requests to release the same memory.

/** @return True if a call of the program waits or runs here. */
bool isActive(const GateState &state, const ProgramId &program)
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
    for (auto &[program, next] : context.state.releasing) {
        if (context.now.steady >= next) {
            next = context.now.steady + ReleaseRetry;
            context.out.emplace_back(FreeMemory{program});
        }
    }
}

/** @return True if nobody has held the shard for so long that its programs won't come back here. */
bool isAbandoned(const GateState &state, ShardId shard, Now now)
{
    const auto it = state.shards.find(shard);
    if (it == state.shards.end()) {
        return true;
    }
    const TimePoint valid = TimePoint(it->second.validUntil.time_since_epoch());
    return now.steady - std::max(valid, it->second.heard) > state.settings.orphanLimit;
}

void releaseAbandoned(GateContext &context)
{
    for (const ProgramId &program : context.state.cache.programs()) {
        if (isAbandoned(context.state, program.shard, context.now) && !isActive(context.state, program)) {
            context.state.cache.recordRelease(program, context.now.steady);
            releaseMemory(context, program);
        }
    }
}

} // namespace

void releaseMemory(GateContext &context, const ProgramId &program)
{
    context.state.releasing[program] = context.now.steady + ReleaseRetry;
    context.out.emplace_back(FreeMemory{program});
}

void onMemoryFreed(GateContext &context, const MemoryFreed &event)
{
    if (event.done && context.state.releasing.erase(event.program) > 0) {
        writeLog(context, LogLevel::Info, EventNumber::MemoryReleased, CallKey{event.program, Turn{0}}, "engine memory released");
    }
}

void notePause(GateContext &context, const ProgramId &program)
{
    if (context.state.cache.isPinned(program) && !isActive(context.state, program)) {
        context.state.cache.recordPause(program, context.now.steady);
    }
}

void checkMemory(GateContext &context)
{
    retryReleases(context);
    releaseAbandoned(context);
    while (const auto victim = context.state.cache.victim(context.now.steady)) {
        context.state.cache.recordRelease(*victim, context.now.steady);
        releaseMemory(context, *victim);
    }
}

} // namespace Vanillahall
