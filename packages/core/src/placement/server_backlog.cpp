#include "vanillahall/core/placement/server_backlog_base.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Vanillahall::Forward {

namespace {

constexpr double TrustedObservations = 8;                   ///< Observations at which learned figures count as much as the starting ones.
constexpr double MaxObservations = 10000;                   ///< Keeps the sum of weights finite; the confidence is 0.999 there.
constexpr Duration PaceHalfLife = std::chrono::seconds(10); ///< A server that isn't used any more is tried again after a few half-lives.
constexpr double PacePriorRequests = 2; ///< Requests that the usual pace counts for; a new server is known after a few requests.
constexpr double MaxPaceRequests = 24;  ///< Requests that a pace counts for at most, so that it follows a lasting change.
constexpr double MaxPaceRatio = 6;      ///< Work that took longer counts as this multiple; the tail of the costs is no slow server.
constexpr double MinPace = 0.1;         ///< Bounds of a pace; beyond them an observation is a fault rather than a pace.
constexpr double MaxPace = 10;
constexpr Milliseconds SlowdownLife{250}; ///< A reported slowdown changes several times a second.
constexpr double PriorReports = 1;        ///< Reports that the service's usual load counts for at a server.
constexpr double MaxProgress = 0.5;       ///< Part of a request's work that is at most assumed done: with a heavy tail, long ones last.
constexpr Milliseconds MinLoadLife{20};   ///< Shortest time in which a server's load is assumed to return to its mean.

double milliseconds(TimePoint time)
{
    return Milliseconds(time.time_since_epoch()).count();
}

/** @return Expected positive part of a normally distributed number. */
double expectedExcess(double mean, double deviation)
{
    constexpr double MaxSigma = 4; // The rest of the distribution is under a ten-thousandth.
    if (deviation <= 0 || std::abs(mean) > MaxSigma * deviation) {
        return std::max(0.0, mean);
    }
    const double z = mean / deviation;
    const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
    return deviation * density + mean * std::erfc(-z / std::numbers::sqrt2) / 2;
}

} // namespace

void ServiceUsual::recordHold(Milliseconds hold, double weight, TimePoint now)
{
    m_hold.add(hold.count(), weight, now);
    m_observations = std::min(MaxObservations, m_observations + weight);
}

void ServiceUsual::recordPrefill(double tokensPerMs)
{
    m_tokensPerMs.add(tokensPerMs);
}

void ServiceUsual::recordOthers(double others, TimePoint now)
{
    m_others.add(others, 1, now);
}

void ServiceUsual::recordForecast(double learned, double observed, TimePoint now)
{
    if (!std::isfinite(learned) || !std::isfinite(observed)) {
        return;
    }
    observed = std::min(observed, MaxPaceRatio);
    const double usual = m_observedPace.mean();
    m_observedPace.add(observed, 1, now);
    constexpr double Kept = 1 - 1.0 / 2000; // With heavy tails, fewer requests can't tell equal servers from unequal ones.
    m_paceCovariance = Kept * m_paceCovariance + (learned - usual) * (observed - usual);
    m_paceVariance = Kept * m_paceVariance + (learned - usual) * (learned - usual);
}

double ServiceUsual::paceTrust() const
{
    // The slope of observed over learned deviations. The prior is that of 40 requests at servers that deviate by a third.
    constexpr double Prior = 4;
    return std::clamp(m_paceCovariance / (m_paceVariance + Prior), 0.0, 1.0);
}

Milliseconds ServiceUsual::hold() const
{
    return Milliseconds(m_hold.mean());
}

double ServiceUsual::tokensPerMs() const
{
    return m_tokensPerMs.value();
}

double ServiceUsual::others() const
{
    return m_others.mean();
}

double ServiceUsual::confidence() const
{
    return m_observations / (m_observations + TrustedObservations);
}

void ServerBacklog::recordStart(Milliseconds work, TimePoint now)
{
    m_running++;
    m_workMs += work.count();
    m_sentMsSum += milliseconds(now);
}

void ServerBacklog::recordEnd(Milliseconds work, TimePoint sentAt)
{
    m_running -= std::min(m_running, 1U);
    m_workMs = std::max(0.0, m_workMs - work.count());
    m_sentMsSum = std::max(0.0, m_sentMsSum - milliseconds(sentAt));
    if (m_running == 0) {
        // Rounding errors must not add up.
        m_workMs = 0;
        m_sentMsSum = 0;
    }
}

double ServerBacklog::recordLoad(const ServerLoad &load, TimePoint now)
{
    const double all = static_cast<double>(load.running) + load.waiting;
    m_others = std::max(0.0, all - m_running);
    m_meanOthers.add(m_others, 1, now);
    m_slowdown = load.slowdown;
    m_reportedAt = now;
    m_hasReport = true;
    return m_others;
}

