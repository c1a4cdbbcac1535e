#include "vanillahall/core/customer/quota_type.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

namespace {

using Seconds = std::chrono::duration<double>;

/** Part of the slack that enlarges the pool; the rest extends the validity of permits. */
constexpr double CapacitySlack = 0.5;
/** Part of the overrun that enlarges the pool: it then holds 100 ms of the rate, which covers most of QuotaCallInterval. */
constexpr double CapacityOverrun = 0.2;
constexpr double ReserveFraction = 0.3;
/** A row whose time is later than the store's clock by more than this was written before the clock was reset. */
constexpr std::uint64_t MaxClockLeadMs = 10000;
constexpr double MsPerSecond = 1000;
constexpr std::uint64_t LeaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(QuotaLease).count();

Duration fromSeconds(double n)
{
    return std::chrono::duration_cast<Duration>(Seconds(n));
}

double toSeconds(Duration span)
{
    return Seconds(span).count();
}

} // namespace

QuotaTerms quotaTerms(const CustomerLimit &limit, const QuotaSettings &settings)
{
    const double rate = limit.perSecond;
    const double burst = limit.burst > 0 ? limit.burst : 0;
    const double window = toSeconds(settings.window);
    const double margin = toSeconds(QuotaClockMargin);
    const double bound = (rate * window + burst) * (1 + settings.overrun) + settings.slack;
    QuotaTerms terms;
    const double excess = (rate * window + burst) * settings.overrun;
    terms.capacity = std::min(std::max(burst, 1.0) + settings.slack * CapacitySlack + excess * CapacityOverrun, bound);
    terms.reserve = burst * ReserveFraction;
    // Within a window, permits of all withdrawals of a time longer by their validity may be used, and what a share accumulated before.
    const double tolerated = (bound - terms.capacity) / rate - window - margin;
    const double validity = std::clamp(tolerated, toSeconds(MinPermitValidity), toSeconds(MaxPermitValidity));
    const double shareValidity = validity / 2;
    const double shareDepth = std::clamp(tolerated - shareValidity, validity - shareValidity, toSeconds(MaxShareDepth));
    terms.rate = std::max(0.0, std::min(rate, (bound - terms.capacity) / (window + validity + margin)));
    terms.validity = fromSeconds(validity);
    terms.shareDepth = fromSeconds(shareDepth);
    terms.shareValidity = fromSeconds(shareValidity);
    return terms;
}

double leasedShare(const QuotaRow &row, std::uint64_t storeMs)
{
    double sum = 0;
    for (const auto &it : row.shares) {
        sum += it.expiryMs > storeMs ? it.share : 0;
    }
    return sum;
}

void advancePool(QuotaRow &row, const QuotaTerms &terms, std::uint64_t storeMs)
{
    if (row.isUnreadable) {
        row.available = 0;
        row.atMs = storeMs;
        row.shares = {{"unknown", "", MaxLeasedShare, storeMs + LeaseMs}};
        row.isUnreadable = false;
        return;
    }
    if (row.version == 0) {
        row.available = terms.capacity;
        row.atMs = storeMs;
        return;
    }
    if (row.atMs > storeMs + MaxClockLeadMs) {
        row.atMs = storeMs;
        for (auto &it : row.shares) {
            it.expiryMs = std::min(it.expiryMs, storeMs + LeaseMs);
        }
    }
    if (storeMs > row.atMs) {
        const auto passedMs = static_cast<double>(storeMs - row.atMs);
        double leasedMs = 0;
        for (const auto &it : row.shares) {
            const auto untilMs = std::clamp(it.expiryMs, row.atMs, storeMs);
            leasedMs += it.share * static_cast<double>(untilMs - row.atMs);
        }
        row.available += terms.rate * std::max(0.0, passedMs - leasedMs) / MsPerSecond;
        row.atMs = storeMs;
        std::erase_if(row.shares, [storeMs](const QuotaShare &it) {
            return it.expiryMs <= storeMs;
        });
    }
    row.available = std::clamp(row.available, 0.0, terms.capacity);
}

DecayingRate::DecayingRate(Duration timeConstant)
    : m_seconds(toSeconds(timeConstant))
{
}

void DecayingRate::record(TimePoint now)
{
    m_rate = perSecond(now) + 1 / m_seconds;
    m_at = std::max(m_at, now);
}

double DecayingRate::perSecond(TimePoint now) const
{
    return now > m_at ? m_rate * std::exp(-toSeconds(now - m_at) / m_seconds) : m_rate;
}

} // namespace Vanillahall::Forward
