#include "event_splitter.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>
#include <cctype>

namespace Vanillahall::Forward {

namespace {

/** @return Length of the first event in the text, including its empty line, or nothing if it is incomplete. */
std::optional<std::size_t> eventLength(std::string_view text)
{
    const auto lf = text.find("\n\n");
    const auto crlf = text.find("\r\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return std::nullopt;
    }
    return lf < crlf ? lf + 2 : crlf + 4;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        if (const auto id = Platform::readEventId(event.substr(0, end))) {
            return id;
        }
        if (end == std::string_view::npos) {
            break;
        }
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

/** @return True if each line of a text is a comment or has the name of a field. */
bool hasEventForm(std::string_view text)
{
    while (!text.empty()) {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        const auto nameEnd = std::find_if_not(line.begin(), line.end(), [](unsigned char c) {
            return std::isalpha(c) != 0 || c == '-' || c == '_';
        });
        if (!line.empty() && (nameEnd == line.end() || *nameEnd != ':')) {
            return false;
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return true;
}

} // namespace

bool isNextEvent(std::string_view event, std::optional<std::uint64_t> after)
{
    const auto id = eventId(event);
    return id && (!after || *id > *after);
}

CompleteEvents EventSplitter::append(std::string_view bytes, std::optional<std::uint64_t> after)
{
    m_partialEvent.append(bytes);
    CompleteEvents events;
    std::size_t begin = 0;
    const std::string_view text = m_partialEvent;
    while (const auto length = eventLength(text.substr(begin))) {
        const auto event = text.substr(begin, *length);
        begin += *length;
        const auto id = eventId(event);
        if (id && after && *id <= *after) {
            continue;
        }
        events.bytes.append(event);
        events.hasOtherText = events.hasOtherText || (!id && !hasEventForm(event));
        if (id) {
            events.count++;
            events.firstId = events.firstId ? events.firstId : id;
            events.lastId = id;
        }
    }
    m_partialEvent.erase(0, begin);
    return events;
}

bool EventSplitter::hasOverlongEvent() const
{
    return m_partialEvent.size() > MaxEventBytes;
}

std::string EventSplitter::takePartialEvent()
{
    return std::exchange(m_partialEvent, {});
}

} // namespace Vanillahall::Forward
