#include "entry_order_func.h"

#include "entry_gate_func.h"
#include "queries/entry_messages_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

CallBody callBody(const Program &program, const LiveCall &call)
{
    if (const auto *input = std::get_if<ModelInput>(&call.input)) {
        ModelCall body;
        body.model = input->model;
        body.messages = promptMessages(program, call.key, *input);
        body.promptTokens = call.placement.promptTokens;
        body.maxTokens = input->maxTokens;
        return body;
    }
    return std::get<ServiceCall>(call.input);
}

Urgency urgencyOf(const EntryState &entry, const HeldShard &shard, const Program &program, const LiveCall &call)
{
    Urgency urgency;
    const Program *found = shard.programs.find(program.root);
    const Program &root = found == nullptr ? program : *found;
    const std::optional<std::chrono::milliseconds> target = classTarget(entry, program.className);
    urgency.hasTarget = target.has_value();
    urgency.deadline = root.began + target.value_or(root.budget.time);
    urgency.remaining = call.expected;
    return urgency;
}

Duration timeLimitOf(const EntryState &entry, const LiveCall &call)
{
    const bool isModel = std::holds_alternative<ModelInput>(call.input);
    const Duration limit = isModel ? entry.settings.modelTimeLimit : entry.settings.serviceTimeLimit;
    return std::min(limit, Duration(call.deadline - entry.now.steady));
}

RunCall runCall(const EntryState &entry, const HeldShard &shard, const LiveCall &call, const Fence &fence)
{
    const Program &program = *shard.programs.find(call.key.program);
    RunCall order;
    order.key = call.key;
    order.attempt = call.attempt;
    order.fence = fence;
    order.customer = program.customer;
    order.className = program.className;
    order.content = call.content;
    order.urgency = urgencyOf(entry, shard, program, call);
    order.timeLimit = timeLimitOf(entry, call);
    order.body = callBody(program, call);
    order.began = call.began;
    if (const auto *input = std::get_if<ModelInput>(&call.input)) {
        order.newMessages = static_cast<std::uint32_t>(input->messages.size());
    }
    return order;
}

/** @return Fence for the call's gate, if the lease allows orders. */
std::optional<Fence> fenceFor(EntryState &entry, const LiveCall &call)
{
    const HeldShard *shard = servingShard(entry, call.key.program.shard);
    if (shard == nullptr) {
        return std::nullopt;
    }
    return makeFence(entry, *shard, entry.gates[call.server]);
}

} // namespace

void sendOrder(EntryState &entry, LiveCall &call)
{
    const std::optional<Fence> fence = fenceFor(entry, call);
    if (!fence) {
        return;
    }
    const HeldShard &shard = entry.shards.at(call.key.program.shard);
    sendToGate(entry, call.server, runCall(entry, shard, call, *fence));
    call.sendCount++;
    call.validUntil = std::max(call.validUntil, fence->validUntil);
    call.sentTo.insert(call.server);
    call.phase = CallPhase::Ordered;
    call.since = entry.now.steady;
    logLine(entry, LogLevel::Info, EventNumber::TurnOrdered, call.key, call.server.text, "attempt " + std::to_string(call.attempt.value));
}

void sendFetch(EntryState &entry, LiveCall &call)
{
    const GateLink &link = entry.gates[call.server];
    const bool expired = link.clock > call.validUntil;
    const std::optional<Fence> fence = fenceFor(entry, call);
    if (!fence || (call.awaitExpiry && !expired)) {
        return;
    }
    sendToGate(entry, call.server, FetchCall{call.key, call.attempt, *fence, static_cast<std::uint32_t>(call.pieces.size())});
    call.fetchedAfterExpiry = expired;
    call.awaitExpiry = false;
    call.phase = CallPhase::Fetching;
    call.since = entry.now.steady;
    if (call.cancelled) {
        sendCancel(entry, call);
    }
}

void sendCancel(EntryState &entry, LiveCall &call)
{
    if (const std::optional<Fence> fence = fenceFor(entry, call)) {
        sendToGate(entry, call.server, CancelCall{call.key, call.attempt, *fence});
    }
}

} // namespace Vanillahall
