#include "vanillahall/core/customer/store_clock_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

std::int64_t toMs(TimePoint at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

} // namespace

void StoreClock::record(std::uint64_t storeMs, TimePoint now)
{
    const auto offset = static_cast<std::int64_t>(storeMs) - toMs(now);
    const bool wasReset = m_offsetMs && offset + MaxStoreClockLag.count() < *m_offsetMs;
    if (wasReset || !m_offsetMs) {
        m_offsetMs = offset;
        m_previousOffsetMs.reset();
        m_periodBegin = now;
    } else if (now - m_periodBegin > StoreClockPeriod) {
        m_previousOffsetMs = m_offsetMs;
        m_offsetMs = offset;
        m_periodBegin = now;
    }
    m_offsetMs = std::max(*m_offsetMs, offset);
}

std::optional<std::uint64_t> StoreClock::storeMs(TimePoint now) const
{
    if (!m_offsetMs) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, toMs(now) + std::max(*m_offsetMs, m_previousOffsetMs.value_or(*m_offsetMs))));
}

} // namespace Vanillahall::Forward
