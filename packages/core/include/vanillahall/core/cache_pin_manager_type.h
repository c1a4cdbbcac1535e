/** Counters of engine memory held between the turns of programs. */
#pragma once

#include <cstdint>

namespace Vanillahall {

/** Sums since the gate started. */
struct CacheCounters
{
    std::uint64_t heldTokenSeconds{};   ///< Tokens times seconds held for paused programs.
    std::uint64_t wastedTokenSeconds{}; ///< Share of heldTokenSeconds that no later turn used.
    std::uint64_t recomputedTokens{};   ///< Prompt tokens prefilled again although an earlier call had cached them.
    std::uint64_t promptTokens{};       ///< Prompt tokens of finished model calls.
    std::uint64_t cachedTokens{};       ///< Share of promptTokens found in the prefix cache.
    std::uint64_t released{};           ///< Paused programs whose memory was released before their end.
};

} // namespace Vanillahall
