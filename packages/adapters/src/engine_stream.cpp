#include "engine_stream_base.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024; ///< Maximum size of an event.
constexpr std::string_view EndMarker = "[DONE]";

} // namespace

EngineStream::EngineStream(std::uint32_t firstToken)
    : m_reader(MaxEventBytes,
               [this](std::string_view data) {
                   handleEvent(data);
               })
    , m_nextToken(firstToken)
{
}

TokenRun EngineStream::read(std::string_view piece)
{
    m_run.first = m_nextToken;
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

void EngineStream::handleEvent(std::string_view data)
{
    if (m_state != StreamState::Open) {
        return;
    }
    if (data == EndMarker) {
        m_state = StreamState::Done;
        return;
    }
    auto chunk = readChunk(data);
    if (!chunk) {
        m_state = StreamState::Unreadable;
        return;
    }
    handleChunk(std::move(*chunk));
}

void EngineStream::handleChunk(StreamChunk &&chunk)
{
    if (chunk.failed) {
        m_state = StreamState::Failed;
        return;
    }
    if (chunk.text && chunk.index.value_or(m_nextToken) != m_nextToken) {
        m_state = StreamState::Unreadable;
        return;
    }
    if (chunk.text) {
        m_nextToken++;
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
