#include "vanillahall/core/planned_stop_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr int MaxExitShare = 2;                                  ///< The exit takes at most this fraction of the grace period.
constexpr Duration FlushPeriod = std::chrono::milliseconds(100); ///< Time for the last responses to be sent.

} // namespace

StopSettings stopSettingsFor(Duration gracePeriod)
{
    StopSettings settings;
    settings.limit = std::max(gracePeriod - StopExitTime, gracePeriod / MaxExitShare);
    return settings;
}

bool PlannedStop::hasBegun() const
{
    return m_begunAt.has_value();
}

bool PlannedStop::canTake(TimePoint limitAt, TimePoint now) const
{
    if (!m_begunAt) {
        return true;
    }
    return now - *m_begunAt < std::min(m_settings.longRequestPeriod, m_settings.limit) || limitAt <= *m_begunAt + m_settings.limit;
}

bool PlannedStop::acceptsConnections(TimePoint now) const
{
    return !m_begunAt || now - *m_begunAt < std::min(m_settings.acceptPeriod, m_settings.limit);
}

bool PlannedStop::isLimitReached(TimePoint now) const
{
    return m_begunAt && now - *m_begunAt >= m_settings.limit;
}

bool PlannedStop::isOverdue(TimePoint now) const
{
    return m_begunAt && now - *m_begunAt >= m_settings.limit + FlushPeriod;
}

std::optional<Duration> PlannedStop::timeLeft(TimePoint now) const
{
    if (!m_begunAt) {
        return std::nullopt;
    }
    return *m_begunAt + m_settings.limit - now;
}

} // namespace Vanillahall::Forward
