/** Rows, journal records and snapshots as JSON text, as the platform's store keeps them. Every text carries its format's number. */
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
 * Reads a row's value. Unknown members are ignored, missing ones are an error.
 * @param text Any bytes.
 * @param reason Says what is wrong, if nothing is returned.
 * @return The row, or nothing.
 */
std::optional<RowValue> decodeRow(std::string_view text, Error &reason);

/** Reads a journal record; as decodeRow(). */
std::optional<JournalRecord> decodeRecord(std::string_view text, Error &reason);

/** Reads a snapshot; as decodeRow(). */
std::optional<ShardSnapshot> decodeSnapshot(std::string_view text, Error &reason);

} // namespace Vanillahall
