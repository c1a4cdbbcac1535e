/** What a failed request says about a call at a backend server. */
#pragma once

#include "vanillahall/core/gate_event_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <string>

namespace Vanillahall {

/** @return NotSent only if nothing was sent; Silent if a time limit passed after that; otherwise Broken. */
inline ServerFailure failureOf(const HttpFailure &failure)
{
    if (failure.progress == HttpProgress::NotSent) {
        return ServerFailure::NotSent;
    }
    return failure.timedOut ? ServerFailure::Silent : ServerFailure::Broken;
}

/** @return True for a status by which a server says that it did not run the call. */
inline bool isRefusal(std::uint32_t status)
{
    constexpr std::uint32_t TooManyRequests = 429;
    constexpr std::uint32_t Unavailable = 503;
    return status == TooManyRequests || status == Unavailable;
}

/** @return A line for a person. */
inline std::string statusText(std::uint32_t status)
{
    return "status " + std::to_string(status);
}

} // namespace Vanillahall
