#include "vanillahall/adapters/sse_reader_base.h"

#include <utility>

namespace Vanillahall {

SseReader::SseReader(std::size_t maxEventBytes, Callback callback)
    : m_maxEventBytes(maxEventBytes)
    , m_callback(std::move(callback))
{
}

bool SseReader::read(std::string_view piece)
{
    while (!piece.empty() && !m_isTooLong) {
        if (m_followsCr && piece.front() == '\n') {
            piece.remove_prefix(1);
        }
        m_followsCr = false;
        const std::size_t end = piece.find_first_of("\r\n");
        m_line.append(piece.substr(0, end));
        m_isTooLong = m_line.size() > m_maxEventBytes;
        if (end == std::string_view::npos || m_isTooLong) {
            break;
        }
        m_followsCr = piece[end] == '\r';
        piece.remove_prefix(end + 1);
        const std::string line = std::exchange(m_line, {});
        processLine(line);
    }
    return !m_isTooLong;
}

void SseReader::processLine(std::string_view line)
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
        processField(line, {});
        return;
    }
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    processField(line.substr(0, colon), value);
}

void SseReader::processField(std::string_view name, std::string_view value)
{
    if (name != "data") {
        return;
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_hasData = true;
    m_data += value;
    m_isTooLong = m_data.size() > m_maxEventBytes;
}

} // namespace Vanillahall
