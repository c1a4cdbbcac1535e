#include "vanillahall/core/urgency_func.h"

namespace Vanillahall::Forward {

std::uint32_t enginePriority(std::optional<Duration> timeLeft)
{
    // There are only a few levels, since preemption is costly: the engine has to process the whole prompt of the preempted turn again.
    constexpr std::uint32_t Urgent = 4;
    constexpr std::uint32_t Normal = 5;
    constexpr std::uint32_t Late = 8;
    if (!timeLeft) {
        return Normal;
    }
    if (*timeLeft <= Duration::zero()) {
        return Late;
    }
    return *timeLeft < UrgentTimeLeft ? Urgent : Normal;
}

} // namespace Vanillahall::Forward
