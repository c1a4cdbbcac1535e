/** Limits and helper functions of the burn rate report. */
#pragma once

#include "vanillahall/core/burn_type.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Vanillahall {

inline constexpr std::size_t MaxBurnSeries = 4096; ///< Most lines of the report; further customers are counted under "other".
inline constexpr std::size_t MaxCostliest = 10;    ///< Most programs that the report lists by name.
inline constexpr std::chrono::minutes LongestBurnWindow{3 * 24 * 60}; ///< Longest window of the report; older programs are removed.

/** Windows of the report, in ascending order. */
inline constexpr std::array BurnWindows
    = std::to_array<std::chrono::seconds>({std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6), LongestBurnWindow});

/** @return Whole minutes since the epoch of the system clock. */
inline std::int64_t minuteOf(WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time).time_since_epoch().count();
}

/** @return True if the program missed its target; always false if its class has none. */
inline bool isMissed(const ProgramCost &cost)
{
    return cost.target.count() > 0 && cost.latency > cost.target;
}

/** @return Latency as a multiple of the target. */
inline double overrun(const ProgramCost &cost)
{
    return std::chrono::duration<double>(cost.latency) / std::chrono::duration<double>(cost.target);
}

} // namespace Vanillahall
