/** Extracts the data of event streams, as defined by the text/event-stream format. */
#pragma once

#include <string>
#include <string_view>

namespace Vanillahall::Forward {

/**
 * @param events Complete events, each terminated by an empty line.
 * @return The data of each event followed by a line feed. Several data lines of one event are joined by line feeds. An event without a
 * data line adds nothing; an event with an empty data line adds only the line feed.
 */
std::string eventData(std::string_view events);

} // namespace Vanillahall::Forward
