/** Request and printed answer of `vanillahall where`. */
#pragma once

#include "command_type.h"

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Vanillahall {

/** @return JSON description of the request; nothing if a header field has no name. */
std::optional<std::string> describeRequest(const CommandContext &context);

/** @return Readable form of a proxy's explanation. */
std::string explanationText(const nlohmann::json &explanation);

} // namespace Vanillahall
