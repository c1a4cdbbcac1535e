/** A completely received client request. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string>

namespace Vanillahall::Forward {

/** A request that is ready to be forwarded. */
struct ClientRequest
{
    std::string method;           ///< HTTP method.
    std::string target;           ///< Path and query, as received.
    std::string host;             ///< Value of Host.
    std::string headers;          ///< Headers to forward, each ended by CR LF.
    std::string body;             ///< Body, without chunk framing.
    bool hasBody = false;         ///< True if the client sent a body, even an empty one.
    bool keepsAlive = true;       ///< True if the client keeps the connection open.
    bool isHttp10 = false;        ///< True for HTTP/1.0, which has no chunked transfer encoding.
    RequestAttributes attributes; ///< Attributes parsed from the headers.
    TimePoint arrived{};          ///< When the first byte was received.
};

/** Reason for rejecting a request while it is read. */
struct RequestError
{
    unsigned status = 400;                             ///< HTTP status of the response.
    std::string message;                               ///< Error text for the log.
    std::optional<Duration> retryAfter = std::nullopt; ///< Value of Retry-After, if a retry can succeed.
};

} // namespace Vanillahall::Forward
