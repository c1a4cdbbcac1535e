/** Event counts whose past halves at a fixed interval. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

/** A count that halves after each half-life, so that no timer is needed to age it. */
class DecayingCount
{
public:
    explicit DecayingCount(Duration halfLife)
        : m_halfLife(halfLife)
    {
    }

    /** Adds events. */
    void add(double n, TimePoint now)
    {
        m_value = read(now) + n;
        m_at = std::max(m_at, now);
    }
    /** @return Events so far, each weighted by its age. */
    [[nodiscard]] double read(TimePoint now) const
    {
        if (m_value == 0) {
            return 0;
        }
        const auto age = std::chrono::duration<double>(std::max(Duration::zero(), now - m_at));
        return m_value * std::exp2(-age / std::chrono::duration<double>(m_halfLife));
    }
    /** @return Events per second, if they come at a constant rate. */
    [[nodiscard]] double perSecond(TimePoint now) const
    {
        return read(now) * M_LN2 / std::chrono::duration<double>(m_halfLife).count();
    }

private:
    Duration m_halfLife;
    double m_value = 0;
    TimePoint m_at{};
};

} // namespace Vanillahall::Forward
