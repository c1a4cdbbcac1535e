/** Connections to gates: clock readings, fences, pending commands. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Connects to a gate unless it is connected or an attempt failed within ReconnectDelay. */
void connectGate(EntryState &entry, const ServerName &server);

/** Holds back orders until the gate has reported its clock and incarnation again. */
void awaitStatus(EntryState &entry, const ServerName &server);

/** Sends a message to a gate. */
void sendToGate(EntryState &entry, const ServerName &server, EntryToGate message);

/**
 * Makes the fence that proves to the gate that this entry holds the shard.
 * @return Nothing if the lease doesn't allow orders now, or the gate's clock isn't known.
 */
std::optional<Fence> makeFence(const EntryState &entry, const HeldShard &shard, const GateLink &link);

/** Queues a command that is sent to a gate until its receipt is confirmed. */
void addPendingCommand(EntryState &entry, const ServerName &server, const std::variant<PendingEnd, PendingSettle, PendingCancel> &body);

/** Requests what a gate holds for a shard that was taken over. */
void requestAdoption(EntryState &entry, HeldShard &shard, const ServerName &server);

/** Handles a message of a gate. */
void onGateMessage(EntryState &entry, const GateMessageReceived &event);

/** Handles the loss of the connection to a gate. */
void onGateLinkLost(EntryState &entry, const ServerName &server);

/** Closes silent connections, reconnects, and sends pending commands. */
void sweepGates(EntryState &entry);

/** Sends the configuration in force to every connected gate. */
void broadcastConfig(EntryState &entry);

/** Probes every connected gate. */
void probeGates(EntryState &entry);

} // namespace Vanillahall
