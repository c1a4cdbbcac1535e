#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration DefaultTimeLimit = std::chrono::minutes(5); ///< Time limit of a call whose order names none.

/** @return The turn's own input; for a model call without the history before it. */
CallInput turnInput(const RunCall &order)
{
    const auto *model = std::get_if<ModelCall>(&order.body);
    if (model == nullptr) {
        return std::get<ServiceCall>(order.body);
    }
    const std::size_t count = std::min<std::size_t>(order.newMessages, model->messages.size());
    const auto first = model->messages.end() - static_cast<std::ptrdiff_t>(count);
    return ModelInput{model->model, {first, model->messages.end()}, model->maxTokens};
}

RetainedCall retainedCall(const RunCall &order, Now now)
{
    RetainedCall call;
    call.key = order.key;
    call.rank = OrderRank{order.fence.epoch, order.attempt};
    call.customer = order.customer;
    call.className = order.className;
    call.content = order.content;
    call.urgency = order.urgency;
    call.timeLimit = order.timeLimit > Duration{} ? order.timeLimit : DefaultTimeLimit;
    call.body = order.body;
    call.input = turnInput(order);
    call.submitted = order.began;
    call.acceptedAt = now.steady;
    if (const auto *model = std::get_if<ModelCall>(&order.body)) {
        call.isModelCall = true;
        call.isRepeatable = true;
        call.promptTokens = model->promptTokens;
    } else {
        call.isRepeatable = std::get<ServiceCall>(order.body).repeatable;
    }
    return call;
}

void startCall(GateContext &context, RetainedCall &call)
{
    GateState &state = context.state;
    call.state = HeldState::Running;
    call.serverCall = ServerCallId{++state.lastServerCall};
    call.startedAt = context.now.steady;
    call.stream.lastActivity = context.now.steady;
    state.running.emplace(call.serverCall, call.key);
    state.counters.started++;
    if (call.isModelCall) {
        state.pendingReleases.erase(call.key.program);
        state.cachePins.recordStart(call.key.program, call.className, call.promptTokens, context.now.steady);
    }
    const std::int32_t priority = enginePriority(call.urgency, context.now.wall);
    context.actions.emplace_back(StartServerCall{call.serverCall, call.key, std::move(*call.body), priority, call.timeLimit});
    call.body.reset();
}

void sendToSubscribers(GateContext &context, const RetainedCall &call)
{
    for (const Subscriber &subscriber : call.subscribers) {
        context.actions.emplace_back(SendToLink{subscriber.link, CallFinished{call.key, subscriber.attempt, *call.outcome}});
    }
}

} // namespace

RunState unfinishedRunState(const RetainedCall &call)
{
    if (call.state == HeldState::Waiting) {
        return RunState::NotRun;
    }
    return call.isModelCall && !call.tokens.empty() ? RunState::Ran : RunState::Unknown;
}

void acceptCall(GateContext &context, LinkId link, const RunCall &order)
{
    GateState &state = context.state;
    eraseCall(context, order.key);
    state.tombstones.erase(order.key);
    RetainedCall &call = state.calls.emplace(order.key, retainedCall(order, context.now)).first->second;
    call.subscribers.push_back(Subscriber{link, order.attempt});
    state.counters.accepted++;
    state.cachePins.recordResume(order.key.program, context.now.steady);
    state.queue.push(WaitingCall{call.key, call.customer, call.urgency, call.acceptedAt, expectedWork(state, *call.body)});
}

void startCalls(GateContext &context)
{
    GateState &state = context.state;
    while (state.server.up && state.running.size() < slotsOf(state)) {
        const auto next = state.queue.pop(context.now);
        if (!next) {
            return;
        }
        startCall(context, state.calls.at(next->key));
    }
}

void finishCall(GateContext &context, RetainedCall &call, CallOutcome outcome)
{
    GateState &state = context.state;
    if (call.state == HeldState::Waiting) {
        state.queue.remove(call.key);
    } else {
        state.running.erase(call.serverCall);
    }
    call.state = HeldState::Finished;
    call.body.reset();
    call.endedAt = context.now.steady;
    call.outcome = std::move(outcome);
    state.heldOutcomes++;
    if (state.stop) {
        state.stop->lastFinish = context.now.steady;
    }
    recordPauseIfIdle(context, call.key.program);
    sendToSubscribers(context, call);
    call.subscribers.clear();
    if (call.eraseWhenFinished) {
        eraseCall(context, CallKey(call.key));
    }
}

void failCall(GateContext &context, RetainedCall &call, ErrorCode code, RunState run, std::string text)
{
    context.state.counters.failed++;
    if (!call.isRepeatable && run == RunState::Unknown) {
        context.state.counters.unknown++;
        writeLog(context, LogLevel::Error, EventNumber::OutcomeUnknown, call.key, text);
    }
    Error error;
    error.code = code;
    error.run = run;
    error.step = call.state == HeldState::Waiting ? Step::Queue : Step::Run;
    error.peer = context.state.settings.server.text;
    error.message = std::move(text);
    finishCall(context, call, std::move(error));
}

void cancelCall(GateContext &context, RetainedCall &call, const std::string &text)
{
    if (call.state == HeldState::Finished || (call.state == HeldState::Running && !call.isRepeatable)) {
        return;
    }
    if (call.state == HeldState::Running) {
        context.actions.emplace_back(CancelServerCall{call.serverCall});
    }
    failCall(context, call, ErrorCode::Cancelled, unfinishedRunState(call), text);
}

void eraseCall(GateContext &context, const CallKey &key)
{
    const auto it = context.state.calls.find(key);
    if (it == context.state.calls.end()) {
        return;
    }
    if (it->second.state == HeldState::Finished && !it->second.isOutcomeDropped) {
        context.state.heldOutcomes--;
    }
    context.state.calls.erase(it);
}

void subscribeToCall(GateContext &context, RetainedCall &call, Subscriber subscriber, std::uint32_t fromToken)
{
    std::erase_if(call.subscribers, [&subscriber](const Subscriber &other) {
        return other.link == subscriber.link;
    });
    if (call.hasStarted) {
        context.actions.emplace_back(SendToLink{subscriber.link, CallStarted{call.key, subscriber.attempt}});
    }
    if (fromToken < call.tokens.size()) {
        std::vector<std::string> pieces(call.tokens.begin() + fromToken, call.tokens.end());
        context.actions.emplace_back(SendToLink{subscriber.link, CallTokens{call.key, subscriber.attempt, fromToken, std::move(pieces)}});
    }
    if (call.outcome) {
        call.wasFetched = true;
        context.actions.emplace_back(SendToLink{subscriber.link, CallFinished{call.key, subscriber.attempt, *call.outcome}});
        return;
    }
    call.subscribers.push_back(subscriber);
}

} // namespace Vanillahall
