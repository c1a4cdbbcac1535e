/** Queries of a gate's state. */
#pragma once

#include "vanillahall/core/gate_base.h"
#include "vanillahall/core/gate_counters_type.h"

#include <optional>
#include <vector>

namespace Vanillahall {

/**
 * @param sequence Sequence number of the Probe to respond to; 0 for an unsolicited status.
 * @return Load and health to report to entries.
 */
GateStatus gateStatus(const GateState &state, std::uint64_t sequence, Now now);

/** @return Counters for the metrics. */
GateCounters gateCounters(const GateState &state);

/** @return Calls that the gate retains for a shard, in order. */
std::vector<HeldCall> heldCalls(const GateState &state, ShardId shard);

/** @return Programs of a shard for which the engine may hold memory, in order. */
std::vector<ProgramId> pinnedPrograms(const GateState &state, ShardId shard);

/** @return Whether a call may have run here. */
RunState runStateOf(const GateState &state, const CallKey &key);

/** @return Expected run time of a call at the backend server, from observed speeds. */
Duration expectedWork(const GateState &state, const CallBody &body);

/** @return Expected time until the first token of an uncached prompt, from observed speeds. */
Duration expectedPrefill(const GateState &state, std::uint32_t promptTokens);

/** @return Expected queue time of a call of medium urgency. */
Duration expectedWait(const GateState &state);

/** @return Priority for the engine; larger is more urgent, 0 is for programs that are late or have no target. */
std::int32_t enginePriority(const Urgency &urgency, WallTime now);

/** @return Number of concurrent calls: as reported by the server, else as configured. */
std::uint32_t slotsOf(const GateState &state);

/** @return True if no new call is accepted, because the server is declared leaving or a planned stop is in progress. */
bool isLeaving(const GateState &state);

} // namespace Vanillahall
