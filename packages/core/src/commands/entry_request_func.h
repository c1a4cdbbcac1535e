/** Requests of callers for programs of a shard that is held here. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** A request that can be dealt with here. */
struct ServedRequest
{
    Requester requester;    ///< Who waits for the answer.
    CustomerName customer;  ///< In whose name.
    std::uint64_t random{}; ///< Serial of a new program.
};

/** Deals with a request. @pre The shard that it needs is held here, if it needs one that exists. */
void serveRequest(EntryState &entry, const ServedRequest &request, const CallerRequest &body);

/** Deals with a submitted turn. */
void submitCall(EntryState &entry, const ServedRequest &request, const SubmitCall &body);

/** @return The program, if the customer owns it; else null and the same error as for one that doesn't exist. */
const Program *ownedProgram(EntryState &entry, const ProgramId &id, const CustomerName &customer, Error &reason);

/** @return Why new work is refused now; nothing if it isn't. */
std::optional<Error> refusesNewWork(EntryState &entry, const HeldShard *shard);

} // namespace Vanillahall
