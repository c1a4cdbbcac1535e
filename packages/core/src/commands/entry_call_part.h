/** Helpers shared by the commands on live calls. */
#pragma once

#include "entry_state.h"

#include <string>

namespace Vanillahall {

/** Moves a call to a phase and records the time. */
void setPhase(const EntryState &entry, LiveCall &call, CallPhase phase);

/** @return The error of a call whose gate or server was lost. @param run Whether it ran. */
Error lostError(const EntryState &entry, const LiveCall &call, RunState run, std::string message);

/** Orders a call at another server; ends it with `error` if no attempt or server is left. */
void retryElsewhere(EntryState &entry, LiveCall &call, Error error);

/** Excludes the current server from later attempts of the call. */
void avoidServer(LiveCall &call);

} // namespace Vanillahall
