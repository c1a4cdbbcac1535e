/** Handling of callers' requests for programs of a shard that is held here. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Origin of a request that is handled here. */
struct ServedRequest
{
    Requester requester;    ///< Recipient of the answer.
    CustomerName customer;  ///< The caller's customer.
    std::uint64_t random{}; ///< Random number, used as the serial of a new program.
};

/** Handles a request. @pre The shard of the program that it names, if any, is held here. */
void serveRequest(EntryState &entry, const ServedRequest &request, const CallerRequest &body);

/** Handles a submitted turn. */
void submitCall(EntryState &entry, const ServedRequest &request, const SubmitCall &body);

/** @return The program, if the customer owns it; else null and the same error as for one that doesn't exist. */
const Program *ownedProgram(EntryState &entry, const ProgramId &id, const CustomerName &customer, Error &reason);

/** @return Why new work is refused now; nothing if it is accepted. */
std::optional<Error> newWorkRefusal(EntryState &entry, const HeldShard *shard);

} // namespace Vanillahall
