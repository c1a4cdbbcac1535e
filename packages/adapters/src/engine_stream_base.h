/** Reads one answer stream of an engine. */
#pragma once

#include "vanillahall/adapters/sse_reader_base.h"

#include "stream_chunk_func.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/** Tokens that follow each other. */
struct TokenRun
{
    std::uint32_t first{};           ///< Index of the first.
    std::vector<std::string> pieces; ///< Text of each.
};

/** How a stream stands. */
enum class StreamState : std::uint8_t {
    Open,       ///< More may come.
    Done,       ///< The engine has sent its end mark.
    Failed,     ///< The engine has reported a failure.
    Unreadable, ///< It can't be decoded, or a token is missing.
};

/** Decodes a stream that begins at a known token. */
class EngineStream
{
public:
    /** @param firstToken Index of the first token that is expected. */
    explicit EngineStream(std::uint32_t firstToken);
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    /** Reads the next piece. @return The tokens in it. */
    TokenRun read(std::string_view piece);

    /** @return How the stream stands. */
    [[nodiscard]] StreamState state() const;

    /** @return Why generation stopped. */
    [[nodiscard]] const std::string &finishReason() const;

    /** @return Token counts, as far as they have come. */
    [[nodiscard]] const StreamUsage &usage() const;

private:
    void takeEvent(std::string_view data);
    void takeChunk(StreamChunk &&chunk);

    SseReader m_reader;
    TokenRun m_run;
    std::uint32_t m_next;
    StreamState m_state = StreamState::Open;
    std::string m_finishReason;
    StreamUsage m_usage;
};

} // namespace Vanillahall
