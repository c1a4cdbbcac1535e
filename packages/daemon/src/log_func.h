/** Structured log lines, through Boost.Log. */
#pragma once

#include "vanillahall/core/log_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Destination of log lines. */
enum class LogTarget : std::uint8_t {
    StandardError, ///< Written immediately; a full pipe blocks the process.
    BoundedOutput, ///< Standard output through a bounded queue; never blocks. Needs periodic calls of flushLog().
};

/**
 * Initializes the log. Call once, before the first line is written.
 * @param process Name of the process, written on every line.
 * @param level Minimum level: "info", "warning" or "error".
 */
void initLog(const std::string &process, const std::string &level, LogTarget target);

/** Sets the minimum level that is logged: "info", "warning" or "error". */
void setLogLevel(const std::string &level);

/** Writes queued lines as far as possible without blocking, and logs how many were dropped because the queue was full. */
void flushLog();

/** Writes one line with event-specific fields. @param fields "key=value" pairs, separated by spaces. */
void writeFields(LogLevel level, EventNumber event, const std::string &fields);

/** Writes one line with time, process, level, event number and name, and the program, turn, peer and text that are set. */
void writeLog(const WriteLog &line);

/** Writes one line about the process itself. */
void writeLog(LogLevel level, EventNumber event, const std::string &peer, const std::string &text);

/** @return Name of an event, as in docs/EVENTS.md. */
std::string_view eventName(EventNumber event);

} // namespace Vanillahall
