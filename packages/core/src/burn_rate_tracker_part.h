/** Bounds and small functions of the burn report. */
#pragma once

#include "vanillahall/core/burn_type.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Vanillahall {

inline constexpr std::size_t MaxBurnSeries = 4096;                    ///< Lines of the report; further customers are counted under "other".
inline constexpr std::size_t MaxCostliest = 10;                       ///< Programs named by the report.
inline constexpr std::chrono::minutes LongestBurnWindow{3 * 24 * 60}; ///< How far back the report reaches.

/** Windows of the report, shortest first. */
inline constexpr std::array BurnWindows
    = std::to_array<std::chrono::seconds>({std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6), LongestBurnWindow});

/** @return Whole minutes since the epoch of the calendar. */
inline std::int64_t minuteOf(WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time).time_since_epoch().count();
}

/** @return True if the program missed its target. A class without a target can't be missed. */
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
