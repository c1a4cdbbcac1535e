/**
 * Priority of a turn at its engine.
 * Load pattern: a burst leaves queues before all engines, and work for programs that are already late holds up those that could still end
 * in time. Engines order their queues by this priority, over all entries, so the order needs no coordinator.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

namespace Vanillahall::Forward {

inline constexpr Duration NearTime = std::chrono::milliseconds(4000); ///< Less time left than most programs have at their start.

/**
 * @param timeLeft Time until the program should have ended; nothing if the request belongs to no program.
 * @return Priority for the engine, from 0 (first) to 9.
 */
std::uint32_t enginePriority(std::optional<Duration> timeLeft);

} // namespace Vanillahall::Forward
