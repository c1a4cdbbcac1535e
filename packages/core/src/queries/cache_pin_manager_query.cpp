#include "cache_pin_manager_state_type.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall {

namespace {

constexpr double BucketsPerDoubling = 2;                        ///< Resolution of the pause histograms.
constexpr double MaxPinnedShare = 0.9;                          ///< Share of the engine's memory that pins may take.
constexpr Duration PriorReturnDelay = std::chrono::seconds(10); ///< Expected time to the return before any pause of the class was observed.
constexpr double PriorWeight = 1;                               ///< Number of pauses that the prior counts for.
constexpr double PriorReturns = 0.5;                            ///< Number of these pauses that end with a return.
constexpr Duration MinRemainingPause = std::chrono::milliseconds(1); ///< A pause is never expected to end sooner.

/** Forecast of the rest of a pause. */
struct PauseForecast
{
    double remainingMicroseconds{}; ///< Mean remaining microseconds if the program resumes.
    double returnProbability{};     ///< Probability that it resumes.
};

PauseForecast forecast(const PauseStats &stats, Duration paused)
{
    double returns = PriorReturns;
    double all = PriorWeight;
    double sum = PriorReturns * static_cast<double>(std::max(paused, PriorReturnDelay).count());
    for (std::size_t n = pauseBucket(paused); n < PauseBucketCount; n++) {
        const Duration left = std::max(bucketMidpoint(n) - paused, MinRemainingPause);
        returns += stats.resumed[n];
        all += stats.resumed[n] + stats.ended[n];
        sum += stats.resumed[n] * static_cast<double>(left.count());
    }
    return PauseForecast{sum / returns, returns / all};
}

} // namespace

std::size_t pauseBucket(Duration pause)
{
    const double milliseconds = std::max(1.0, std::chrono::duration<double, std::milli>(pause).count());
    return std::min(PauseBucketCount - 1, static_cast<std::size_t>(BucketsPerDoubling * std::log2(milliseconds)));
}

Duration bucketMidpoint(std::size_t bucket)
{
    const double middle = std::exp2((static_cast<double>(bucket) + 0.5) / BucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(middle));
}

std::optional<ProgramId> CachePinManager::evictionCandidate(TimePoint now) const
{
    const auto usable = static_cast<std::uint64_t>(MaxPinnedShare * static_cast<double>(m_state->capacity));
    if (m_state->capacity == 0 || pinnedTokens() <= usable) {
        return std::nullopt;
    }
    std::optional<ProgramId> worst;
    Duration longest{};
    for (const auto &[program, pin] : m_state->pins) {
        if (!pin.isPinned || pin.isActive || pin.tokens == 0) {
            continue;
        }
        const Duration expected = expectedReturn(program, now);
        if (!worst || expected > longest) {
            worst = program;
            longest = expected;
        }
    }
    return worst;
}

bool CachePinManager::isPinned(const ProgramId &program) const
{
    const auto it = m_state->pins.find(program);
    return it != m_state->pins.end() && it->second.isPinned;
}

std::vector<ProgramId> CachePinManager::programs() const
{
    std::vector<ProgramId> list;
    for (const auto &[program, pin] : m_state->pins) {
        if (pin.isPinned) {
            list.push_back(program);
        }
    }
    return list;
}

std::vector<ProgramId> CachePinManager::programs(ShardId shard) const
{
    std::vector<ProgramId> list;
    for (auto it = m_state->pins.lower_bound(ProgramId{shard, 0}); it != m_state->pins.end() && it->first.shard == shard; ++it) {
        if (it->second.isPinned) {
            list.push_back(it->first);
        }
    }
    return list;
}

std::uint64_t CachePinManager::pinnedTokens() const
{
    std::uint64_t sum = 0;
    for (const auto &[program, pin] : m_state->pins) {
        sum += pin.isPinned ? pin.tokens : 0;
    }
    return sum;
}

Duration CachePinManager::expectedReturn(const ProgramId &program, TimePoint now) const
{
    const auto it = m_state->pins.find(program);
    if (it == m_state->pins.end() || it->second.isActive) {
        return Duration{};
    }
    const auto stats = m_state->classes.find(it->second.className);
    const Duration paused = now - it->second.pausedAt;
    const PauseForecast next = stats == m_state->classes.end() ? forecast(PauseStats{}, paused) : forecast(stats->second, paused);
    return Duration(static_cast<Duration::rep>(next.remainingMicroseconds / next.returnProbability));
}

const CacheCounters &CachePinManager::counters() const
{
    return m_state->counters;
}

} // namespace Vanillahall
