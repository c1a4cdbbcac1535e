/**
 * Expected work of requests, learned by kind from their durations at servers.
 * Load pattern: requests of one route cost alike, with a heavy tail; some customers' requests cost several times as much as those of
 * others; the client's estimate of the length of an answer is right at the median and often far off.
 */
#pragma once

#include "vanillahall/core/placement/aged_mean_base.h"
#include "vanillahall/core/placement/placement_type.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Accuracy of the estimates so far. */
struct EstimateError
{
    double relative = 0; ///< Mean absolute difference of expected and observed work, relative to the mean observed work.
    double bias = 1;     ///< Mean expected work over mean observed work.
};

/** Estimates the work of requests. */
class WorkEstimator
{
public:
    // Commands.

    /**
     * Learns from a request that has ended.
     * @param work Observed time in its slot, at a server of usual pace.
     * @param events Generated events; 0 if it isn't a turn of a model.
     * @param weight Reliability of the observation; 1 if nothing had to be assumed.
     */
    void record(
        const WorkFeatures &features, const WorkEstimate &expected, Milliseconds work, std::uint32_t events, double weight, TimePoint now);

    // Queries.

    [[nodiscard]] WorkEstimate estimate(const WorkFeatures &features) const;
    [[nodiscard]] EstimateError error() const;
    /** @return Number of kinds that are tracked. */
    [[nodiscard]] std::size_t size() const;

private:
    /** What is known of one kind. */
    struct KindState
    {
        AgedMean call;                               ///< Slot time of a plain call, in milliseconds.
        AgedMean events;                             ///< Events of a turn.
        AgedMean hintRatio;                          ///< Generated tokens relative to the client's estimate.
        double observations = 0;                     ///< Sum of the weights of the observations.
        std::list<std::uint64_t>::iterator position; ///< Position in the order of use.

        KindState();
    };

    [[nodiscard]] const KindState *find(std::uint64_t key) const;
    KindState &use(std::uint64_t key);
    [[nodiscard]] static WorkEstimate estimateOf(const KindState &kind, const WorkFeatures &features);

    std::unordered_map<std::uint64_t, KindState> m_kinds;
    std::list<std::uint64_t> m_byUse;                   ///< Keys of the kinds, least recently used first.
    AgedMean m_error{0, 0, std::chrono::minutes(1)};    ///< Absolute difference, in milliseconds.
    AgedMean m_expected{0, 0, std::chrono::minutes(1)}; ///< Expected work, in milliseconds.
    AgedMean m_observed{0, 0, std::chrono::minutes(1)}; ///< Observed work, in milliseconds.
};

/** Kinds that are tracked at most, as a customer's and as a whole route's; all of 200 routes and the 20 busiest customers of each fit. */
inline constexpr std::size_t MaxWorkKinds = 4096;

} // namespace Vanillahall::Forward
