#include "vanillahall/core/burn_rate_tracker_base.h"

#include "burn_rate_tracker_part.h"

#include <algorithm>

namespace Vanillahall {

BurnRateTracker::BurnRateTracker(double agreedShare)
    : m_agreedShare(agreedShare)
{
}

std::deque<BurnRateTracker::Bucket> &BurnRateTracker::bucketsOf(const ProgramCost &cost)
{
    Series series{cost.className, cost.customer};
    if (m_series.count(series) == 0 && m_series.size() >= MaxBurnSeries) {
        series.customer = CustomerName{"other"};
    }
    return m_series[series];
}

void BurnRateTracker::add(const ProgramCost &cost)
{
    const std::int64_t minute = minuteOf(cost.ended);
    auto &buckets = bucketsOf(cost);
    while (!buckets.empty() && buckets.front().minute <= minute - LongestBurnWindow.count()) {
        buckets.pop_front();
    }
    // A program that ended in an earlier minute may be reported after programs of the next one.
    auto it = std::lower_bound(buckets.begin(), buckets.end(), minute, [](const Bucket &bucket, std::int64_t value) {
        return bucket.minute < value;
    });
    if (it == buckets.end() || it->minute != minute) {
        it = buckets.insert(it, Bucket{minute, 0, 0});
    }
    it->ended++;
    if (isMissed(cost)) {
        it->missed++;
        recordMiss(cost);
    }
}

void BurnRateTracker::recordMiss(const ProgramCost &cost)
{
    const auto oldest = cost.ended - LongestBurnWindow;
    std::erase_if(m_costliest, [oldest](const ProgramCost &it) {
        return it.ended < oldest;
    });
    m_costliest.push_back(cost);
    std::stable_sort(m_costliest.begin(), m_costliest.end(), [](const ProgramCost &a, const ProgramCost &b) {
        return overrun(a) > overrun(b);
    });
    if (m_costliest.size() > MaxCostliest) {
        m_costliest.pop_back();
    }
}

} // namespace Vanillahall
