#include "vanillahall/adapters/sse_reader_base.h"

#include <utility>

namespace Vanillahall {

SseReader::SseReader(std::size_t maxEvent, Callback callback)
    : m_maxEvent(maxEvent)
    , m_callback(std::move(callback))
{
}

bool SseReader::read(std::string_view piece)
{
    while (!piece.empty() && !m_broken) {
        if (m_afterCr && piece.front() == '\n') {
            piece.remove_prefix(1);
        }
        m_afterCr = false;
        const std::size_t end = piece.find_first_of("\r\n");
        m_line.append(piece.substr(0, end));
        m_broken = m_line.size() > m_maxEvent;
        if (end == std::string_view::npos || m_broken) {
            break;
        }
        m_afterCr = piece[end] == '\r';
        piece.remove_prefix(end + 1);
        const std::string line = std::exchange(m_line, {});
        takeLine(line);
    }
    return !m_broken;
}

void SseReader::takeLine(std::string_view line)
{
    if (line.empty()) {
        const std::string data = std::exchange(m_data, {});
        if (std::exchange(m_hasData, false)) {
            m_callback(data);
        }
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        takeField(line, {});
        return;
    }
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    takeField(line.substr(0, colon), value);
}

void SseReader::takeField(std::string_view name, std::string_view value)
{
    if (name != "data") {
        return;
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_hasData = true;
    m_data += value;
    m_broken = m_data.size() > m_maxEvent;
}

} // namespace Vanillahall
