/** The inside of a cache keeper. */
#pragma once

#include "vanillahall/core/cache_pin_manager_base.h"

#include <array>
#include <map>
#include <unordered_map>

namespace Vanillahall {

/** Memory of one program. */
struct Pin
{
    ClassName className;              ///< Its class.
    bool isPinned{};                  ///< True if the engine may hold memory for it.
    bool isActive{};                  ///< True while a call of it waits or runs here.
    std::uint64_t tokens{};           ///< Tokens that the engine holds, as far as known.
    std::uint64_t lastPrefixTokens{}; ///< Longest prefix that the engine has held.
    TimePoint pausedAt;               ///< Begin of the present pause.
};

constexpr std::size_t PauseBucketCount = 64; ///< Two for each doubling of the pause, from a millisecond on.

/** Lengths of the pauses of one class. */
struct PauseStats
{
    std::array<std::uint32_t, PauseBucketCount> resumed{}; ///< Pauses after which the program came back.
    std::array<std::uint32_t, PauseBucketCount> ended{};   ///< Pauses in which the program ended.
};

struct CachePinManagerState
{
    std::map<ProgramId, Pin> pins;                     ///< By program, given up ones included.
    std::unordered_map<ClassName, PauseStats> classes; ///< What was seen of each class.
    std::uint64_t capacity{};                          ///< Tokens that fit; 0 if unknown.
    CacheCounters counters;                            ///< Sums.
};

/** @return Bucket of a pause. */
std::size_t pauseBucket(Duration pause);

/** @return Middle of a bucket. */
Duration bucketMidpoint(std::size_t bucket);

} // namespace Vanillahall
