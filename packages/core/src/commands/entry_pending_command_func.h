/** What gates have to be told until they certainly know: ended programs, settled results, cancelled orders. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends errands that are due. */
void runPendingCommands(EntryState &entry, const ServerName &server, GateLink &link);

/** The gate has answered a Probe: what was sent before that has arrived. */
void confirmPendingCommands(GateLink &link, std::uint64_t sequence);

/** The connection is lost: errands that aren't confirmed are sent again. */
void resetPendingCommands(GateLink &link);

/** The gate has restarted: it keeps no results any more. */
void dropPendingSettles(GateLink &link);

/** A gate told for which programs it holds engine memory: those that have ended are released. */
void onPinnedPrograms(EntryState &entry, const ServerName &server, ShardId shard, const std::vector<ProgramId> &programs);

} // namespace Vanillahall
