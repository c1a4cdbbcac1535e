/** Calls under way: placing, ordering, streaming, retrying, finishing. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Places a new call and orders it. @pre Its budget is reserved. */
void startCall(EntryState &entry, LiveCall call);

/** Continues a call that a gate kept at a takeover. @pre Its budget is reserved. */
void resumeFound(EntryState &entry, LiveCall call, const RecoveredCall &found);

/** Continues the program's next turn, if a gate kept it at a takeover and told its input. */
void resumeNextFound(EntryState &entry, HeldShard &shard, const ProgramId &id);

/** Continues a call of which the journal has only the intent. */
void resumeIntent(EntryState &entry, HeldShard &shard, const CallKey &key);

/** Chooses a server and orders the call there; answers if there is none. */
void placeCall(EntryState &entry, LiveCall &call);

/** The intent is durable: sends the order. */
void onIntentDurable(EntryState &entry, const IntentWait &wait);

/** Does what the call's phase allows now that its gate answers. */
void advanceCall(EntryState &entry, LiveCall &call);

/** The connection to the call's gate is lost. */
void onCallLinkLost(EntryState &entry, LiveCall &call);

/** The call's gate has restarted: what it knew is gone. */
void onCallGateRestarted(EntryState &entry, LiveCall &call);

/** The call's gate has not been reached for so long that it is given up. */
void onCallGateGone(EntryState &entry, LiveCall &call);

/** Cancels a call. @param why What its askers are told. */
void cancelCall(EntryState &entry, LiveCall &call, ErrorCode why);

/** Looks at the time limits of all calls. */
void sweepCalls(EntryState &entry);

// Messages of gates.

void onGateMessage(EntryState &entry, const ServerName &server, const CallStarted &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallTokens &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallFinished &message);
void onGateMessage(EntryState &entry, const ServerName &server, const CallRefused &message);

// Ends of a call. The call is gone afterwards.

/** The call ended, or may have run: a turn is recorded and the askers are answered. */
void finishCall(EntryState &entry, CallKey key, CallOutcome outcome);

/** The call certainly did not run: no turn is left, the askers are answered. */
void refuseCall(EntryState &entry, CallKey key, Error error);

/** Ends a call with an error. A promise that nothing ran is only kept if no earlier order may have run. */
void concludeCall(EntryState &entry, CallKey key, Error error);

/** Forgets a call; its askers are routed again. */
void dropCall(EntryState &entry, CallKey key);

/** Makes a gate's view of the call and this entry's agree. */
void bindCall(EntryState &entry, LiveCall &call, const ServerName &server);
void unbindCall(EntryState &entry, LiveCall &call);

} // namespace Vanillahall
