#include "vanillahall/core/placement/work_estimator_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration KindHalfLife = std::chrono::minutes(2); ///< What requests cost changes with the clients' releases, not with the load.
constexpr double TrustedObservations = 6; ///< Observations at which a learned value counts as much as the one that it replaces.

/** @return Share of a learned value against the one that it replaces. */
double confidence(double observations)
{
    return observations / (observations + TrustedObservations);
}

WorkEstimate blend(const WorkEstimate &base, const WorkEstimate &learned, double share)
{
    return {base.hold + share * (learned.hold - base.hold),
            base.spread + share * (learned.spread - base.spread),
            base.run + share * (learned.run - base.run)};
}

/** @return Key of a kind in the table of kinds; without a customer that of the whole route. */
std::uint64_t keyOf(std::uint64_t route, std::uint64_t customer)
{
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15; // Fractional part of the golden ratio; spreads the bits.
    return (route ^ (customer * Multiplier)) * Multiplier;
}

} // namespace

WorkEstimator::KindState::KindState()
    : call(StartingHold.count(), 0, KindHalfLife)
    , events(0, 0, KindHalfLife)
    , hintRatio(1, TrustedObservations, KindHalfLife)
{
}

const WorkEstimator::KindState *WorkEstimator::find(std::uint64_t key) const
{
    const auto it = m_kinds.find(key);
    return it == m_kinds.end() ? nullptr : &it->second;
}

WorkEstimator::KindState &WorkEstimator::use(std::uint64_t key)
{
    const auto [it, isNew] = m_kinds.try_emplace(key);
    if (isNew) {
        it->second.position = m_byUse.insert(m_byUse.end(), key);
        if (m_kinds.size() > MaxWorkKinds) {
            m_kinds.erase(m_byUse.front());
            m_byUse.pop_front();
        }
    } else {
        m_byUse.splice(m_byUse.end(), m_byUse, it->second.position);
    }
    return it->second;
}

WorkEstimate WorkEstimator::estimateOf(const KindState &kind, const WorkFeatures &features)
{
    if (!features.isModelTurn) {
        return {Milliseconds(kind.call.mean()), Milliseconds(kind.call.deviation()), Milliseconds(kind.call.mean())};
    }
    if (!features.perEvent || features.tokensPerMs <= 0) {
        return {};
    }
    double events = kind.events.mean();
    double deviation = kind.events.deviation();
    if (features.hintedTokens != 0) {
        const double hinted = static_cast<double>(features.hintedTokens) / features.tokensPerEvent;
        events = hinted * kind.hintRatio.mean();
        deviation = hinted * kind.hintRatio.deviation();
    }
    if (features.maxTokens != 0) {
        events = std::min(events, static_cast<double>(features.maxTokens) / features.tokensPerEvent);
    }
    const auto run = events * *features.perEvent;
    return {run + Milliseconds(features.uncachedTokens / features.tokensPerMs), deviation * *features.perEvent, run};
}

WorkEstimate WorkEstimator::estimate(const WorkFeatures &features) const
{
    WorkEstimate result;
    const auto *route = find(keyOf(features.kind.route, 0));
    if (route == nullptr) {
        return result;
    }
    result = blend(result, estimateOf(*route, features), confidence(route->observations));
    const auto *customer = features.kind.customer == 0 ? nullptr : find(keyOf(features.kind.route, features.kind.customer));
    return customer == nullptr ? result : blend(result, estimateOf(*customer, features), confidence(customer->observations));
}

void WorkEstimator::record(
    const WorkFeatures &features, const WorkEstimate &expected, Milliseconds work, std::uint32_t events, double weight, TimePoint now)
{
    m_error.add(std::abs((expected.hold - work).count()), weight, now);
    m_expected.add(expected.hold.count(), weight, now);
    m_observed.add(work.count(), weight, now);
    const auto learn = [&](KindState &kind) {
        kind.observations = std::min(kind.observations + weight, static_cast<double>(MaxWorkKinds));
        if (!features.isModelTurn) {
            kind.call.add(work.count(), weight, now);
            return;
        }
        // The number of events doesn't depend on the state of the server.
        kind.events.add(events, 1, now);
        if (features.hintedTokens != 0) {
            kind.hintRatio.add(static_cast<double>(events) * features.tokensPerEvent / features.hintedTokens, 1, now);
        }
    };
    learn(use(keyOf(features.kind.route, 0)));
    if (features.kind.customer != 0) {
        learn(use(keyOf(features.kind.route, features.kind.customer)));
    }
}

EstimateError WorkEstimator::error() const
{
    const double observed = m_observed.mean();
    return observed <= 0 ? EstimateError() : EstimateError{m_error.mean() / observed, m_expected.mean() / observed};
}

std::size_t WorkEstimator::size() const
{
    return m_kinds.size();
}

} // namespace Vanillahall::Forward
