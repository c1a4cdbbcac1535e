/**
 * Retry delays of refused programs.
 * Load pattern: a burst brings hundreds of refusals at the same moment. With equal delays their clients would return as one burst again.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>

namespace Vanillahall::Forward {

/** Shortest retry delay that is given. A client with less time than three of these left can't return in time. */
inline constexpr Duration MinRetryDelay = std::chrono::milliseconds(50);
/** Least width over which the returns are spread, as far as the clients' time allows it; several times a usual burst of arrivals. */
inline constexpr Duration MinRetrySpread = std::chrono::milliseconds(400);
/** Clients wait for at most this part of the time that they have left, whatever the delay says. */
inline constexpr int RetryTimeDivisor = 3;

/** @return True if a client with this much time left can return after a retry delay. */
[[nodiscard]] bool canReturn(Duration timeLeft);

/**
 * @param untilRoom Expected time until the servers can take the program.
 * @param timeLeft Time that the client has left.
 * @param program Hash of the program; spreads programs that are refused together.
 * @return Retry delay: at most a third of the time left, and MinRetryDelay if that is less.
 */
[[nodiscard]] Duration retryDelay(Duration untilRoom, Duration timeLeft, std::uint64_t program);

} // namespace Vanillahall::Forward
