/** Serialization of responses to clients. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <optional>
#include <string>

namespace Vanillahall::Forward {

/** Retry-After while no server can take the request: the duration of a turn. */
inline constexpr Duration ShortRetryAfter = std::chrono::milliseconds(250);
/** Retry-After while the store is unavailable; clients wait for at most a third of their deadline. */
inline constexpr Duration StoreRetryAfter = std::chrono::milliseconds(1300);

/** A response that the proxy generates itself. */
struct LocalResponse
{
    unsigned status = 503;              ///< HTTP status.
    std::string requestId;              ///< Id of the request; empty if unknown.
    std::optional<Duration> retryAfter; ///< Value of Retry-After, if any.
    bool keepsAlive = true;             ///< True if the connection stays open.
};

/** @return Head of the response; it has no body. */
std::string formatLocalResponse(const LocalResponse &answer);

/** @return Standard reason phrase of a status. */
std::string reasonPhrase(unsigned status);

/** @return `bytes` as one chunk of a chunked body. */
std::string encodeChunk(std::string_view bytes);

/** Last chunk and end of a chunked body. */
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Vanillahall::Forward
