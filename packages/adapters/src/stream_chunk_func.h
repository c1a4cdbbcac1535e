/** The chunks of an engine's stream. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Token counts of a finished call. */
struct StreamUsage
{
    std::uint32_t promptTokens{};     ///< Tokens of the prompt.
    std::uint32_t cachedTokens{};     ///< Prompt tokens found in the cache.
    std::uint32_t completionTokens{}; ///< Generated tokens.
};

/** One decoded chunk. */
struct StreamChunk
{
    bool failed{};                      ///< True if the engine reported a failure.
    std::optional<std::string> text;    ///< Text of one token.
    std::optional<std::uint32_t> index; ///< Number of the token, if the engine counts them.
    std::string finishReason;           ///< Why generation stopped; empty before.
    std::optional<StreamUsage> usage;   ///< In the last chunk.
};

/** @return The chunk, or nothing if the data isn't one. */
std::optional<StreamChunk> readChunk(std::string_view data);

} // namespace Vanillahall
