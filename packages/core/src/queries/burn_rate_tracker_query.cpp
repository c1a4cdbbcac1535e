#include "vanillahall/core/burn_rate_tracker_base.h"

#include "burn_rate_tracker_part.h"

#include <algorithm>

namespace Vanillahall {

BurnLine BurnRateTracker::makeLine(const Series &series, const std::deque<Bucket> &buckets, WallTime now) const
{
    constexpr std::size_t HourWindow = 1; ///< Index of the window whose rate of misses is extrapolated.
    BurnLine line;
    line.className = series.className;
    line.customer = series.customer;
    for (const auto length : BurnWindows) {
        BurnWindow window;
        window.length = length;
        const std::int64_t oldest = minuteOf(now - length);
        for (const auto &it : buckets) {
            if (it.minute > oldest && it.minute <= minuteOf(now)) {
                window.ended += it.ended;
                window.missed += it.missed;
            }
        }
        if (window.ended > 0) {
            window.burnRate = static_cast<double>(window.missed) / static_cast<double>(window.ended) / m_agreedShare;
        }
        line.windows.push_back(window);
    }
    const BurnWindow &longest = line.windows.back();
    line.budgetLeft = m_agreedShare * static_cast<double>(longest.ended) - static_cast<double>(longest.missed);
    const BurnWindow &hour = line.windows[HourWindow];
    const double lossPerHour = static_cast<double>(hour.missed) - m_agreedShare * static_cast<double>(hour.ended);
    if (lossPerHour > 0) {
        const std::chrono::duration<double, std::ratio<3600>> hours(std::max(0.0, line.budgetLeft) / lossPerHour);
        line.exhaustedIn = std::chrono::duration_cast<Duration>(hours);
    }
    return line;
}

BurnReport BurnRateTracker::report(WallTime now) const
{
    BurnReport report;
    report.at = now;
    report.agreedShare = m_agreedShare;
    for (const auto &[series, buckets] : m_series) {
        report.lines.push_back(makeLine(series, buckets, now));
    }
    report.costliest = m_costliest;
    return report;
}

} // namespace Vanillahall
