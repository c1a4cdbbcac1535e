/** Classification of failed calls at a backend server. */
#pragma once

#include "vanillahall/core/gate_event_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <string>

namespace Vanillahall {

/** @return NotSent only if nothing was sent; else Silent on a time-out; otherwise Broken. */
inline ServerFailure toServerFailure(const HttpFailure &failure)
{
    if (failure.progress == HttpProgress::NotSent) {
        return ServerFailure::NotSent;
    }
    return failure.timedOut ? ServerFailure::Silent : ServerFailure::Broken;
}

/** @return True for a status that means that the server did not run the call. */
inline bool isRefusal(std::uint32_t status)
{
    constexpr std::uint32_t TooManyRequests = 429;
    constexpr std::uint32_t Unavailable = 503;
    return status == TooManyRequests || status == Unavailable;
}

/** @return A description of the HTTP status for error messages. */
inline std::string statusText(std::uint32_t status)
{
    return "status " + std::to_string(status);
}

} // namespace Vanillahall
