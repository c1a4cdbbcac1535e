/** Other entries, the VM list, and requests to the store that belong to no held shard. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends a message to another entry. */
void sendToEntry(EntryState &entry, const EntryName &to, EntryToEntry message);

/** @return True if the entry's address is known. */
bool isReachable(const EntryState &entry, const EntryName &peer);

/** @return Entries that may take a shard over, best first: other zones first, then by rendezvous hash. */
std::vector<EntryName> successorsOf(const EntryState &entry, ShardId shard);

/** Handles a message of another entry. */
void onEntryMessage(EntryState &entry, const EntryMessageReceived &event);

/** Handles the loss of the connection to another entry. */
void onEntryLinkLost(EntryState &entry, const EntryName &peer);

/** Applies the platform's VM list. */
void onVmList(EntryState &entry, const VmListReceived &event);

/** Sends EntryStatus to successors, to entries in recent contact, and to listed entries whose connection was lost. */
void sendHeartbeats(EntryState &entry);

/** Closes connections to entries that owe an answer and have stopped responding; updates the store budget. */
void sweepPeers(EntryState &entry);

/** Does what the lease monitor requests: reads, the orphan scan, removals, takeovers. */
void sweepLeases(EntryState &entry);

/** Sends a request to the store that belongs to no held shard. */
void sendStoreRequest(EntryState &entry, StoreRequestPurpose purpose, StoreRequest body);

/** Handles the reply to a request of sendStoreRequest(). */
void onStoreReply(EntryState &entry, const StoreRequestPurpose &purpose, const StoreAnswer &answer);

/** Reads the configuration if a read is scheduled. */
void sweepConfig(EntryState &entry);

/** Begins a planned stop. */
void beginStop(EntryState &entry);

/** Hands shards over and finishes the planned stop. */
void sweepStop(EntryState &entry);

} // namespace Vanillahall
