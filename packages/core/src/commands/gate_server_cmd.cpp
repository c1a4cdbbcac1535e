#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr int SmoothingDivisor = 8; ///< The weight of a new observation is one part in this many.

template<typename Value>
Value smoothed(Value old, Value observed)
{
    return old == Value{} ? observed : old + (observed - old) / SmoothingDivisor;
}

RetainedCall *findRunning(GateState &state, ServerCallId id)
{
    const auto it = state.running.find(id);
    return it == state.running.end() ? nullptr : &state.calls.at(it->second);
}

void recordCallStarted(GateContext &context, RetainedCall &call)
{
    if (call.hasStarted) {
        return;
    }
    call.hasStarted = true;
    for (const Subscriber &subscriber : call.subscribers) {
        context.actions.emplace_back(SendToLink{subscriber.link, CallStarted{call.key, subscriber.attempt}});
    }
}

/** Fills in times that the server did not report, from the gate's own clock, and the complete body of a resumed stream. */
void completeResult(const RetainedCall &call, CallResult &result, TimePoint now)
{
    result.waited = call.startedAt - call.acceptedAt;
    if (!call.isModelCall) {
        return;
    }
    const TimePoint first = call.tokens.empty() ? now : call.firstTokenAt;
    if (result.prefill == Duration{}) {
        result.prefill = first - call.startedAt;
    }
    if (result.decode == Duration{}) {
        result.decode = now - first;
    }
    if (call.stream.wasResumed && !call.tokens.empty()) {
        result.body.clear();
        for (const std::string &piece : call.tokens) {
            result.body += piece;
        }
    }
}

/** Updates the estimates of the server's speed from one result. */
void updateSpeedEstimates(GateState &state, const RetainedCall &call, const CallResult &result, TimePoint now)
{
    ServerView &server = state.server;
    if (!call.isModelCall) {
        server.callTime = smoothed(server.callTime, Duration(now - call.startedAt));
        return;
    }
    if (result.promptTokens > result.cachedTokens) {
        server.prefillPerToken = smoothed(server.prefillPerToken, result.prefill / (result.promptTokens - result.cachedTokens));
    }
    if (result.completionTokens > 1) {
        server.tokenInterval = smoothed(server.tokenInterval, result.decode / (result.completionTokens - 1));
    }
    server.completionTokens = static_cast<std::uint32_t>(
        smoothed(static_cast<std::int64_t>(server.completionTokens), static_cast<std::int64_t>(result.completionTokens)));
}

void failService(GateContext &context, RetainedCall &call, const ServerCallFailed &event)
{
    switch (event.failure) {
    case ServerFailure::NotSent:
    case ServerFailure::Refused:
        failCall(context, call, ErrorCode::ServerRefused, RunState::NotRun, event.message);
        return;
    case ServerFailure::Silent:
        failCall(context, call, ErrorCode::Timeout, RunState::Unknown, event.message);
        return;
    case ServerFailure::Broken:
    case ServerFailure::Unreadable:
        failCall(context, call, ErrorCode::ServerFailed, RunState::Unknown, event.message);
        return;
    }
}

void failModel(GateContext &context, RetainedCall &call, const ServerCallFailed &event)
{
    const bool refused = event.failure == ServerFailure::Refused;
    if (!call.stream.wasResumed && (refused || event.failure == ServerFailure::NotSent)) {
        failCall(context, call, ErrorCode::ServerRefused, RunState::NotRun, event.message);
    } else if (refused) {
        failCall(context, call, ErrorCode::ServerFailed, unfinishedRunState(call), event.message);
    } else {
        resumeStream(context, call, event.message);
    }
}

/** Resumes all streams after a restart of the engine, which has lost them and its cache. A stream begun since then survives the resume. */
void onServerRestart(GateContext &context)
{
    context.state.cachePins.recordEngineRestart();
    for (const CallKey &key : runningCalls(context.state)) {
        RetainedCall &call = context.state.calls.at(key);
        if (call.isModelCall) {
            resumeStream(context, call, "the engine restarted");
        }
    }
}

void updateServerUp(GateContext &context, bool up)
{
    ServerView &server = context.state.server;
    if (server.up == up) {
        return;
    }
    server.up = up;
    server.downSince = context.now.steady;
    if (up) {
        writeLog(context, LogLevel::Info, EventNumber::ServerBack, std::nullopt, "the backend server responds again");
    } else {
        writeLog(context, LogLevel::Warning, EventNumber::ServerAway, std::nullopt, "the backend server does not respond");
    }
}

} // namespace

void onServerCallStarted(GateContext &context, const ServerCallStarted &event)
{
    RetainedCall *call = findRunning(context.state, event.call);
    if (call != nullptr) {
        call->stream.lastActivity = context.now.steady;
        recordCallStarted(context, *call);
    }
}

void onServerTokensReceived(GateContext &context, const ServerTokensReceived &event)
{
    RetainedCall *call = findRunning(context.state, event.call);
    if (call == nullptr || !call->isModelCall) {
        return;
    }
    const std::size_t known = call->tokens.size();
    if (event.firstToken > known) {
        resumeStream(context, *call, "tokens are missing");
        return;
    }
    recordCallStarted(context, *call);
    call->stream.lastActivity = context.now.steady;
    call->stream.resumeAt.reset();
    const std::size_t skip = known - event.firstToken;
    if (skip >= event.pieces.size()) {
        return;
    }
    if (known == 0) {
        call->firstTokenAt = context.now.steady;
    }
    call->stream.resumeCount = 0;
    const std::vector<std::string> newPieces(event.pieces.begin() + static_cast<std::ptrdiff_t>(skip), event.pieces.end());
    call->tokens.insert(call->tokens.end(), newPieces.begin(), newPieces.end());
    context.state.counters.tokens += newPieces.size();
    for (const Subscriber &subscriber : call->subscribers) {
        context.actions.emplace_back(
            SendToLink{subscriber.link, CallTokens{call->key, subscriber.attempt, static_cast<std::uint32_t>(known), newPieces}});
    }
}

void onServerCallFinished(GateContext &context, const ServerCallFinished &event)
{
    RetainedCall *call = findRunning(context.state, event.call);
    if (call == nullptr) {
        return;
    }
    recordCallStarted(context, *call);
    CallResult result = event.result;
    completeResult(*call, result, context.now.steady);
    updateSpeedEstimates(context.state, *call, result, context.now.steady);
    if (call->isModelCall) {
        context.state.cachePins.recordResult(call->key.program, result.promptTokens, result.cachedTokens, result.completionTokens);
    }
    context.state.counters.finished++;
    finishCall(context, *call, std::move(result));
}

void onServerCallFailed(GateContext &context, const ServerCallFailed &event)
{
    RetainedCall *call = findRunning(context.state, event.call);
    if (call == nullptr) {
        return;
    }
    if (call->isModelCall) {
        failModel(context, *call, event);
    } else {
        failService(context, *call, event);
    }
}

void onServerLoad(GateContext &context, const ServerLoad &event)
{
    ServerView &server = context.state.server;
    updateServerUp(context, event.up);
    if (!event.up) {
        return;
    }
    const bool restarted = server.hasReported && server.run != event.serverRun;
    server.hasReported = true;
    server.run = event.serverRun;
    server.slots = event.slots;
    server.cacheTokens = event.cacheTokens;
    server.cacheCapacity = event.cacheCapacity;
    server.models = event.models;
    context.state.cachePins.setCapacity(event.cacheCapacity);
    if (restarted) {
        onServerRestart(context);
    }
}

} // namespace Vanillahall
