/** Callers' requests on their way to the program's holder. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** A caller asks something. */
void onCallerRequest(EntryState &entry, const CallerRequestReceived &event);

/** A caller has gone; calls go on. */
void onCallerDisconnected(EntryState &entry, RequestId id);

/** The request waits until its holder is known and ready. */
void parkRequest(EntryState &entry, RequestId id);

/** Tries parked requests again, and gives up those whose time is over. */
void sweepRequests(EntryState &entry);

/** Tries the parked requests for a shard now. */
void wakeRequests(EntryState &entry, ShardId shard);

/** The connection to another entry is lost: its requests go, requests passed on to it are routed again. */
void onRouteLost(EntryState &entry, const EntryName &peer);

/** Reads a shard's lease row, unless that was just done. */
void readLease(EntryState &entry, ShardId shard);

// Messages of other entries.

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardRequest &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardCancel &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardTokens &message);
void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardAnswer &message);

} // namespace Vanillahall
