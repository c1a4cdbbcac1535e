/** Structured log lines, through Boost.Log. */
#pragma once

#include "vanillahall/core/log_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Where log lines go. */
enum class LogTarget : std::uint8_t {
    StandardError, ///< Each line at once; a full pipe blocks the process.
    BoundedOutput, ///< Standard output through a bounded buffer; never blocks. flushLog() must be called now and then.
};

/**
 * Sets the log up. Call once, before the first line.
 * @param process Name of the process, on every line.
 * @param level "info", "warning" or "error".
 */
void beginLog(const std::string &process, const std::string &level, LogTarget target);

/** Changes the least serious level that is logged. */
void setLogLevel(const std::string &level);

/** Writes buffered lines as far as the reader takes them at once. */
void flushLog();

/** Writes one line with its own fields. @param fields "key=value" pairs, separated by spaces. */
void writeFields(LogLevel level, EventNumber event, const std::string &fields);

/** Writes one line: time, process, level, event number and name, program, turn, peer, text. */
void writeLog(const WriteLog &line);

/** Writes one line about the process itself. */
void writeLog(LogLevel level, EventNumber event, const std::string &peer, const std::string &text);

/** @return Name of an event, as in docs/EVENTS.md. */
std::string_view eventName(EventNumber event);

} // namespace Vanillahall
