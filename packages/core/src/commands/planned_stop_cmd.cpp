#include "vanillahall/core/planned_stop_base.h"

namespace Vanillahall::Forward {

PlannedStop::PlannedStop(const StopSettings &settings)
    : m_settings(settings)
{
}

void PlannedStop::begin(TimePoint now)
{
    if (!m_begunAt) {
        m_begunAt = now;
    }
}

void PlannedStop::setSettings(const StopSettings &settings)
{
    m_settings = settings;
}

} // namespace Vanillahall::Forward
