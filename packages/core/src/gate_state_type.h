/** State of a gate. */
#pragma once

#include "vanillahall/core/cache_pin_manager_base.h"
#include "vanillahall/core/gate_base.h"
#include "vanillahall/core/gate_counters_type.h"
#include "vanillahall/core/held_call_type.h"
#include "vanillahall/core/wait_queue_base.h"

#include <map>
#include <optional>
#include <vector>

namespace Vanillahall {

/** What the gate knows about a shard's holder. */
struct ShardHolder
{
    Epoch epoch;                ///< Highest epoch seen.
    GateTime validUntil;        ///< Latest validity seen in an accepted order.
    TimePoint lastOrderAt;      ///< Time of the last accepted order.
    std::optional<LinkId> link; ///< Connection of the latest holder.
};

/** What the gate knows about its backend server. */
struct ServerView
{
    bool hasReported{};               ///< True after the first load report.
    bool up = true;                   ///< False after a report that it doesn't respond.
    TimePoint downSince;              ///< When it was first reported unreachable.
    std::uint32_t slots{};            ///< As reported; 0 if it wasn't.
    std::uint64_t cacheTokens{};      ///< As reported.
    std::uint64_t cacheCapacity{};    ///< As reported.
    std::vector<ModelName> models;    ///< As reported.
    std::uint64_t run{};              ///< Identifies the server's run.
    Duration tokenInterval{};         ///< Smoothed time between tokens.
    Duration prefillPerToken{};       ///< Smoothed prefill time per uncached prompt token.
    Duration callTime{};              ///< Smoothed time of a service call.
    std::uint32_t completionTokens{}; ///< Smoothed completion length of a model call.
};

/** Times at which periodic tasks were last done. */
struct GateTimers
{
    TimePoint lastStatus;     ///< GateStatus to all used links.
    TimePoint lastPinReport;  ///< PinnedPrograms.
    TimePoint lastSweep;      ///< Removal of expired entries.
    TimePoint lastRefusalLog; ///< Log line for refused orders.
};

/** A planned stop. */
struct GateStop
{
    TimePoint requestedAt; ///< When it was requested.
    TimePoint lastFinish;  ///< When the last call ended.
    bool done{};           ///< True once StopFinished was sent.
};

struct GateState
{
    GateSettings settings;                          ///< Identity and limits.
    bool isInitialized{};                           ///< True after the first event.
    std::map<CallKey, RetainedCall> calls;          ///< Waiting, running and finished.
    std::map<ServerCallId, CallKey> running;        ///< Calls at the server, by their ID there.
    std::uint64_t lastServerCall{};                 ///< Last ID given to a call at the server.
    std::uint32_t heldOutcomes{};                   ///< Number of finished calls whose outcome is retained.
    WaitQueue queue;                                ///< Waiting calls, in the order of their start.
    std::map<CallKey, OrderTombstone> tombstones;   ///< Orders that must not be accepted any more.
    std::map<ProgramId, GateTime> endedPrograms;    ///< Ended programs, until no order for them is valid.
    std::map<ShardId, ShardHolder> shards;          ///< Holders by shard.
    std::map<LinkId, TimePoint> linkLastUsed;       ///< Open connections and when they were last used.
    std::map<ProgramId, TimePoint> pendingReleases; ///< Programs whose memory is being released, and when to retry.
    CachePinManager cachePins;                      ///< Pinned prefixes in engine memory.
    ServerView server;                              ///< The backend server.
    ConfigRow config;                               ///< The configuration with the highest version received.
    bool declaredLeaving{};                         ///< True if `config` declares the server leaving.
    std::optional<GateStop> stop;                   ///< Set on a planned stop.
    GateTimers timers;                              ///< Times of periodic tasks.
    GateCounters counters;                          ///< Sums since the start.
};

} // namespace Vanillahall
