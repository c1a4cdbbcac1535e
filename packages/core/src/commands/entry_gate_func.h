/** Connections to gates: clocks, proofs of holding, errands. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Connects to a gate unless it is connected or was tried a moment ago. */
void reachGate(EntryState &entry, const ServerName &server);

/** Orders wait until the gate has told its clock and run again. */
void awaitStatus(EntryState &entry, const ServerName &server);

/** Sends a message. */
void sendToGate(EntryState &entry, const ServerName &server, EntryToGate message);

/**
 * Makes the proof of holding for an order.
 * @return Nothing if the lease doesn't allow orders now, or the gate's clock isn't known.
 */
std::optional<Fence> makeFence(const EntryState &entry, const HeldShard &shard, const GateLink &link);

/** Tells a gate something until it certainly knows. */
void addPendingCommand(EntryState &entry, const ServerName &server, const std::variant<PendingEnd, PendingSettle, PendingCancel> &what);

/** Asks a gate what it keeps for a shard that was taken over. */
void askAdoption(EntryState &entry, HeldShard &shard, const ServerName &server);

/** Takes in a message of a gate. */
void onGateMessage(EntryState &entry, const GateMessageReceived &event);

/** The connection to a gate is lost. */
void onGateLinkLost(EntryState &entry, const ServerName &server);

/** Looks for silent connections, gates to connect to, and errands that are due. */
void sweepGates(EntryState &entry);

/** Tells every connected gate the configuration in force. */
void broadcastConfig(EntryState &entry);

/** Probes every gate in use. */
void probeGates(EntryState &entry);

} // namespace Vanillahall
