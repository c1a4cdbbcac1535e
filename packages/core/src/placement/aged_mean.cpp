#include "vanillahall/core/placement/aged_mean_base.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

namespace {

constexpr double MaxWeight = 64; ///< Observations that a mean counts for at most, so that it follows a lasting change within about as many.
constexpr double MaxMultiple = 20; ///< Values beyond this multiple of the mean are cut, so that a single one can't dominate it.
constexpr double FirstStep = 0.2;  ///< First relative step of a median; ten observations cover a factor of four.
constexpr double LastStep = 0.02;  ///< Relative step after many observations; the median then moves by a few percent with the load.

} // namespace

AgedMean::AgedMean(double mean, double weight, Duration halfLife)
    : m_mean(mean)
    , m_startWeight(weight)
    , m_halfLife(halfLife)
{
}

double AgedMean::decay(TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(m_halfLife);
    return std::exp2(-std::max(0.0, halfLives));
}

void AgedMean::add(double value, double weight, TimePoint now)
{
    if (!std::isfinite(value) || !(weight > 0)) {
        return;
    }
    const double known = m_startWeight + m_weight;
    if (known > 0 && m_mean > 0) {
        value = std::min(value, MaxMultiple * m_mean);
    }
    const double kept = m_weight == 0 ? 0 : m_weight * decay(now);
    const double sum = std::min(MaxWeight, m_startWeight + kept + weight);
    const double share = std::min(1.0, weight / sum);
    const double delta = value - m_mean;
    m_mean += share * delta;
    m_variance = (1 - share) * (m_variance + share * delta * delta);
    m_weight = std::min(MaxWeight, kept + weight);
    m_startWeight *= 1 - share;
    m_at = now;
}

double AgedMean::mean() const
{
    return m_mean;
}

double AgedMean::deviation() const
{
    return std::sqrt(m_variance);
}

double AgedMean::weight(TimePoint now) const
{
    return m_weight == 0 ? 0 : m_weight * decay(now);
}

StepMedian::StepMedian(double start)
    : m_value(start)
{
}

void StepMedian::add(double value)
{
    if (!std::isfinite(value) || !(value > 0)) {
        return;
    }
    m_count = std::min(m_count + 1, 1U << 20U);
    const double step = std::max(LastStep, FirstStep / std::sqrt(m_count));
    // The step ends at the value itself, so that equal values are met exactly.
    m_value = value > m_value ? std::min(value, m_value * (1 + step)) : std::max(value, m_value / (1 + step));
}

double StepMedian::value() const
{
    return m_value;
}

std::uint32_t StepMedian::count() const
{
    return m_count;
}

} // namespace Vanillahall::Forward
