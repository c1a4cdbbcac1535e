/** The data of event streams, as the text/event-stream format defines it. */
#pragma once

#include <string>
#include <string_view>

namespace Vanillahall::Forward {

/**
 * @param events Whole events, each ended by an empty line.
 * @return The data of each event followed by a line feed. Several data lines of one event are joined by line feeds; an event without a data
 * line adds nothing, one with an empty data line adds the line feed alone.
 */
std::string eventData(std::string_view events);

} // namespace Vanillahall::Forward
