/** Cuts the bytes of an event stream into whole events. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall::Forward {

/** Longest event; a model's event holds a few tokens, a few hundred bytes. */
inline constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;

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

    // Queries.

    /** @return True if an event has become longer than any real one; the rest of the stream can't be trusted. */
    [[nodiscard]] bool isOverlong() const;

private:
    std::string m_rest; ///< Beginning of an event whose end hasn't come.
};

} // namespace Vanillahall::Forward
