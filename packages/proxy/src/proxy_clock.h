/** Clock of the proxy. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <ctime>

namespace Vanillahall::Forward {

/** @return Current time of CLOCK_BOOTTIME, which also advances while the VM is suspended, unlike std::chrono::steady_clock. */
inline TimePoint now()
{
    constexpr long NanosecondsPerMicrosecond = 1000;
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(std::chrono::seconds(ts.tv_sec) + Duration(ts.tv_nsec / NanosecondsPerMicrosecond));
}

} // namespace Vanillahall::Forward
