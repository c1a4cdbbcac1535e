/** Counters and histograms in the Prometheus text format. Label sets are bounded. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Vanillahall {

/** One label of a series. */
struct MetricLabel
{
    std::string name;  ///< Name of the label.
    std::string value; ///< Value of the label.

    auto operator<=>(const MetricLabel &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
};

/** All counters and histograms of one process. */
class Metrics
{
public:
    /** Adds to a counter. A family holds at most MaxSeries label values; further ones are counted under "other". */
    void count(std::string_view family, const MetricLabel &label, std::uint64_t n = 1);

    /** Adds one observation to a histogram of seconds. */
    void observe(std::string_view family, const MetricLabel &label, Duration span);

    /** Sets a gauge. */
    void gauge(std::string_view family, double value);

    /** @return All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    static constexpr std::size_t MaxSeries = 200; ///< Most label values of one family.
    static constexpr std::array Bounds
        = std::to_array<double>({0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100, 300, 1000, 3600}); ///< Upper bounds, in seconds.

    /** One histogram. */
    struct Histogram
    {
        std::array<std::uint64_t, Bounds.size() + 1>
            buckets{};           ///< Number of observations up to each bound; the last one counts those above all bounds.
        double sum = 0;          ///< Sum of all observations, in seconds.
        std::uint64_t total = 0; ///< Number of observations.
    };

    std::map<std::string, std::map<MetricLabel, std::uint64_t>, std::less<>> m_counters;
    std::map<std::string, std::map<MetricLabel, Histogram>, std::less<>> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace Vanillahall
