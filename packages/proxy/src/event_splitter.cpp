#include "event_splitter.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/**
 * @param text Begins with an event.
 * @param from Position from which the end of the event is searched.
 * @return Length of the event, including its empty line; nothing if it is incomplete.
 */
std::optional<std::size_t> eventLength(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n") {
            return at + 2;
        }
        if (at != 0 && text[at - 1] == '\r' && text.substr(at + 1, 2) == "\r\n") {
            return at + 3;
        }
    }
    return std::nullopt;
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
    // The end of an event has up to three bytes after its first line end.
    constexpr std::size_t MaxEndBytes = 3;
    std::size_t searchFrom = m_partialEvent.size() - std::min(m_partialEvent.size(), MaxEndBytes);
    m_partialEvent.append(bytes);
    CompleteEvents events;
    std::size_t begin = 0;
    const std::string_view text = m_partialEvent;
    while (const auto length = eventLength(text.substr(begin), std::exchange(searchFrom, 0))) {
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
