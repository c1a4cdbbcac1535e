/** Commands repeated until their receipt is confirmed: ended programs, settled results, cancelled orders. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends the commands that may be sent now. */
void runPendingCommands(EntryState &entry, const ServerName &server, GateLink &link);

/** Removes the commands sent before the Probe that the gate has answered; they have arrived. */
void confirmPendingCommands(GateLink &link, std::uint64_t sequence);

/** Schedules unconfirmed commands to be sent again. Called when the connection is lost. */
void resetPendingCommands(GateLink &link);

/** Removes the commands about calls, since a restarted gate holds none. */
void dropCallCommands(GateLink &link);

/** Handles a gate's report of the programs it holds engine memory for: those that have ended are released. */
void onPinnedPrograms(EntryState &entry, const ServerName &server, ShardId shard, const std::vector<ProgramId> &programs);

} // namespace Vanillahall
