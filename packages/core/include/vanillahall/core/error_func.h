/** Text forms of errors, for responses and logs. */
#pragma once

#include "vanillahall/core/error_type.h"

#include <string>
#include <string_view>

namespace Vanillahall {

/** @return The code as callers receive it, in lower case with underscores. */
std::string_view toText(ErrorCode code);

/** @return "not_run", "ran" or "unknown". */
std::string_view toText(RunState run);

/** @return The step as callers receive it, in lower case. */
std::string_view toText(Step step);

/** @return HTTP status of an error code. */
std::uint32_t httpStatus(ErrorCode code);

/** @return Human-readable description in one line. */
std::string toText(const Error &error);

/**
 * Creates an error for a request that was not executed.
 * @param code Kind of error.
 * @param step Processing step at which it arose.
 * @param peer Name of the process or server where it arose.
 * @param message Human-readable details.
 */
Error notRun(ErrorCode code, Step step, std::string peer, std::string message);

} // namespace Vanillahall
