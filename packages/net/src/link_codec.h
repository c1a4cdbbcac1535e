/** Serialization of link messages. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall::Wire {
class LinkMessage;
} // namespace Vanillahall::Wire

namespace Vanillahall {

/** Serializes a message. */
std::string encodeLinkMessage(const LinkMessage &message);

/**
 * Parses a message.
 * @param bytes Serialized message; may be invalid.
 * @return The message; std::nullopt if the bytes are invalid, with the cause in `reason`.
 */
std::optional<LinkMessage> decodeLinkMessage(std::string_view bytes, Error &reason);

/** Converts a message to its wire type. */
void encode(const LinkMessage &in, Wire::LinkMessage &out);

/** Converts a message from its wire type. @return False if it has a missing part or an unknown value, with the cause in `reason`. */
bool decode(const Wire::LinkMessage &in, LinkMessage &out, Error &reason);

} // namespace Vanillahall
