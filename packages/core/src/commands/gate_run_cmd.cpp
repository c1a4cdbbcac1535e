#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);  ///< Minimum retry delay of a refused order.
constexpr Duration UnavailableRetryAfter = std::chrono::seconds(1); ///< Retry delay while the server is unreachable or leaving.

OrderRank rankOf(const RunCall &order)
{
    return OrderRank{order.fence.epoch, order.attempt};
}

/** @return The error that refuses an order; its run state also covers earlier orders of the call. */
Error refusal(const GateState &state, const RunCall &order, ErrorCode code, std::string text)
{
    Error error;
    error.code = code;
    error.run = runStateOf(state, order.key);
    error.step = Step::Admit;
    error.message = std::move(text);
    return error;
}

/** @return Why no new call is accepted now; nothing if it is. */
std::optional<Error> admissionError(const GateState &state, const RunCall &order)
{
    if (isLeaving(state)) {
        Error error = refusal(state, order, ErrorCode::Stopping, "the backend server is leaving");
        error.retryAfter = UnavailableRetryAfter;
        return error;
    }
    if (!state.server.up) {
        Error error = refusal(state, order, ErrorCode::NoServer, "the backend server does not answer");
        error.retryAfter = UnavailableRetryAfter;
        return error;
    }
    const bool full = state.running.size() >= slotsOf(state) && state.queue.size() >= state.settings.maxWaiting;
    if (full || state.heldOutcomes >= state.settings.maxHeldOutcomes) {
        Error error = refusal(state, order, ErrorCode::Overloaded, full ? "the queue is full" : "too many outcomes are not settled yet");
        error.retryAfter = std::max(MinRetryAfter, expectedWait(state));
        return error;
    }
    return std::nullopt;
}

/** @return True if a newer order may run the call again after this outcome. */
bool canRunAgain(const RetainedCall &call)
{
    if (!call.outcome) {
        return false;
    }
    const Error *error = std::get_if<Error>(&*call.outcome);
    return error != nullptr && (call.isRepeatable || error->run == RunState::NotRun);
}

/** Updates a call to a newer order; a waiting call moves to the position of the new urgency. */
void replaceOrder(GateContext &context, RetainedCall &call, const RunCall &order)
{
    call.rank = rankOf(order);
    call.urgency = order.urgency;
    if (call.state == HeldState::Waiting && context.state.queue.remove(call.key)) {
        context.state.queue.push(
            WaitingCall{call.key, call.customer, call.urgency, call.acceptedAt, expectedWork(context.state, *call.body)});
    }
}

/** Attaches an order to the existing call, or refuses it. @return False if the call has to run again. */
bool attachOrder(GateContext &context, LinkId link, const RunCall &order, RetainedCall &call)
{
    if (order.content != call.content) {
        refuseOrder(context,
                    link,
                    order.key,
                    order.attempt,
                    refusal(context.state, order, ErrorCode::Conflict, "the call is known with other content"));
        return true;
    }
    if (rankOf(order) < call.rank) {
        refuseOrder(context,
                    link,
                    order.key,
                    order.attempt,
                    refusal(context.state, order, ErrorCode::Cancelled, "a newer order replaced this one"));
        return true;
    }
    if (rankOf(order) > call.rank) {
        if (canRunAgain(call)) {
            return false;
        }
        replaceOrder(context, call, order);
    }
    context.state.counters.attached++;
    subscribeToCall(context, call, Subscriber{link, order.attempt}, 0);
    return true;
}

/** @return Why the order is refused by a tombstone; nothing if there is none for it. */
std::optional<Error> tombstoneError(const GateState &state, const RunCall &order)
{
    const auto it = state.tombstones.find(order.key);
    if (it != state.tombstones.end() && rankOf(order) <= it->second.rank) {
        return refusal(state, order, it->second.code, "the order was refused or settled before");
    }
    return std::nullopt;
}

/** Refuses an order and all later copies of it. */
void refusePermanently(GateContext &context, LinkId link, const RunCall &order, const Error &error)
{
    addTombstone(context, order.key, OrderTombstone{rankOf(order), error.code, error.run, order.fence.validUntil});
    refuseOrder(context, link, order.key, order.attempt, error);
}

} // namespace

void runCall(GateContext &context, LinkId link, const RunCall &order)
{
    if (const auto error = checkFence(context.state, order.fence, order.key.program.shard, context.now)) {
        refuseFenced(context, link, order.key, order.attempt, *error, runStateOf(context.state, order.key));
        return;
    }
    recordHolder(context, link, order.fence);
    if (context.state.endedPrograms.contains(order.key.program)) {
        refuseOrder(
            context, link, order.key, order.attempt, refusal(context.state, order, ErrorCode::ProgramEnded, "the program has ended"));
        return;
    }
    const auto it = context.state.calls.find(order.key);
    if (it != context.state.calls.end() && attachOrder(context, link, order, it->second)) {
        return;
    }
    if (const auto error = tombstoneError(context.state, order)) {
        refuseOrder(context, link, order.key, order.attempt, *error);
        return;
    }
    if (const auto error = admissionError(context.state, order)) {
        refusePermanently(context, link, order, *error);
        return;
    }
    acceptCall(context, link, order);
}

} // namespace Vanillahall
