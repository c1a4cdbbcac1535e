#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <utility>
#include <vector>

namespace Vanillahall {

namespace {

constexpr std::uint32_t MaxResumes = 3;                                 ///< Attempts to resume a stream without a new token in between.
constexpr Duration InitialResumeDelay = std::chrono::milliseconds(200); ///< Delay before the second attempt; doubles with each further one.
constexpr int PrefillTimeoutFactor = 3; ///< Factor on the expected prefill time when waiting for the first token.

/** Resumes a stream at once. */
void sendResume(GateContext &context, RetainedCall &call)
{
    call.stream.resumeCount++;
    call.stream.wasResumed = true;
    call.stream.resumeAt.reset();
    call.stream.lastActivity = context.now.steady;
    context.state.counters.resumed++;
    context.actions.emplace_back(ResumeServerCall{call.serverCall, static_cast<std::uint32_t>(call.tokens.size())});
}

/** @return Maximum silence of a stream; a long prompt delays its first token. */
Duration allowedSilence(const GateState &state, const RetainedCall &call)
{
    Duration allowed = state.settings.streamSilence;
    if (call.tokens.empty()) {
        allowed += PrefillTimeoutFactor * expectedPrefill(state, call.promptTokens);
    }
    return allowed;
}

void checkStream(GateContext &context, RetainedCall &call)
{
    if (call.stream.resumeAt) {
        if (context.now.steady >= *call.stream.resumeAt) {
            sendResume(context, call);
        }
        return;
    }
    if (context.now.steady - call.stream.lastActivity > allowedSilence(context.state, call)) {
        resumeStream(context, call, "the stream is silent");
    }
}

} // namespace

void resumeStream(GateContext &context, RetainedCall &call, const std::string &text)
{
    if (call.stream.resumeAt) {
        return;
    }
    if (call.stream.resumeCount >= MaxResumes) {
        context.actions.emplace_back(CancelServerCall{call.serverCall});
        failCall(context, call, ErrorCode::ServerFailed, unfinishedRunState(call), text);
        return;
    }
    if (call.stream.resumeCount == 0) {
        sendResume(context, call);
        return;
    }
    call.stream.resumeAt = context.now.steady + InitialResumeDelay * (1 << (call.stream.resumeCount - 1));
}

std::vector<CallKey> runningCalls(const GateState &state)
{
    std::vector<CallKey> keys;
    keys.reserve(state.running.size());
    for (const auto &[id, key] : state.running) {
        keys.push_back(key);
    }
    return keys;
}

void checkRunning(GateContext &context)
{
    for (const CallKey &key : runningCalls(context.state)) {
        RetainedCall &call = context.state.calls.at(key);
        if (context.now.steady - call.startedAt >= call.timeLimit) {
            context.actions.emplace_back(CancelServerCall{call.serverCall});
            failCall(context, call, ErrorCode::Timeout, unfinishedRunState(call), "the time limit of the call passed");
        } else if (call.isModelCall) {
            checkStream(context, call);
        }
    }
}

void checkServerDown(GateContext &context)
{
    GateState &state = context.state;
    if (state.server.up || context.now.steady - state.server.downSince < state.settings.serverDownGrace) {
        return;
    }
    while (const auto waiting = state.queue.pop(context.now)) {
        failCall(context, state.calls.at(waiting->key), ErrorCode::NoServer, RunState::NotRun, "the backend server does not answer");
    }
}

} // namespace Vanillahall
