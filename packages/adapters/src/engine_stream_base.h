/** Decoder of the response stream of an engine. */
#pragma once

#include "vanillahall/adapters/sse_reader_base.h"

#include "stream_chunk_func.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/** Consecutive tokens. */
struct TokenRun
{
    std::uint32_t first{};           ///< Index of the first token.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** State of a stream. */
enum class StreamState : std::uint8_t {
    Open,       ///< More events may follow.
    Done,       ///< The engine has sent the end marker.
    Failed,     ///< The engine has reported a failure.
    Unreadable, ///< An event can't be decoded, or a token is missing.
};

/** Decodes a stream that begins at a given token. */
class EngineStream
{
public:
    /** @param firstToken Index of the first token of the stream. */
    explicit EngineStream(std::uint32_t firstToken);
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    /** Decodes the next chunk of input. @return The tokens that it completes. */
    TokenRun read(std::string_view piece);

    /** @return The state of the stream. */
    [[nodiscard]] StreamState state() const;

    /** @return The engine's reason for the end of generation; empty until it is received. */
    [[nodiscard]] const std::string &finishReason() const;

    /** @return The token counts received so far. */
    [[nodiscard]] const StreamUsage &usage() const;

private:
    void handleEvent(std::string_view data);
    void handleChunk(StreamChunk &&chunk);

    SseReader m_reader;
    TokenRun m_run;
    std::uint32_t m_nextToken;
    StreamState m_state = StreamState::Open;
    std::string m_finishReason;
    StreamUsage m_usage;
};

} // namespace Vanillahall
