#include "vanillahall/core/urgency_func.h"

namespace Vanillahall::Forward {

std::uint32_t enginePriority(std::optional<Duration> timeLeft)
{
    // Few steps: a turn that overtakes another in memory costs the other one its whole prompt.
    constexpr std::uint32_t Near = 4;
    constexpr std::uint32_t Ordinary = 5;
    constexpr std::uint32_t Late = 8;
    if (!timeLeft) {
        return Ordinary;
    }
    if (*timeLeft <= Duration::zero()) {
        return Late;
    }
    return *timeLeft < NearTime ? Near : Ordinary;
}

} // namespace Vanillahall::Forward
