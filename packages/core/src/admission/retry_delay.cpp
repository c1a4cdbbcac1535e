#include "vanillahall/core/admission/retry_delay_func.h"

#include <algorithm>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr std::uint64_t SpreadSeed = 0x5265747279; ///< Makes the spread independent of other uses of the program's hash.
constexpr unsigned FractionBits = 53;              ///< Precision of a double.

/** @return Number from 0 to 1, the same for each refusal of a program. */
double fraction(std::uint64_t program)
{
    const auto hash = XXH3_64bits_withSeed(&program, sizeof program, SpreadSeed);
    constexpr unsigned HashBits = 64;
    return static_cast<double>(hash >> (HashBits - FractionBits)) / static_cast<double>(std::uint64_t{1} << FractionBits);
}

} // namespace

bool canReturn(Duration timeLeft)
{
    return timeLeft >= MinRetryDelay * RetryTimeDivisor;
}

Duration retryDelay(Duration untilRoom, Duration timeLeft, std::uint64_t program)
{
    const Duration latest = timeLeft / RetryTimeDivisor;
    if (latest <= MinRetryDelay) {
        return MinRetryDelay;
    }
    // The spread is as wide as the expected time: it is uncertain by about as much, and the room doesn't come all at once.
    const Duration end = std::min(latest, std::max(untilRoom, MinRetryDelay) + std::max(untilRoom, MinRetrySpread));
    const Duration begin = std::max(MinRetryDelay, std::min(untilRoom, end / 2));
    return begin + std::chrono::duration_cast<Duration>((end - begin) * fraction(program));
}

} // namespace Vanillahall::Forward
