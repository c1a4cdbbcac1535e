/** Actions that wait until a journal record is durable. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Queues an action to run once a record is durable. */
void runWhenDurable(HeldShard &shard, RecordNumber record, DurableAction action);

/** Runs the actions whose records have become durable. */
void runDurableActions(EntryState &entry, HeldShard &shard);

/** Answers requesters whose record wasn't durable in time. */
void expireAnswerWaits(EntryState &entry, HeldShard &shard);

} // namespace Vanillahall
