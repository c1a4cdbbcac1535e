/** Answers and tokens to callers of this entry and to entries that forwarded requests. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Sends the final answer. */
void answerRequester(EntryState &entry, const Requester &requester, CallerAnswer answer);

/** Streams tokens to a requester that wants them. */
void streamToRequester(
    EntryState &entry, const Requester &requester, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces);

/** Has the request routed again. @param run Whether what it requested may have run here. */
void rerouteRequester(EntryState &entry, const Requester &requester, RunState run);

} // namespace Vanillahall
