/** Ended turns that were not durable when their shard was lost: retained by the earlier holder and offered to the next one. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Retains the ended turns of a lost shard that aren't durable. */
void retainUnstoredTurns(EntryState &entry, const HeldShard &shard);

/** Offers retained turns to the current holders and discards those that nobody accepted in time. */
void sweepUnstoredTurns(EntryState &entry);

/** Handles an offer of turns by an earlier holder of a shard. */
void onUnstoredTurns(EntryState &entry, const EntryName &from, const UnstoredTurns &message);

/** Discards retained turns that the next holder has stored or doesn't need. */
void onTurnsKept(EntryState &entry, const TurnsKept &message);

} // namespace Vanillahall
