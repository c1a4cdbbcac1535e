#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Vanillahall {

namespace {

constexpr OrderRank MaxRank{Epoch{std::numeric_limits<std::uint64_t>::max()},
                            Attempt{std::numeric_limits<std::uint32_t>::max()}}; ///< Above the rank of any order.

/** @return Whether the call of a fenced order may have run. An order for another run of the gate may name a call of that run. */
RunState requestedRunState(const GateState &state, const CallKey &key, ErrorCode fenceError)
{
    return fenceError == ErrorCode::WrongIncarnation ? RunState::Unknown : runStateOf(state, key);
}

void refuseUnknown(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, const Fence &fence)
{
    const RunState run = runStateOf(context.state, key);
    addTombstone(context, key, OrderTombstone{OrderRank{fence.epoch, attempt}, ErrorCode::Cancelled, run, fence.validUntil});
    Error error;
    error.code = ErrorCode::NotFound;
    error.run = run;
    error.step = Step::Dispatch;
    error.message = "the gate does not know this call";
    refuseOrder(context, link, key, attempt, std::move(error));
}

void fetchCall(GateContext &context, LinkId link, const FetchCall &order)
{
    if (const auto error = checkFence(context.state, order.fence, order.key.program.shard, context.now)) {
        refuseFenced(context, link, order.key, order.attempt, *error, requestedRunState(context.state, order.key, *error));
        return;
    }
    recordHolder(context, link, order.fence);
    const auto it = context.state.calls.find(order.key);
    if (it == context.state.calls.end()) {
        refuseUnknown(context, link, order.key, order.attempt, order.fence);
        return;
    }
    subscribeToCall(context, it->second, Subscriber{link, order.attempt}, order.fromToken);
}

void handleCancelOrder(GateContext &context, LinkId link, const CancelCall &order)
{
    if (const auto error = checkFence(context.state, order.fence, order.key.program.shard, context.now)) {
        refuseFenced(context, link, order.key, order.attempt, *error, requestedRunState(context.state, order.key, *error));
        return;
    }
    recordHolder(context, link, order.fence);
    const auto it = context.state.calls.find(order.key);
    if (it == context.state.calls.end()) {
        refuseUnknown(context, link, order.key, order.attempt, order.fence);
        return;
    }
    if (OrderRank{order.fence.epoch, order.attempt} >= it->second.rank) {
        cancelCall(context, it->second, "cancelled by its holder");
    }
}

void settleCalls(GateContext &context, LinkId link, const SettleCalls &order)
{
    if (const auto error = checkFence(context.state, order.fence, order.fence.shard, context.now)) {
        context.state.counters.fenced++;
        writeLog(context,
                 LogLevel::Warning,
                 EventNumber::OrderFenced,
                 std::nullopt,
                 "settlement refused: the order is not from the current holder of the shard, or expired");
        return;
    }
    recordHolder(context, link, order.fence);
    for (const CallKey &key : order.keys) {
        const auto it = context.state.calls.find(key);
        if (key.program.shard != order.fence.shard || (it != context.state.calls.end() && it->second.state != HeldState::Finished)) {
            continue;
        }
        const RunState run = it == context.state.calls.end() ? RunState::Ran : runStateOf(context.state, key);
        addTombstone(context, key, OrderTombstone{MaxRank, ErrorCode::Conflict, run, order.fence.validUntil});
        eraseCall(context, key);
    }
}

/** Cancels and erases all calls of a program; a non-repeatable one at the server is erased when it ends. */
void cancelProgramCalls(GateContext &context, const ProgramId &program)
{
    auto it = context.state.calls.lower_bound(CallKey{program, Turn{0}});
    while (it != context.state.calls.end() && it->first.program == program) {
        RetainedCall &call = it->second;
        ++it;
        cancelCall(context, call, "the program has ended");
        if (call.state == HeldState::Finished) {
            eraseCall(context, CallKey(call.key));
        } else {
            call.eraseWhenFinished = true;
            call.subscribers.clear();
        }
    }
}

void endProgram(GateContext &context, LinkId link, const EndProgram &order)
{
    if (const auto error = checkFence(context.state, order.fence, order.program.shard, context.now)) {
        refuseFenced(context, link, CallKey{order.program, Turn{0}}, Attempt{0}, *error, RunState::NotRun);
        return;
    }
    recordHolder(context, link, order.fence);
    GateTime &until = context.state.endedPrograms[order.program];
    until = std::max(until, order.fence.validUntil + context.state.settings.outcomeRetention);
    cancelProgramCalls(context, order.program);
    if (context.state.cachePins.recordEnd(order.program, context.now.steady)) {
        releaseMemory(context, order.program);
    }
}

void adoptShard(GateContext &context, LinkId link, const AdoptShard &order)
{
    const ShardId shard = order.fence.shard;
    const auto error = checkFence(context.state, order.fence, shard, context.now);
    if (error == ErrorCode::StaleEpoch) {
        context.state.counters.fenced++;
        context.actions.emplace_back(SendToLink{link, ShardAdopted{shard, context.state.shards[shard].epoch, {}, {}}});
        return;
    }
    if (error) {
        context.state.counters.fenced++;
        context.actions.emplace_back(SendToLink{link, gateStatus(context.state, 0, context.now)});
        return;
    }
    recordHolder(context, link, order.fence);
    context.actions.emplace_back(
        SendToLink{link, ShardAdopted{shard, order.fence.epoch, heldCalls(context.state, shard), pinnedPrograms(context.state, shard)}});
}

/** Dispatches each order to its command. */
struct OrderVisitor
{
    GateContext &context; ///< Context of the event.
    LinkId link;          ///< Link that the order was received on.

    void operator()(const RunCall &order) const
    {
        runCall(context, link, order);
    }
    void operator()(const FetchCall &order) const
    {
        fetchCall(context, link, order);
    }
    void operator()(const CancelCall &order) const
    {
        handleCancelOrder(context, link, order);
    }
    void operator()(const SettleCalls &order) const
    {
        settleCalls(context, link, order);
    }
    void operator()(const EndProgram &order) const
    {
        endProgram(context, link, order);
    }
    void operator()(const AdoptShard &order) const
    {
        adoptShard(context, link, order);
    }
    void operator()(const ConfigUpdate &order) const
    {
        onConfig(context, order.config);
    }
    void operator()(const Probe &order) const
    {
        context.actions.emplace_back(SendToLink{link, gateStatus(context.state, order.sequence, context.now)});
    }
};

} // namespace

void handleOrder(GateContext &context, LinkId link, const EntryToGate &message)
{
    std::visit(OrderVisitor{context, link}, message);
}

void onLinkLost(GateContext &context, LinkId link)
{
    context.state.linkLastUsed.erase(link);
    for (auto &[shard, holder] : context.state.shards) {
        if (holder.link == link) {
            holder.link.reset();
        }
    }
    for (auto &[key, call] : context.state.calls) {
        std::erase_if(call.subscribers, [link](const Subscriber &subscriber) {
            return subscriber.link == link;
        });
    }
}

} // namespace Vanillahall
