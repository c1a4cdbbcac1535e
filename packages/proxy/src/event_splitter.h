/** Splits the bytes of an event stream into complete events. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall::Forward {

/** Limit on the length of an event. An event of a model holds a few tokens, which takes a few hundred bytes. */
inline constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;

/** Complete events, as received. */
struct CompleteEvents
{
    std::string bytes;                    ///< Bytes of the events.
    std::uint32_t count = 0;              ///< Number of events that have an id.
    std::optional<std::uint64_t> firstId; ///< Id of the first event with an id.
    std::optional<std::uint64_t> lastId;  ///< Id of the last event with an id.
    bool hasOtherText = false;            ///< True if a part without an id doesn't have the form of an event either.
};

/** @return True if a text is an event, possibly without its empty line, whose id is greater than `after`. */
bool isNextEvent(std::string_view event, std::optional<std::uint64_t> after);

/** Buffers a partial event until its end is received, such that only complete events are forwarded. */
class EventSplitter
{
public:
    // Commands.

    /** Appends received bytes. @return The events that are complete now, without those whose id is `after` or lower. */
    CompleteEvents append(std::string_view bytes, std::optional<std::uint64_t> after);
    /** Removes and returns the bytes after the last complete event: the rest of the stream once it has ended. */
    std::string takePartialEvent();

    // Queries.

    /** @return True if the partial event exceeds MaxEventBytes; the stream is invalid then. */
    [[nodiscard]] bool hasOverlongEvent() const;

private:
    std::string m_partialEvent; ///< Start of an event whose end wasn't received yet.
};

} // namespace Vanillahall::Forward
