#include "vanillahall/core/urgency_func.h"

namespace Vanillahall::Forward {

std::uint32_t enginePriority(std::optional<Duration> timeLeft)
{
    constexpr std::uint32_t Pressing = 2;
    constexpr std::uint32_t Near = 4;
    constexpr std::uint32_t Ordinary = 5;
    constexpr std::uint32_t Late = 8;
    if (!timeLeft) {
        return Ordinary;
    }
    if (*timeLeft <= Duration::zero()) {
        return Late;
    }
    if (*timeLeft < PressingTime) {
        return Pressing;
    }
    return *timeLeft < NearTime ? Near : Ordinary;
}

} // namespace Vanillahall::Forward
