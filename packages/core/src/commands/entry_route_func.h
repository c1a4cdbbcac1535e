/** Routing of callers' requests to the program's holder. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Handles a caller's request. */
void onCallerRequest(EntryState &entry, const CallerRequestReceived &event);

/** Removes the requests of a caller that disconnected; its calls continue. */
void onCallerDisconnected(EntryState &entry, RequestId id);

/** Parks a request until its holder is known and ready. */
void parkRequest(EntryState &entry, RequestId id);

/** Routes parked requests again and refuses those past their deadline. */
void sweepRequests(EntryState &entry);

/** Routes the parked requests for a shard at once. */
void routeParkedRequests(EntryState &entry, ShardId shard);

/** Handles the loss of the connection to another entry: drops the requests that it forwarded and routes those forwarded to it again. */
void onPeerLost(EntryState &entry, const EntryName &peer);

/** Reads a shard's lease row unless it was read recently. */
void readLease(EntryState &entry, ShardId shard);

// Messages of other entries.

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardRequest &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardCancel &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardTokens &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardAnswer &message);

} // namespace Vanillahall
