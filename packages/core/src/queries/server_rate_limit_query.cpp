#include "vanillahall/core/server_rate_limit_base.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

namespace {

using Seconds = std::chrono::duration<double>;

/** Requests per second; a lower limit is treated as this one, since only an answer tells whether the limit still holds. */
constexpr double MinRate = 0.1;
constexpr double MaxRate = 1e6;      ///< Requests per second; a higher limit is treated as this one, so that slots have a finite length.
constexpr Seconds SlotLifetime{1.5}; ///< In a span of 4 s, unused slots of before add at most this span's requests.
/** Minimum time between two requests, as a fraction of the cycle; slots move when the limit or the number of proxies changes. */
constexpr double MinSpacing = 0.8;

} // namespace

std::optional<double> ServerRateLimit::rate() const
{
    return m_rate;
}

TimePoint ServerRateLimit::nextSlot(const SharePosition &position, TimePoint now) const
{
    if (!m_rate) {
        return now;
    }
    const double rate = std::clamp(*m_rate, MinRate, MaxRate);
    const Seconds cycle(position.proxies / rate);
    const Seconds phase(static_cast<double>((position.rank + m_serverHash) % position.proxies) / rate);
    const Seconds present = now.time_since_epoch() + position.clockOffset;
    const Seconds begin = std::floor((present - phase) / cycle) * cycle + phase;
    Seconds next = begin;
    if (m_sentAt) {
        const Seconds sent = m_sentAt->time_since_epoch() + position.clockOffset;
        next = std::max(sent < begin ? begin : begin + cycle, sent + MinSpacing * cycle);
    }
    const bool isExpired = std::max(next, present) >= begin + SlotLifetime;
    next = isExpired ? std::max(next, begin + cycle) : next;
    return next <= present ? now : now + std::chrono::duration_cast<Duration>(next - present);
}

} // namespace Vanillahall::Forward
