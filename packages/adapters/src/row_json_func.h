/** Stored types out of JSON values that are parsed already. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace Vanillahall {

/** As decodeRow(), from a JSON value. */
std::optional<RowValue> rowFromJson(const nlohmann::json &json, Error &reason);

} // namespace Vanillahall
