#include "vanillahall/core/event_data_func.h"

#include <optional>

namespace Vanillahall::Forward {

namespace {

/** @return Value of a `data` field, or nothing if the line holds another field. */
std::optional<std::string_view> dataValue(std::string_view line)
{
    constexpr std::string_view Field = "data";
    if (line.substr(0, Field.size()) != Field) {
        return std::nullopt;
    }
    line.remove_prefix(Field.size());
    if (line.empty()) {
        return line;
    }
    if (line.front() != ':') {
        return std::nullopt;
    }
    line.remove_prefix(1);
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

std::string eventData(std::string_view events)
{
    std::string text;
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (const auto value = dataValue(line)) {
            text.append(*value).append("\n");
        }
    }
    return text;
}

} // namespace Vanillahall::Forward
