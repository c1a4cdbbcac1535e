/** Estimate of the store's clock from the times in its replies. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>

namespace Vanillahall::Forward {

/**
 * A reply names a time before its arrival, so an estimate is never ahead of the store's clock, but late by the time that the reply has
 * taken. The estimate follows the quickest reply, also while later ones are slow; it is reduced with time, since clocks differ in speed.
 */
class StoreClock
{
public:
    /** Records a reply. @param storeMs Time in the reply by the store's clock, in milliseconds. */
    void record(std::uint64_t storeMs, TimePoint now);
    /** @return Estimated time by the store's clock, in milliseconds; nothing before the first reply. */
    [[nodiscard]] std::optional<std::uint64_t> storeMs(TimePoint now) const;

private:
    /** @return Estimated difference of the clocks. */
    [[nodiscard]] Duration offset(TimePoint now) const;

    std::optional<Duration> m_offset; ///< Clock of the store minus the clock of this process at `m_at`, less the time of the reply.
    TimePoint m_at{};                 ///< When the reply was received.
};

/** Part of the time by which the estimate is reduced: 200 ppm, twice the usual tolerance of a clock. */
inline constexpr int StoreClockDriftDivisor = 5000;
/** A reply whose time is earlier than estimated by more than this shows that the store's clock was reset. */
inline constexpr Duration MaxStoreClockLag = std::chrono::seconds(10);

} // namespace Vanillahall::Forward
