/** Messages about one call to its gate. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends the order if the lease allows it now. @pre The gate's connection is ready and its incarnation is the call's. */
void sendOrder(EntryState &entry, LiveCall &call);

/** Fetches the call's output from the first token not yet received. @pre As for sendOrder(). */
void sendFetch(EntryState &entry, LiveCall &call);

/** Sends a request to cancel the call to its gate. */
void sendCancel(EntryState &entry, LiveCall &call);

} // namespace Vanillahall
