/** Live calls: placement, orders, streaming, retries, completion. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Places a new call and orders it. @pre Its budget is reserved. */
void startCall(EntryState &entry, LiveCall call);

/** Continues a call that a gate held at a takeover. @pre Its budget is reserved. */
void resumeRecoveredCall(EntryState &entry, LiveCall call, const RecoveredCall &found);

/** Continues the program's next turn if a gate held it at a takeover and reported its input. */
void resumeNextRecoveredCall(EntryState &entry, HeldShard &shard, const ProgramId &id);

/** Continues a call for which the journal has an intent and no outcome. */
void resumeIntendedCall(EntryState &entry, HeldShard &shard, const CallKey &key);

/** Chooses a server and orders the call there; answers if there is none. */
void placeCall(EntryState &entry, LiveCall &call);

/** Sends the order once its intent is durable. */
void onIntentDurable(EntryState &entry, const IntentWait &wait);

/** Sends the order or the fetch that the call's phase calls for, if its gate is connected. */
void sendIfGateReady(EntryState &entry, LiveCall &call);

/** Handles the loss of the connection to the call's gate. */
void onCallLinkLost(EntryState &entry, LiveCall &call);

/** Handles a restart of the call's gate, which has lost its calls. */
void onCallGateRestarted(EntryState &entry, LiveCall &call);

/** Gives up a call whose gate was unreachable for EntrySettings::gateLossTimeout. */
void onCallGateTimeout(EntryState &entry, LiveCall &call);

/** Cancels a call. @param why Error code for its requesters. */
void cancelCall(EntryState &entry, LiveCall &call, ErrorCode why);

/** Checks the time limits of all calls. */
void sweepCalls(EntryState &entry);

// Messages of gates.

void onGateMessage(EntryState &entry, const ServerName &server, const CallStarted &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallTokens &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallFinished &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallRefused &message);

// Ends of a call. They remove the call, so that references to it are invalid afterwards.

/** Ends a call that ran or may have run: records the turn and answers the requesters. */
void finishCall(EntryState &entry, CallKey key, CallOutcome outcome);

/** Ends a call that certainly did not run: records no turn and answers the requesters. */
void refuseCall(EntryState &entry, CallKey key, Error error);

/** Ends a call with an error. RunState::NotRun becomes Unknown if an earlier attempt may have run. */
void failCall(EntryState &entry, CallKey key, Error error);

/** Removes a call and has its requesters routed again. */
void dropCall(EntryState &entry, CallKey key);

/** Binds the call to a gate, releasing it from the one before. */
void bindCall(EntryState &entry, LiveCall &call, const ServerName &server);

/** Releases the call from its gate. */
void unbindCall(EntryState &entry, LiveCall &call);

} // namespace Vanillahall
