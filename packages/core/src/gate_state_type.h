/** Everything that a gate knows. */
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

/** What the gate knows of a shard's holder. */
struct ShardHolder
{
    Epoch epoch;                ///< Highest seen.
    GateTime validUntil;        ///< Latest validity seen in an accepted order.
    TimePoint lastOrderAt;      ///< Last accepted order.
    std::optional<LinkId> link; ///< Connection of the latest holder.
};

/** What the gate knows of its server. */
struct ServerView
{
    bool hasReported{};               ///< True after the first report.
    bool up = true;                   ///< False after a report that it doesn't answer.
    TimePoint downSince;              ///< When it was first seen away.
    std::uint32_t slots{};            ///< As reported; 0 if it wasn't.
    std::uint64_t cacheTokens{};      ///< As reported.
    std::uint64_t cacheCapacity{};    ///< As reported.
    std::vector<ModelName> models;    ///< As reported.
    std::uint64_t run{};              ///< Number of the server's run.
    Duration tokenInterval{};         ///< Smoothed time between tokens.
    Duration prefillPerToken{};       ///< Smoothed prefill time per uncached prompt token.
    Duration callTime{};              ///< Smoothed time of a service call.
    std::uint32_t completionTokens{}; ///< Smoothed length of an answer.
};

/** When things that repeat were last done. */
struct GateTimers
{
    TimePoint lastStatus;     ///< GateStatus to all used links.
    TimePoint lastPinReport;  ///< PinnedPrograms.
    TimePoint lastSweep;      ///< Removal of what is too old.
    TimePoint lastRefusalLog; ///< Log line for refused orders.
};

/** A planned stop. */
struct GateStop
{
    TimePoint requestedAt; ///< When it was asked for.
    TimePoint lastFinish;  ///< When the last call ended.
    bool done{};           ///< True once it was reported.
};

struct GateState
{
    GateSettings settings;                          ///< As given.
    bool isInitialized{};                           ///< True after the first event.
    std::map<CallKey, RetainedCall> calls;          ///< Waiting, running and finished.
    std::map<ServerCallId, CallKey> running;        ///< Calls at the server.
    std::uint64_t lastServerCall{};                 ///< Newest number given.
    std::uint32_t heldOutcomes{};                   ///< Finished calls whose outcome is kept.
    WaitQueue queue;                                ///< Order of waiting calls.
    std::map<CallKey, OrderTombstone> tombstones;   ///< Orders that must not be accepted any more.
    std::map<ProgramId, GateTime> endedPrograms;    ///< Ended programs, until no order for them is valid.
    std::map<ShardId, ShardHolder> shards;          ///< Holders.
    std::map<LinkId, TimePoint> linkLastUsed;       ///< Connections and when they were last used.
    std::map<ProgramId, TimePoint> pendingReleases; ///< Programs whose memory is being released, and when to ask again.
    CachePinManager cachePins;                      ///< Pins.
    ServerView server;                              ///< The backend server.
    ConfigRow config;                               ///< The one with the highest version.
    bool declaredLeaving{};                         ///< By `config`.
    std::optional<GateStop> stop;                   ///< Set on a planned stop.
    GateTimers timers;                              ///< When things were last done.
    GateCounters counters;                          ///< Sums.
};

} // namespace Vanillahall
