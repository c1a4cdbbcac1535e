/** Changes of a gate's state. Each file of commands holds one group. */
#pragma once

#include "gate_state_type.h"

#include <string>
#include <vector>

namespace Vanillahall {

/** One event being handled: the state, the time and the actions so far. */
struct GateContext
{
    GateState &state;                 ///< What is changed.
    Now now;                          ///< The present moment.
    std::vector<GateAction> &actions; ///< What is to be done.
};

/** @return The present moment on this gate's clock. */
inline GateTime gateTime(Now now)
{
    return GateTime(now.steady.time_since_epoch());
}

// Orders of entries (gate_order_cmd.cpp, gate_run_cmd.cpp).

void handleOrder(GateContext &context, LinkId link, const EntryToGate &message);
void runCall(GateContext &context, LinkId link, const RunCall &order);
void onLinkLost(GateContext &context, LinkId link);

// Fencing and orders that must not be accepted any more (gate_fence_cmd.cpp).

/** @return Why the order isn't from the present holder; nothing if it is. */
std::optional<ErrorCode> checkFence(const GateState &state, const Fence &fence, ShardId shard, Now now);
/** Takes in who the holder is. @pre fenceFault() gave nothing. */
void recordHolder(GateContext &context, LinkId link, const Fence &fence);
/** Makes sure that no copy of an order is accepted later. */
void addTombstone(GateContext &context, const CallKey &key, const OrderTombstone &closed);
/** Refuses an order. */
void refuseOrder(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, Error error);
/** Refuses an order that the fence stopped. */
void refuseFenced(GateContext &context, LinkId link, const CallKey &key, Attempt attempt, ErrorCode code, RunState run);

// Calls (gate_call_cmd.cpp).

/** Puts a new call into the queue, in place of an earlier failed one. */
void acceptCall(GateContext &context, LinkId link, const RunCall &order);
/** Starts waiting calls while slots are free. */
void startCalls(GateContext &context);
/** Ends a call; its outcome is kept and sent to all followers. */
void finishCall(GateContext &context, RetainedCall &call, CallOutcome outcome);
/** @return Whether a call that ends now without an answer ran. */
RunState unfinishedRunState(const RetainedCall &call);
/** Ends a call with an error. */
void failCall(GateContext &context, RetainedCall &call, ErrorCode code, RunState run, std::string text);
/** Cancels a call that waits or runs; a non-repeatable one at the server runs on. */
void cancelCall(GateContext &context, RetainedCall &call, const std::string &text);
/** Forgets a finished call. */
void eraseCall(GateContext &context, const CallKey &key);
/** Gives a link the output so far from a token on, and what follows. */
void subscribeToCall(GateContext &context, RetainedCall &call, Subscriber subscriber, std::uint32_t fromToken);

// Events of the backend server (gate_server_cmd.cpp, gate_stream_cmd.cpp).

void onServerCallStarted(GateContext &context, const ServerCallStarted &event);
void onServerTokensReceived(GateContext &context, const ServerTokensReceived &event);
void onServerCallFinished(GateContext &context, const ServerCallFinished &event);
void onServerCallFailed(GateContext &context, const ServerCallFailed &event);
void onServerLoad(GateContext &context, const ServerLoad &event);
/** Continues a stream over a new connection, now or soon, or gives it up. */
void resumeStream(GateContext &context, RetainedCall &call, const std::string &text);
/** @return Calls at the server, in the order of their start. */
std::vector<CallKey> runningCalls(const GateState &state);
/** Looks for calls past their time limit and for silent streams. */
void checkRunning(GateContext &context);
/** Gives waiting calls back while the server is away. */
void checkServerDown(GateContext &context);

// Engine memory (gate_memory_cmd.cpp).

/** Begins to release a program's memory. */
void releaseMemory(GateContext &context, const ProgramId &program);
void onMemoryFreed(GateContext &context, const MemoryFreed &event);
/** Notes a pause if no call of the program waits or runs here. */
void recordPauseIfIdle(GateContext &context, const ProgramId &program);
/** Asks again for memory not yet released, gives up pins that don't fit, releases those of abandoned shards. */
void checkMemory(GateContext &context);

// Time and the process (gate_time_cmd.cpp).

void onTick(GateContext &context);
void onStop(GateContext &context);
void onConfig(GateContext &context, const ConfigRow &config);
/** Reports the end of a planned stop once everything is done. */
void checkStop(GateContext &context);
/** Writes a log line. */
void writeLog(GateContext &context, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string text);

} // namespace Vanillahall
