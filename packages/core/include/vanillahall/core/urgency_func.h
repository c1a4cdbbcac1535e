/**
 * Priority of a turn at its engine.
 * Load pattern: after a burst of requests all engines have queues, and turns of programs that have already missed their target delay
 * programs that could still meet theirs. Engines sort their queues by this priority across all entries, so no coordinator is needed.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

namespace Vanillahall::Forward {

/** A turn that isn't late but has less time left than this is urgent; most programs have more at their start. */
inline constexpr Duration UrgentTimeLeft = std::chrono::milliseconds(4000);

/**
 * @param timeLeft Time until the deadline of the program; nothing if the request belongs to no program.
 * @return Priority for the engine, from 0 (first) to 9.
 */
std::uint32_t enginePriority(std::optional<Duration> timeLeft);

} // namespace Vanillahall::Forward