void ServerBacklog::recordPace(Milliseconds observed, Milliseconds usual, TimePoint now)
{
    if (!(usual.count() > 0) || !(observed.count() > 0)) {
        return;
    }
    const double halfLives = std::chrono::duration<double>(now - m_paceAt) / std::chrono::duration<double>(PaceHalfLife);
    double kept = m_paceWeight == 0 ? 0 : std::exp2(-std::max(0.0, halfLives));
    kept *= std::min(1.0, MaxPaceRequests / (kept * m_paceWeight + 1));
    m_paceObserved = kept * m_paceObserved + std::min(observed, MaxPaceRatio * usual).count();
    m_paceUsual = kept * m_paceUsual + usual.count();
    m_paceWeight = kept * m_paceWeight + 1;
    m_paceAt = now;
}

void ServerBacklog::restart()
{
    ServerBacklog fresh;
    fresh.m_running = m_running;
    fresh.m_workMs = m_workMs;
    fresh.m_sentMsSum = m_sentMsSum;
    *this = fresh;
}

double ServerBacklog::pace(TimePoint now) const
{
    if (m_paceWeight == 0) {
        return 1;
    }
    const double halfLives = std::chrono::duration<double>(now - m_paceAt) / std::chrono::duration<double>(PaceHalfLife);
    const double weight = m_paceWeight * std::exp2(-std::max(0.0, halfLives));
    const double learned = m_paceObserved / m_paceUsual;
    return std::clamp((weight * learned + PacePriorRequests) / (weight + PacePriorRequests), MinPace, MaxPace);
}

double ServerBacklog::slowdown(Milliseconds work, TimePoint now) const
{
    if (m_slowdown == 1) {
        return 1;
    }
    const double age = std::max(0.0, Milliseconds(now - m_reportedAt) / SlowdownLife);
    const double span = std::max(1e-3, work / SlowdownLife);
    // Mean over the request of a deviation that decays from the report on.
    return 1 + (m_slowdown - 1) * std::exp(-age) * (1 - std::exp(-span)) / span;
}

std::optional<Duration> ServerBacklog::reportAge(TimePoint now) const
{
    return m_hasReport ? std::optional<Duration>(now - m_reportedAt) : std::nullopt;
}

std::optional<Duration> ServerBacklog::paceAge(TimePoint now) const
{
    return m_paceWeight > 0 ? std::optional<Duration>(now - m_paceAt) : std::nullopt;
}

Milliseconds ServerBacklog::ownWork(TimePoint now) const
{
    const double elapsed = std::max(0.0, m_running * milliseconds(now) - m_sentMsSum);
    return Milliseconds(m_workMs - std::min(MaxProgress * m_workMs, elapsed));
}

BacklogView ServerBacklog::view(const ServiceUsual &usual, double slots, Milliseconds work, TimePoint now) const
{
    // By the starting figures: a report counts in full for a while, then half.
    constexpr Duration FullReportAge = std::chrono::milliseconds(600);
    const double confidence = usual.confidence();
    const double fixedOthers = now - m_reportedAt < FullReportAge ? m_others : m_others / 2;
    BacklogView view;
    double others = fixedOthers;
    double deviation = 0;
    if (confidence > 0) {
        const double weight = m_meanOthers.weight(now);
        const double mean = (weight * m_meanOthers.mean() + PriorReports * usual.others()) / (weight + PriorReports);
        const auto life = std::max(MinLoadLife, usual.hold());
        const double kept = m_hasReport ? std::exp(-std::max(0.0, Milliseconds(now - m_reportedAt) / life)) : 0;
        const double expected = mean + (m_others - mean) * kept;
        others += confidence * (expected - fixedOthers);
        // Arrivals at a server are close to a Poisson process, whose variance is its mean.
        deviation = confidence * std::sqrt(std::max(0.0, others) * (1 - kept * kept));
    }
    view.load = others + m_running;
    view.slowdown = slowdown(work, now);
    view.slowness = (1 + usual.paceTrust() * (pace(now) - 1)) * view.slowdown;
    view.excess = expectedExcess(view.load - slots + 1, deviation);
    if (view.excess > 0) {
        const double own = m_workMs + confidence * (ownWork(now).count() - m_workMs);
        const double meanWork = view.load > 0 ? (own + others * usual.hold().count()) / view.load : usual.hold().count();
        view.wait = Milliseconds(view.excess * meanWork / slots * view.slowness);
    }
    return view;
}

} // namespace Vanillahall::Forward
