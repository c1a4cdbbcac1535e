#include "vanillahall/core/admission/saturation_monitor_base.h"

#include <vector>

namespace Vanillahall::Forward {

namespace {

constexpr Duration RateHalfLife = std::chrono::milliseconds(700); ///< A burst lasts for 3 s at least; its begin must show in a third of it.
constexpr std::size_t MaxDelaySamples = 32;                       ///< Samples per service; the quantile is exact up to one of them.
constexpr std::size_t MinDelaySamples = 4;                        ///< Fewer samples show nothing.
constexpr double DelayQuantile = 0.7;   ///< Quantile that is compared. One slow server in four doesn't make a service saturated.
constexpr double StreamingWeight = 0.1; ///< Weight of one turn in the moving average of the streaming time.

} // namespace

SaturationMonitor::SaturationMonitor(SaturationSettings settings)
    : m_settings(settings)
{
}

SaturationMonitor::ServiceState &SaturationMonitor::state(const std::string &service)
{
    const auto it = m_services.find(service);
    if (it != m_services.end()) {
        return it->second;
    }
    const DecayingCount empty(RateHalfLife);
    return m_services.emplace(service, ServiceState{empty, empty, empty, {}, 0, 0, {}, {}, {}}).first->second;
}

void SaturationMonitor::recordStart(const std::string &service, bool isInTime, TimePoint now)
{
    auto &it = state(service);
    it.attempts.add(isInTime ? 1 : 0, now);
    it.running++;
}

void SaturationMonitor::recordRefusal(const std::string &service, TimePoint now)
{
    state(service).refusals.add(1, now);
}

void SaturationMonitor::recordFirstEvent(const std::string &service, Duration delay, Duration objective, TimePoint now)
{
    if (objective <= Duration::zero()) {
        return;
    }
    auto &delays = state(service).delays;
    const double ratio = std::chrono::duration<double>(delay) / std::chrono::duration<double>(objective);
    delays.push_back({ratio, delay, std::min(delay, objective), now});
    if (delays.size() > MaxDelaySamples) {
        delays.pop_front();
    }
}

void SaturationMonitor::recordTurn(const std::string &service, Duration streaming, TimePoint now)
{
    auto &it = state(service);
    it.turns.add(1, now);
    const double ms = std::chrono::duration<double, std::milli>(streaming).count();
    it.streamingMs = it.streamingMs == 0 ? ms : it.streamingMs + (ms - it.streamingMs) * StreamingWeight;
}

void SaturationMonitor::recordEnd(const std::string &service)
{
    auto &it = state(service);
    it.running -= it.running == 0 ? 0 : 1;
}

void SaturationMonitor::evaluateDelays(ServiceState &state, TimePoint now) const
{
    auto &delays = state.delays;
    while (!delays.empty() && now - delays.front().at > m_settings.maxSampleAge) {
        delays.pop_front();
    }
    auto &view = state.view;
    view.delayRatio = 0;
    view.stretch = 1;
    view.sampleAge = m_settings.maxSampleAge;
    if (delays.size() < MinDelaySamples) {
        return;
    }
    view.sampleAge = now - delays.back().at;
    std::vector<double> ratios;
    double delayMs = 0;
    double expectedMs = 0;
    for (const auto &it : delays) {
        ratios.push_back(it.ratio);
        delayMs += std::chrono::duration<double, std::milli>(it.delay).count();
        expectedMs += std::chrono::duration<double, std::milli>(it.expected).count();
    }
    const auto n = static_cast<double>(delays.size());
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((n - 1) * DelayQuantile);
    std::nth_element(ratios.begin(), middle, ratios.end());
    view.delayRatio = *middle;
    const double idleMs = expectedMs / n + state.streamingMs;
    view.turnTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(delayMs / n + state.streamingMs));
    view.stretch = idleMs > 0 ? (delayMs / n + state.streamingMs) / idleMs : 1;
}

bool SaturationMonitor::update(const std::string &service, double slots, TimePoint now)
{
    auto &it = state(service);
    auto &view = it.view;
    const double refusals = it.refusals.read(now);
    view.refusalShare = refusals < m_settings.minRefusals ? 0 : refusals / std::max(refusals, it.attempts.read(now));
    view.workRatio = it.running / std::max(1.0, slots);
    view.turnsPerSecond = it.turns.perSecond(now);
    evaluateDelays(it, now);
    view.isRefusing = view.refusalShare >= m_settings.busyRefusals;
    if (view.isRefusing || view.delayRatio >= m_settings.busyDelay) {
        it.busyUntil = now + m_settings.busyHold;
    }
    view.isBusy = now < it.busyUntil;
    if (now - it.changedAt < m_settings.minHold && it.changedAt != TimePoint()) {
        return false;
    }
    const bool entersByDelay = view.delayRatio >= m_settings.enterDelay && view.workRatio >= m_settings.minWork;
    const bool enters = view.refusalShare >= m_settings.enterRefusals || entersByDelay;
    const bool leaves
        = view.refusalShare < m_settings.leaveRefusals && (view.delayRatio < m_settings.leaveDelay || view.workRatio < m_settings.minWork);
    const bool isSaturated = view.isSaturated ? !leaves : enters;
    if (isSaturated == view.isSaturated) {
        return false;
    }
    view.isSaturated = isSaturated;
    it.changedAt = now;
    return true;
}

SaturationView SaturationMonitor::view(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? SaturationView() : it->second.view;
}

std::size_t SaturationMonitor::saturatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_services.begin(), m_services.end(), [](const auto &it) {
        return it.second.view.isSaturated;
    }));
}

} // namespace Vanillahall::Forward
