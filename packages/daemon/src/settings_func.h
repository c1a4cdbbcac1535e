/** Parsing and validation of settings. */
#pragma once

#include "settings_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/**
 * Parses INI text into key-value lines.
 * @param file Path, for error messages.
 * @param text The INI text.
 * @param errors Receives an error for each line that is not a section, `key = value`, a comment or empty.
 * @return The key-value lines, in file order.
 */
std::vector<SettingsLine> splitSettings(const std::string &file, std::string_view text, std::vector<SettingsError> &errors);

/**
 * Parses a command-line override.
 * @param text "section.key=value" as given after "--".
 * @param errors Receives an error if the text does not have this format.
 * @return The line, or nothing on error.
 */
std::optional<SettingsLine> splitOverride(std::string_view text, std::vector<SettingsError> &errors);

/**
 * Validates all lines against the table of settings and applies them.
 * @param file Path, for errors about missing keys.
 * @param lines Lines of the file, followed by overrides. An override replaces the file's value; a key repeated within one source is an
 * error.
 * @param errors Receives all errors.
 * @return The settings; only valid if no error was added.
 */
Settings readSettings(const std::string &file, const std::vector<SettingsLine> &lines, std::vector<SettingsError> &errors);

/** @return A one-line error message: file, line, section, key and what was expected. */
std::string toText(const SettingsError &error);

/** @return A Markdown table of all settings, as included in docs/OPERATIONS.md. */
std::string settingsReference();

} // namespace Vanillahall
