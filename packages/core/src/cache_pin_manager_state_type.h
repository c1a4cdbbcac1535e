/** Internal state of CachePinManager. */
#pragma once

#include "vanillahall/core/cache_pin_manager_base.h"

#include <array>
#include <map>
#include <unordered_map>

namespace Vanillahall {

/** Engine memory of one program. */
struct Pin
{
    ClassName className;              ///< Class of the program.
    bool isPinned{};                  ///< True if the engine may hold memory for it.
    bool isActive{};                  ///< True while a call of it waits or runs here.
    std::uint64_t tokens{};           ///< Tokens that the engine is assumed to hold.
    std::uint64_t lastPrefixTokens{}; ///< Prefix length after the last finished call; kept after a release, to count recomputed tokens.
    TimePoint pausedAt;               ///< Start of the current pause.
};

constexpr std::size_t PauseBucketCount = 64; ///< Two buckets for each doubling of the pause, starting at 1 ms.

/** Histograms of the pauses of one class. */
struct PauseStats
{
    std::array<std::uint32_t, PauseBucketCount> resumed{}; ///< Pauses after which the program resumed.
    std::array<std::uint32_t, PauseBucketCount> ended{};   ///< Pauses in which the program ended.
};

struct CachePinManagerState
{
    std::map<ProgramId, Pin> pins;                     ///< By program, including released ones.
    std::unordered_map<ClassName, PauseStats> classes; ///< Pause statistics by class.
    std::uint64_t capacity{};                          ///< Tokens that fit; 0 if unknown.
    CacheCounters counters;                            ///< Sums since the start.
};

/** @return Histogram bucket of a pause. */
std::size_t pauseBucket(Duration pause);

/** @return Length of the pause in the middle of a bucket, on the logarithmic scale. */
Duration bucketMidpoint(std::size_t bucket);

} // namespace Vanillahall
