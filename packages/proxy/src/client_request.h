/** A client's request, read whole. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string>

namespace Vanillahall::Forward {

/** One request, ready to be forwarded. */
struct ClientRequest
{
    std::string method;           ///< Method.
    std::string target;           ///< Path and query, as sent.
    std::string host;             ///< Value of Host.
    std::string headers;          ///< Headers that are passed on, each ended by CR LF.
    std::string body;             ///< Body, without chunk framing.
    bool hasBody = false;         ///< True if the client sent a body, even an empty one.
    bool keepsAlive = true;       ///< True if the client lets the connection open.
    bool isHttp10 = false;        ///< True for a client that knows no chunks.
    RequestAttributes attributes; ///< What the headers say.
    TimePoint arrived{};          ///< Arrival of the first byte.
};

/** Why a request was refused while it was read. */
struct RequestError
{
    unsigned status = 400;                             ///< HTTP status of the answer.
    std::string message;                               ///< For the log.
    std::optional<Duration> retryAfter = std::nullopt; ///< When to come back, if that helps.
};

} // namespace Vanillahall::Forward
