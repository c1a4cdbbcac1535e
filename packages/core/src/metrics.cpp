#include "vanillahall/core/metrics_base.h"

#include <sstream>

namespace Vanillahall {

namespace {

/** Finds a series of a family, or the one that collects what doesn't fit. */
template<typename Family>
auto &seriesOf(Family &family, const MetricLabel &label, std::size_t maxSeries)
{
    const auto it = family.find(label);
    if (it != family.end()) {
        return it->second;
    }
    if (family.size() >= maxSeries) {
        return family[MetricLabel{label.name, "other"}];
    }
    return family[label];
}

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

std::string labelText(const MetricLabel &label)
{
    return label.name + "=\"" + escaped(label.value) + "\"";
}

} // namespace

void Metrics::count(std::string_view family, const MetricLabel &label, std::uint64_t n)
{
    seriesOf(m_counters[std::string(family)], label, MaxSeries) += n;
}

void Metrics::observe(std::string_view family, const MetricLabel &label, Duration span)
{
    const double seconds = std::chrono::duration<double>(span).count();
    Histogram &histogram = seriesOf(m_histograms[std::string(family)], label, MaxSeries);
    std::size_t n = 0;
    while (n < Bounds.size() && seconds > Bounds[n]) {
        n++;
    }
    histogram.buckets[n]++;
    histogram.sum += seconds;
    histogram.total++;
}

void Metrics::gauge(std::string_view family, double value)
{
    m_gauges[std::string(family)] = value;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_gauges) {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }
    for (const auto &[name, family] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[label, value] : family) {
            out << name << '{' << labelText(label) << "} " << value << '\n';
        }
    }
    for (const auto &[name, family] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[label, histogram] : family) {
            std::uint64_t below = 0;
            for (std::size_t n = 0; n < Bounds.size(); n++) {
                below += histogram.buckets[n];
                out << name << "_bucket{" << labelText(label) << ",le=\"" << Bounds[n] << "\"} " << below << '\n';
            }
            out << name << "_bucket{" << labelText(label) << ",le=\"+Inf\"} " << histogram.total << '\n';
            out << name << "_sum{" << labelText(label) << "} " << histogram.sum << '\n';
            out << name << "_count{" << labelText(label) << "} " << histogram.total << '\n';
        }
    }
    return out.str();
}

} // namespace Vanillahall
