/** JSON encoding of rows, journal records and snapshots in the platform's store. Every text contains a format number. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Vanillahall {

/** @return A row's value as a JSON object. */
std::string encodeRow(const RowValue &row);

/** @return A journal record as a JSON object. */
std::string encodeRecord(const JournalRecord &record);

/** @return A snapshot as a JSON object. */
std::string encodeSnapshot(const ShardSnapshot &snapshot);

/**
 * Decodes a row's value. Unknown members are ignored, missing ones are an error.
 * @param text Untrusted input, any bytes.
 * @param reason Set if decoding fails.
 * @return The row, or nothing if `text` is invalid.
 */
std::optional<RowValue> decodeRow(std::string_view text, Error &reason);

/** Decodes a journal record; see decodeRow(). */
std::optional<JournalRecord> decodeRecord(std::string_view text, Error &reason);

/** Decodes a snapshot; see decodeRow(). */
std::optional<ShardSnapshot> decodeSnapshot(std::string_view text, Error &reason);

} // namespace Vanillahall
