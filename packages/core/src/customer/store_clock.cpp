#include "vanillahall/core/customer/store_clock_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

void StoreClock::record(std::uint64_t storeMs, TimePoint now)
{
    const Duration latest = std::chrono::milliseconds(storeMs) - now.time_since_epoch();
    if (!m_offset || latest > offset(now) || latest + MaxStoreClockLag < offset(now)) {
        m_offset = latest;
        m_at = now;
    }
}

Duration StoreClock::offset(TimePoint now) const
{
    return *m_offset - std::max(Duration::zero(), now - m_at) / StoreClockDriftDivisor;
}

std::optional<std::uint64_t> StoreClock::storeMs(TimePoint now) const
{
    if (!m_offset) {
        return std::nullopt;
    }
    const auto time = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() + offset(now));
    return static_cast<std::uint64_t>(std::max(std::chrono::milliseconds::zero(), time).count());
}

} // namespace Vanillahall::Forward
