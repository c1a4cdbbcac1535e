/** Cuts the bytes of an event stream into whole events. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall::Forward {

/** One or more whole events, as sent. */
struct WholeEvents
{
    std::string bytes;                  ///< Bytes up to the end of the last whole event.
    std::uint32_t count = 0;            ///< Number of events that have an id.
    std::optional<std::uint64_t> first; ///< Id of the first event with an id.
    std::optional<std::uint64_t> last;  ///< Id of the last event with an id.
};

/** Keeps the beginning of an event until its end has come, so that a torn event is never passed on. */
class EventSplitter
{
public:
    // Commands.

    /** Takes bytes. @return The events that are whole now; those up to `after` are left out. */
    WholeEvents take(std::string_view bytes, std::optional<std::uint64_t> after);
    /** @return Bytes after the last whole event; they end a stream that is complete. */
    std::string takeRest();

private:
    std::string m_rest;
};

} // namespace Vanillahall::Forward
