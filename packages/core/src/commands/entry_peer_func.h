/** Other entries, the platform's lists and the store, as far as they concern no single shard. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends a message to another entry. */
void sendToEntry(EntryState &entry, const EntryName &to, EntryToEntry message);

/** @return True if the entry can be connected to. */
bool isReachable(const EntryState &entry, const EntryName &peer);

/** @return Entries that may take a shard over, best first: other zones first, then by rendezvous hash. */
std::vector<EntryName> successorsOf(const EntryState &entry, ShardId shard);

/** Takes in a message of another entry. */
void onEntryMessage(EntryState &entry, const EntryMessageReceived &event);

/** The connection to another entry is lost. */
void onEntryLinkLost(EntryState &entry, const EntryName &peer);

/** Takes in the platform's VM list. */
void onVmList(EntryState &entry, const VmListReceived &event);

/** Sends heartbeats. */
void sendHeartbeats(EntryState &entry);

/** Looks for entries that have gone silent. */
void sweepPeers(EntryState &entry);

/** Looks after the leases of others. */
void sweepLeases(EntryState &entry);

/** Asks the store something that is no shard's. */
void sendStoreRequest(EntryState &entry, StoreUse use, StoreRequest body);

/** Takes in an answer of the store that is no shard's. */
void onStoreUse(EntryState &entry, const StoreUse &use, const StoreAnswer &answer);

/** Reads the configuration if it is time. */
void sweepConfig(EntryState &entry);

/** Begins a planned stop. */
void beginStop(EntryState &entry);

/** Hands shards over and finishes the planned stop. */
void sweepStop(EntryState &entry);

} // namespace Vanillahall
