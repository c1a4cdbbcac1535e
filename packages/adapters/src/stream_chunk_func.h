/** Decoding of the events of an engine's stream. */
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

/** Decoded data of one event. */
struct StreamChunk
{
    bool failed{};                      ///< True if the engine reported a failure.
    std::optional<std::string> text;    ///< Text of one token.
    std::optional<std::uint32_t> index; ///< Index of the token, if the engine numbers its tokens.
    std::string finishReason;           ///< Reason for the end of generation; empty until then.
    std::optional<StreamUsage> usage;   ///< Token counts; only in the last chunk.
};

/** @return The chunk, or nothing if `data` is not a JSON object. */
std::optional<StreamChunk> readChunk(std::string_view data);

} // namespace Vanillahall
