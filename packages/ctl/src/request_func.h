/** HTTP requests of the operator's terminal to an entry. */
#pragma once

#include "command_type.h"

#include "vanillahall/core/error_type.h"

#include <optional>
#include <string>

namespace Vanillahall {

/** A request to send. */
struct CommandRequest
{
    std::string method = "GET"; ///< Method.
    std::string path;           ///< Path.
    std::string body;           ///< JSON body; empty for none.
    std::string ifMatch;        ///< Required configuration version; empty for none.
};

/**
 * Sends a request and waits for the response.
 * @param reason Set to the error if there is no response; its `run` state says whether the entry may have executed the request.
 * @return The response, or nothing on error.
 */
std::optional<CommandAnswer> sendRequest(const CommandContext &context, const CommandRequest &request, Error &reason);

} // namespace Vanillahall
