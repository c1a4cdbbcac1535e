/** JSON form of the explanation of a request. */
#pragma once

#include "request_explanation_type.h"

#include <string>

namespace Vanillahall::Forward {

/** Servers named in one answer; the others are counted. */
inline constexpr std::size_t MaxExplainedServers = 32;

/** @return JSON object; times in milliseconds. */
[[nodiscard]] std::string toJson(const RequestExplanation &explanation);

} // namespace Vanillahall::Forward
