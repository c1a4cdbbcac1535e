/** Ended turns that a lost shard's journal doesn't have: kept by the earlier holder and offered to the next one. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Keeps the ended turns of a shard that is about to be dropped, as far as the store doesn't have them. */
void keepUnstoredTurns(EntryState &entry, const HeldShard &shard);

/** Offers what was kept to the present holders, and drops what nobody took in time. */
void sweepUnstoredTurns(EntryState &entry);

/** An earlier holder of a shard offers turns. */
void onUnstoredTurns(EntryState &entry, const EntryName &from, const UnstoredTurns &message);

/** The next holder needs these turns no longer. */
void onTurnsKept(EntryState &entry, const TurnsKept &message);

} // namespace Vanillahall
