/** Decoding of rows from parsed JSON values. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace Vanillahall {

/** Decodes a row as decodeRow() does, from a parsed JSON value. */
std::optional<RowValue> rowFromJson(const nlohmann::json &json, Error &reason);

} // namespace Vanillahall
