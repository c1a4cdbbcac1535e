/** Answers and tokens to callers of this entry and to entries that passed requests on. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Gives the final answer. */
void answerRequester(EntryState &entry, const Requester &requester, CallerAnswer answer);

/** Passes tokens on to an asker that wants them. */
void streamToRequester(
    EntryState &entry, const Requester &requester, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces);

/** The request is routed again. @param run Whether what it asked for may have run here. */
void rerouteRequester(EntryState &entry, const Requester &requester, RunState run);

} // namespace Vanillahall
