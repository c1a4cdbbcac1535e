/** Commands that change a gate's state. Each source file implements one group. */
#pragma once

#include "gate_state_type.h"

#include <string>
#include <vector>

namespace Vanillahall {

/** Context of the event being handled: the state, the time and the actions so far. */
struct GateContext
{
    GateState &state;                 ///< State to change.
    Now now;                          ///< Current time.
    std::vector<GateAction> &actions; ///< Actions to return.
};

/** @return The current time on this gate's clock. */
inline GateTime gateTime(Now now)
{
    return GateTime(now.steady.time_since_epoch());
}

// Orders from entries (gate_order_cmd.cpp, gate_run_cmd.cpp).

void handleOrder(GateContext &context, LinkId link, const EntryToGate &message);
void runCall(GateContext &context, LinkId link, const RunCall &order);
void onLinkLost(GateContext &context, LinkId link);

// Fencing and refusals (gate_fence_cmd.cpp).

/** @return Why an order is invalid or not from the current holder; nothing if it may be accepted. */
std::optional<ErrorCode> checkFence(const GateState &state, const Fence &fence, ShardId shard, Now now);
/** Records the sender of an order as the shard's holder. @pre checkFence() returned nothing. */
void recordHolder(GateContext &context, LinkId link, const Fence &fence);
/** Ensures that no copy of an order is accepted later. */
void addTombstone(GateContext &context, const CallKey &key, const OrderTombstone &tombstone);
void refuseOrder(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, Error error);
/** Refuses an order that failed checkFence(). */
void refuseFenced(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, ErrorCode code, RunState run);

// Calls (gate_call_cmd.cpp).

/** Enqueues a new call, in place of an earlier failed run of it. */
void acceptCall(GateContext &context, LinkId link, const RunCall &order);
/** Starts waiting calls while slots are free. */
void startCalls(GateContext &context);
/** Ends a call; its outcome is retained and sent to all subscribers. */
void finishCall(GateContext &context, RetainedCall &call, CallOutcome outcome);
/** @return Run state of a call that ends now without a result. */
RunState unfinishedRunState(const RetainedCall &call);
void failCall(GateContext &context, RetainedCall &call, ErrorCode code, RunState run, std::string text);
/** Cancels a call that waits or runs; a non-repeatable one at the server continues to run. */
void cancelCall(GateContext &context, RetainedCall &call, const std::string &text);
/** Erases a call and its outcome, if it is known. */
void eraseCall(GateContext &context, const CallKey &key);
/** Sends a link the output so far from a token on, and subscribes it to the rest. */
void subscribeToCall(GateContext &context, RetainedCall &call, Subscriber subscriber, std::uint32_t fromToken);

// Events of the backend server (gate_server_cmd.cpp, gate_stream_cmd.cpp).

void onServerCallStarted(GateContext &context, const ServerCallStarted &event);
void onServerTokensReceived(GateContext &context, const ServerTokensReceived &event);
void onServerCallFinished(GateContext &context, const ServerCallFinished &event);
void onServerCallFailed(GateContext &context, const ServerCallFailed &event);
void onServerLoad(GateContext &context, const ServerLoad &event);
/** Resumes a stream over a new connection, at once or after a delay, or fails the call after too many attempts. */
void resumeStream(GateContext &context, RetainedCall &call, const std::string &text);
/** @return Calls at the server, in the order of their start. */
std::vector<CallKey> runningCalls(const GateState &state);
/** Checks for calls past their time limit and for silent streams. */
void checkRunning(GateContext &context);
/** Fails waiting calls once the server has been unreachable for too long. */
void checkServerDown(GateContext &context);

// Engine memory (gate_memory_cmd.cpp).

/** Starts to release a program's memory; repeated by checkMemory() until it is confirmed. */
void releaseMemory(GateContext &context, const ProgramId &program);
void onMemoryFreed(GateContext &context, const MemoryFreed &event);
/** Records that a program with pinned memory has paused, if no call of it waits or runs here. */
void recordPauseIfIdle(GateContext &context, const ProgramId &program);
/** Retries pending releases, evicts pins that don't fit and releases those of abandoned shards. */
void checkMemory(GateContext &context);

// Timers, configuration and planned stop (gate_time_cmd.cpp).

void onTick(GateContext &context);
void onStop(GateContext &context);
void onConfig(GateContext &context, const ConfigRow &config);
/** Reports the end of a planned stop once everything is done. */
void checkStop(GateContext &context);
void writeLog(GateContext &context, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string text);

} // namespace Vanillahall
