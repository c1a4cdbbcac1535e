/**
 * Averages that forget: a mean with its spread whose observations lose weight with time, and a median of ratios.
 * Load pattern: a proxy sees few requests of one kind at one server, costs have heavy tails, and servers are replaced.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>

namespace Vanillahall::Forward {

/** Mean and spread of a quantity. Both start at a given mean, which counts like a number of observations, and never return to it. */
class AgedMean
{
public:
    /**
     * @param mean Mean before the first observation.
     * @param weight Number of observations that the starting mean counts for.
     * @param halfLife Time in which an observation loses half of its weight.
     */
    AgedMean(double mean, double weight, Duration halfLife);

    // Commands.

    /** Adds an observation. Values that are no finite number are ignored. @param weight Its weight; 1 for a reliable one. */
    void add(double value, double weight, TimePoint now);

    // Queries.

    [[nodiscard]] double mean() const;
    /** @return Standard deviation of the observations. */
    [[nodiscard]] double deviation() const;
    /** @return Number of observations that the mean counts for at a time, without its starting mean. */
    [[nodiscard]] double weight(TimePoint now) const;

private:
    [[nodiscard]] double decay(TimePoint now) const;

    double m_mean;
    double m_variance = 0;
    double m_startWeight; ///< Remaining weight of the starting mean, in observations.
    double m_weight = 0;  ///< Weight of the observations when `m_at` was set.
    Duration m_halfLife;
    TimePoint m_at{}; ///< When the last observation was added.
};

/** Median of positive values, followed in steps; a single outlier moves it by one step only. */
class StepMedian
{
public:
    explicit StepMedian(double start);

    // Commands.

    /** Adds an observation. Values that aren't positive and finite are ignored. */
    void add(double value);

    // Queries.

    [[nodiscard]] double value() const;
    /** @return Number of observations. */
    [[nodiscard]] std::uint32_t count() const;

private:
    double m_value;
    std::uint32_t m_count = 0;
};

} // namespace Vanillahall::Forward
