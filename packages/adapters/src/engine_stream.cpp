#include "engine_stream_base.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxEvent = std::size_t{1024} * 1024; ///< Longest event, in bytes.
constexpr std::string_view EndMark = "[DONE]";

} // namespace

EngineStream::EngineStream(std::uint32_t firstToken)
    : m_reader(MaxEvent,
               [this](std::string_view data) {
                   takeEvent(data);
               })
    , m_next(firstToken)
{
}

TokenRun EngineStream::read(std::string_view piece)
{
    m_run.first = m_next;
    if (!m_reader.read(piece) && m_state == StreamState::Open) {
        m_state = StreamState::Unreadable;
    }
    return std::exchange(m_run, {});
}

StreamState EngineStream::state() const
{
    return m_state;
}

const std::string &EngineStream::finishReason() const
{
    return m_finishReason;
}

const StreamUsage &EngineStream::usage() const
{
    return m_usage;
}

void EngineStream::takeEvent(std::string_view data)
{
    if (m_state != StreamState::Open) {
        return;
    }
    if (data == EndMark) {
        m_state = StreamState::Done;
        return;
    }
    auto chunk = readChunk(data);
    if (!chunk) {
        m_state = StreamState::Unreadable;
        return;
    }
    takeChunk(std::move(*chunk));
}

void EngineStream::takeChunk(StreamChunk &&chunk)
{
    if (chunk.failed) {
        m_state = StreamState::Failed;
        return;
    }
    if (chunk.text && chunk.index.value_or(m_next) != m_next) {
        m_state = StreamState::Unreadable;
        return;
    }
    if (chunk.text) {
        m_next++;
        m_run.pieces.push_back(std::move(*chunk.text));
    }
    if (!chunk.finishReason.empty()) {
        m_finishReason = std::move(chunk.finishReason);
    }
    if (chunk.usage) {
        m_usage = *chunk.usage;
    }
}

} // namespace Vanillahall
