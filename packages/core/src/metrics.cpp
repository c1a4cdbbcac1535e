#include "vanillahall/core/metrics_base.h"

#include <sstream>

namespace Vanillahall {

namespace {

/** @return The series of a label; the series "other" if the family is full. */
template<typename Family>
auto &findSeries(Family &family, const MetricLabel &label, std::size_t maxSeries)
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

std::string escapeLabelValue(const std::string &value)
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

std::string formatLabel(const MetricLabel &label)
{
    return label.name + "=\"" + escapeLabelValue(label.value) + "\"";
}

} // namespace

void Metrics::count(std::string_view family, const MetricLabel &label, std::uint64_t n)
{
    findSeries(m_counters[std::string(family)], label, MaxSeries) += n;
}

void Metrics::observe(std::string_view family, const MetricLabel &label, Duration span)
{
    const double seconds = std::chrono::duration<double>(span).count();
    Histogram &histogram = findSeries(m_histograms[std::string(family)], label, MaxSeries);
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
            out << name << '{' << formatLabel(label) << "} " << value << '\n';
        }
    }
    for (const auto &[name, family] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[label, histogram] : family) {
            std::uint64_t cumulative = 0;
            for (std::size_t n = 0; n < Bounds.size(); n++) {
                cumulative += histogram.buckets[n];
                out << name << "_bucket{" << formatLabel(label) << ",le=\"" << Bounds[n] << "\"} " << cumulative << '\n';
            }
            out << name << "_bucket{" << formatLabel(label) << ",le=\"+Inf\"} " << histogram.total << '\n';
            out << name << "_sum{" << formatLabel(label) << "} " << histogram.sum << '\n';
            out << name << "_count{" << formatLabel(label) << "} " << histogram.total << '\n';
        }
    }
    return out.str();
}

} // namespace Vanillahall
