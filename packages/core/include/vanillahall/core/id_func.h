/** Text forms of identifiers, and the fingerprint of a request's content. */
#pragma once

#include "vanillahall/core/id_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall {

/**
 * Formats the name of a program as callers see it.
 * @param id The program.
 * @return 16 hexadecimal digits, a dash, 16 hexadecimal digits.
 */
std::string toText(const ProgramId &id);

/**
 * Formats the name of a shard.
 * @param id The shard.
 * @return 16 hexadecimal digits.
 */
std::string toText(const ShardId &id);

/**
 * Parses the name of a program.
 * @param text Text in the form that toText() returns.
 * @return The program, or nothing if the text has another form.
 */
std::optional<ProgramId> parseProgramId(std::string_view text);

/**
 * Parses the name of a shard.
 * @param text Text in the form that toText() returns.
 * @return The shard, or nothing if the text has another form.
 */
std::optional<ShardId> parseShardId(std::string_view text);

/**
 * Computes the fingerprint of a request's content.
 * @param content All bytes that determine what would be executed.
 * @return A 128-bit fingerprint.
 */
ContentHash contentHash(std::string_view content);

} // namespace Vanillahall
