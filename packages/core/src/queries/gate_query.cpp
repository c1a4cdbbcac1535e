#include "vanillahall/core/gate_query_func.h"

#include "gate_state_type.h"

#include <algorithm>
#include <limits>

namespace Vanillahall {

namespace {

constexpr Duration DefaultTokenInterval = std::chrono::milliseconds(20);    ///< Time between tokens before any was observed.
constexpr Duration DefaultPrefillPerToken = std::chrono::microseconds(100); ///< Prefill time per token before any was observed.
constexpr Duration DefaultCallTime = std::chrono::milliseconds(50);         ///< Time of a service call before any was observed.
constexpr std::uint32_t DefaultCompletionTokens = 128;                      ///< Completion length before any was observed.
constexpr std::int32_t MaxPriority = 12;                                    ///< Priority of programs with less than a second of slack.

template<typename Value>
Value observedOr(Value observed, Value first)
{
    return observed == Value{} ? first : observed;
}

} // namespace

std::uint32_t slotsOf(const GateState &state)
{
    return state.server.slots > 0 ? state.server.slots : state.settings.slots;
}

bool isLeaving(const GateState &state)
{
    return state.declaredLeaving || state.stop.has_value();
}

Duration expectedPrefill(const GateState &state, std::uint32_t promptTokens)
{
    return observedOr(state.server.prefillPerToken, DefaultPrefillPerToken) * static_cast<Duration::rep>(promptTokens);
}

Duration expectedWork(const GateState &state, const CallBody &body)
{
    const ServerView &server = state.server;
    const auto *model = std::get_if<ModelCall>(&body);
    if (model == nullptr) {
        return observedOr(server.callTime, DefaultCallTime);
    }
    const auto output = std::min(model->maxTokens, observedOr(server.completionTokens, DefaultCompletionTokens));
    return expectedPrefill(state, model->promptTokens)
        + observedOr(server.tokenInterval, DefaultTokenInterval) * static_cast<Duration::rep>(output);
}

Duration expectedWait(const GateState &state)
{
    const std::uint32_t slots = slotsOf(state);
    if (state.running.size() < slots || slots == 0) {
        return Duration{};
    }
    const Duration waiting = state.queue.totalWork();
    const Duration perCall = state.queue.size() > 0 ? waiting / static_cast<Duration::rep>(state.queue.size()) : Duration{};
    return (waiting + perCall) / static_cast<Duration::rep>(slots);
}

std::int32_t enginePriority(const Urgency &urgency, WallTime now)
{
    using std::chrono::milliseconds;
    const milliseconds slack = urgency.deadline - now - std::chrono::duration_cast<milliseconds>(urgency.remaining);
    if (!urgency.hasTarget || slack < milliseconds{}) {
        return 0;
    }
    std::int32_t priority = MaxPriority;
    milliseconds limit = std::chrono::seconds(1);
    while (priority > 1 && slack >= limit) {
        priority--;
        limit *= 2;
    }
    return priority;
}

GateStatus gateStatus(const GateState &state, std::uint64_t sequence, Now now)
{
    GateStatus status;
    status.sequence = sequence;
    status.server = state.settings.server;
    status.zone = state.settings.zone;
    status.incarnation = state.settings.incarnation;
    status.clock = GateTime(now.steady.time_since_epoch());
    status.kind = state.settings.kind;
    status.models = state.server.models;
    status.service = state.settings.service;
    status.config = state.config.version;
    status.leaving = isLeaving(state);
    status.serverUp = state.server.up;
    status.waiting = static_cast<std::uint32_t>(state.queue.size());
    status.running = static_cast<std::uint32_t>(state.running.size());
    status.slots = slotsOf(state);
    status.expectedWait = expectedWait(state);
    status.tokenInterval = state.server.tokenInterval;
    status.prefillPerToken = state.server.prefillPerToken;
    status.cacheTokens = state.server.cacheTokens;
    status.cacheCapacity = state.server.cacheCapacity;
    return status;
}

GateCounters gateCounters(const GateState &state)
{
    GateCounters counters = state.counters;
    counters.cache = state.cachePins.counters();
    return counters;
}

std::vector<HeldCall> heldCalls(const GateState &state, ShardId shard)
{
    std::vector<HeldCall> calls;
    for (auto it = state.calls.lower_bound(CallKey{ProgramId{shard, 0}, Turn{0}}); it != state.calls.end(); ++it) {
        if (it->first.program.shard != shard) {
            break;
        }
        if (!it->second.eraseWhenFinished) {
            const RetainedCall &call = it->second;
            calls.push_back(HeldCall{it->first, call.rank.attempt, call.content, call.state, call.input, call.submitted});
        }
    }
    return calls;
}

std::vector<ProgramId> pinnedPrograms(const GateState &state, ShardId shard)
{
    std::vector<ProgramId> programs = state.cachePins.programs(shard);
    for (auto it = state.pendingReleases.lower_bound(ProgramId{shard, 0}); it != state.pendingReleases.end() && it->first.shard == shard;
         ++it) {
        programs.push_back(it->first);
    }
    std::sort(programs.begin(), programs.end());
    return programs;
}

RunState runStateOf(const GateState &state, const CallKey &key)
{
    const auto it = state.calls.find(key);
    if (it == state.calls.end()) {
        const auto tombstone = state.tombstones.find(key);
        return tombstone == state.tombstones.end() ? RunState::NotRun : tombstone->second.run;
    }
    if (!it->second.outcome) {
        return RunState::Unknown;
    }
    const Error *error = std::get_if<Error>(&*it->second.outcome);
    return error == nullptr ? RunState::Ran : error->run;
}

} // namespace Vanillahall
