#include "commands/gate_cmd.h"

#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration RefusalLogInterval = std::chrono::seconds(1);    ///< Minimum time between log lines about refused orders.
constexpr Duration MinTombstoneLifetime = std::chrono::seconds(10); ///< Minimum time for which a tombstone is retained.

} // namespace

std::optional<ErrorCode> checkFence(const GateState &state, const Fence &fence, ShardId shard, Now now)
{
    if (fence.shard != shard) {
        return ErrorCode::BadRequest;
    }
    if (fence.incarnation != state.settings.incarnation) {
        return ErrorCode::WrongIncarnation;
    }
    const auto it = state.shards.find(fence.shard);
    if (it != state.shards.end() && fence.epoch < it->second.epoch) {
        return ErrorCode::StaleEpoch;
    }
    if (gateTime(now) > fence.validUntil) {
        return ErrorCode::OrderExpired;
    }
    return std::nullopt;
}

void recordHolder(GateContext &context, LinkId link, const Fence &fence)
{
    ShardHolder &holder = context.state.shards[fence.shard];
    holder.epoch = std::max(holder.epoch, fence.epoch);
    holder.validUntil = std::max(holder.validUntil, fence.validUntil);
    holder.lastOrderAt = context.now.steady;
    holder.link = link;
}

void addTombstone(GateContext &context, const CallKey &key, const OrderTombstone &tombstone)
{
    const auto [it, inserted] = context.state.tombstones.try_emplace(key, tombstone);
    OrderTombstone &old = it->second;
    if (!inserted && old.rank <= tombstone.rank) {
        old.rank = tombstone.rank;
        old.code = tombstone.code;
        old.run = tombstone.run;
    }
    old.until = std::max({old.until, tombstone.until, gateTime(context.now) + MinTombstoneLifetime});
}

void refuseOrder(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, Error error)
{
    context.state.counters.refused++;
    error.peer = context.state.settings.server.text;
    if (context.now.steady - context.state.timers.lastRefusalLog >= RefusalLogInterval) {
        context.state.timers.lastRefusalLog = context.now.steady;
        writeLog(context, LogLevel::Info, EventNumber::OrderRefused, key, error.message);
    }
    context.actions.emplace_back(SendToLink{link, CallRefused{key, attempt, std::move(error)}});
}

void refuseFenced(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, ErrorCode code, RunState run)
{
    context.state.counters.fenced++;
    Error error;
    error.code = code;
    error.run = run;
    error.step = Step::Dispatch;
    error.peer = context.state.settings.server.text;
    error.message = "the order is not from the present holder of the shard, or too old";
    writeLog(context, LogLevel::Warning, EventNumber::OrderFenced, key, error.message);
    context.actions.emplace_back(SendToLink{link, CallRefused{key, attempt, std::move(error)}});
}

} // namespace Vanillahall
