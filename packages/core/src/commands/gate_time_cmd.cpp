#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);    ///< Time between removals of expired entries.
constexpr Duration LinkIdleTimeout = std::chrono::seconds(10); ///< A link without a message for this long is sent no status.
constexpr Duration StopFetchGrace = std::chrono::seconds(2);   ///< Minimum time to fetch the last outcome on a planned stop.

/** @return True once per interval; sets `last` to `now` then. */
bool isDue(TimePoint &last, Duration interval, TimePoint now)
{
    if (now - last < interval) {
        return false;
    }
    last = now;
    return true;
}

void sendStatus(GateContext &context)
{
    const GateStatus status = gateStatus(context.state, 0, context.now);
    for (const auto &[link, used] : context.state.linkLastUsed) {
        if (context.now.steady - used < LinkIdleTimeout) {
            context.actions.emplace_back(SendToLink{link, status});
        }
    }
}

void sendPinnedPrograms(GateContext &context)
{
    for (const auto &[shard, holder] : context.state.shards) {
        std::vector<ProgramId> programs = pinnedPrograms(context.state, shard);
        if (holder.link && !programs.empty()) {
            context.actions.emplace_back(SendToLink{*holder.link, PinnedPrograms{shard, std::move(programs)}});
        }
    }
}

/** Drops an outcome that was not settled in time. The run state of the non-repeatable call is retained, so that it is not run again. */
void dropOutcome(GateState &state, RetainedCall &call)
{
    const Error *old = std::get_if<Error>(&*call.outcome);
    Error error;
    error.code = ErrorCode::Timeout;
    error.run = old == nullptr ? RunState::Ran : old->run;
    error.step = Step::Commit;
    error.peer = state.settings.server.text;
    error.message = "the outcome was not settled in time and is no longer kept";
    call.outcome = std::move(error);
    call.tokens.clear();
    call.isOutcomeDropped = true;
    state.heldOutcomes--;
}

void dropExpiredOutcomes(GateContext &context)
{
    GateState &state = context.state;
    std::vector<CallKey> expired;
    for (auto &[key, call] : state.calls) {
        if (call.isOutcomeDropped || call.state != HeldState::Finished
            || context.now.steady - call.endedAt < state.settings.outcomeRetention) {
            continue;
        }
        if (call.isRepeatable || runStateOf(state, key) == RunState::NotRun) {
            expired.push_back(key);
        } else {
            dropOutcome(state, call);
        }
    }
    for (const CallKey &key : expired) {
        eraseCall(context, key);
    }
}

void sweep(GateContext &context)
{
    const GateTime now = gateTime(context.now);
    dropExpiredOutcomes(context);
    std::erase_if(context.state.tombstones, [now](const auto &item) {
        return item.second.until < now;
    });
    std::erase_if(context.state.endedPrograms, [now](const auto &item) {
        return item.second < now;
    });
    context.state.cachePins.removeReleased(context.state.settings.outcomeRetention, context.now.steady);
    checkMemory(context);
}

/** @return True if an outcome is retained that was neither settled nor fetched. */
bool hasUnfetchedOutcome(const GateState &state)
{
    return std::any_of(state.calls.begin(), state.calls.end(), [](const auto &item) {
        const RetainedCall &call = item.second;
        return call.state == HeldState::Finished && !call.wasFetched && !call.isOutcomeDropped;
    });
}

} // namespace

void onTick(GateContext &context)
{
    checkRunning(context);
    checkServerDown(context);
    GateTimers &timers = context.state.timers;
    const GateSettings &settings = context.state.settings;
    if (isDue(timers.lastSweep, SweepInterval, context.now.steady)) {
        sweep(context);
    }
    if (isDue(timers.lastStatus, settings.statusInterval, context.now.steady)) {
        sendStatus(context);
    }
    if (isDue(timers.lastPinReport, settings.pinReportInterval, context.now.steady)) {
        sendPinnedPrograms(context);
    }
}

void onStop(GateContext &context)
{
    if (context.state.stop) {
        return;
    }
    context.state.stop = GateStop{context.now.steady, context.now.steady, false};
    writeLog(context, LogLevel::Info, EventNumber::StopBegun, std::nullopt, "planned stop: no new calls are accepted");
    sendStatus(context);
}

void onConfig(GateContext &context, const ConfigRow &config)
{
    GateState &state = context.state;
    if (config.version <= state.config.version) {
        return;
    }
    state.config = config;
    state.declaredLeaving = std::any_of(config.servers.begin(), config.servers.end(), [&state](const ServerDeclaration &it) {
        return it.name == state.settings.server && it.state == ServerState::Leaving;
    });
    writeLog(context, LogLevel::Info, EventNumber::ConfigInForce, std::nullopt, "version " + std::to_string(config.version.value));
}

void checkStop(GateContext &context)
{
    GateState &state = context.state;
    if (!state.stop || state.stop->done || !state.running.empty() || state.queue.size() > 0) {
        return;
    }
    const TimePoint limit = std::max(state.stop->requestedAt + state.settings.stopLimit, state.stop->lastFinish + StopFetchGrace);
    if (hasUnfetchedOutcome(state) && context.now.steady < limit) {
        return;
    }
    state.stop->done = true;
    writeLog(context, LogLevel::Info, EventNumber::StopDone, std::nullopt, "planned stop: no calls are left");
    context.actions.emplace_back(StopFinished{});
}

void writeLog(GateContext &context, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string text)
{
    context.actions.emplace_back(WriteLog{level, event, call, context.state.settings.server.text, std::move(text)});
}

} // namespace Vanillahall
