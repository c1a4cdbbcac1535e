/** Estimate of the store's clock from the times in its replies. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>

namespace Vanillahall::Forward {

/**
 * A reply names a time before its arrival, so an estimate is never ahead of the store's clock, but late by the time that the reply has
 * taken. The largest of the recent estimates is used; older ones are dropped, since the clocks of VMs don't run at the same speed.
 */
class StoreClock
{
public:
    /** Records a reply. @param storeMs Time in the reply by the store's clock, in milliseconds. */
    void record(std::uint64_t storeMs, TimePoint now);
    /** @return Estimated time by the store's clock, in milliseconds; nothing before the first reply. */
    [[nodiscard]] std::optional<std::uint64_t> storeMs(TimePoint now) const;

private:
    std::optional<std::int64_t> m_offsetMs;         ///< Largest offset of the current period.
    std::optional<std::int64_t> m_previousOffsetMs; ///< Largest offset of the period before.
    TimePoint m_periodBegin{};                      ///< Begin of the current period.
};

/** Estimates are used for one to two such periods; at a difference in speed of 100 ppm, the error stays under 2 ms. */
inline constexpr Duration StoreClockPeriod = std::chrono::seconds(10);
/** A reply whose time is earlier than estimated by more than this shows that the store's clock was reset. */
inline constexpr std::chrono::milliseconds MaxStoreClockLag{10000};

} // namespace Vanillahall::Forward
