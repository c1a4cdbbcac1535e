/** Text of answers to clients. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <optional>
#include <string>

namespace Vanillahall::Forward {

/** Time to come back when nothing can take the request now: a turn's length. */
inline constexpr Duration BackSoon = std::chrono::milliseconds(250);
/** Time to come back when the store is away; clients use a third of their time at most. */
inline constexpr Duration BackLater = std::chrono::milliseconds(1300);

/** An answer of the proxy itself. */
struct LocalResponse
{
    unsigned status = 503;              ///< HTTP status.
    std::string requestId;              ///< Request that it answers; empty if unknown.
    std::optional<Duration> retryAfter; ///< When to come back.
    bool keepsAlive = true;             ///< True if the connection stays open.
};

/** @return The whole answer. */
std::string localResponse(const LocalResponse &answer);

/** @return The usual reason phrase of a status. */
std::string reasonPhrase(unsigned status);

/** @return One chunk of a body. */
std::string chunk(std::string_view bytes);

/** End of a body in chunks. */
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Vanillahall::Forward
