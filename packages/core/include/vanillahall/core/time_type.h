/** Clocks and times. Core receives the time with every event and never reads a clock itself. */
#pragma once

#include <chrono>

namespace Vanillahall {

using Duration = std::chrono::microseconds; ///< A span of time.

/** Tag of the monotonic clock of this process. Its zero point differs between processes. */
struct SteadyClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the clock requirements of the standard
};

/** Tag of the monotonic clock of a gate, as reported to an entry. Not comparable with the clock of the entry. */
struct GateClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<GateClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the clock requirements of the standard
};

using TimePoint = std::chrono::time_point<SteadyClock>; ///< A point in time on the clock of this process.
using GateTime = std::chrono::time_point<GateClock>;    ///< A point in time on the clock of one gate.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>; ///< Calendar time; used for targets, never where safety depends on it.

/** The current time, passed to core with every event. */
struct Now
{
    TimePoint steady; ///< For leases, timeouts and retries.
    WallTime wall;    ///< For targets, budgets and reports; stays meaningful after a change of holder.
};

} // namespace Vanillahall
