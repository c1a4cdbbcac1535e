/** Reading and checking of settings. */
#pragma once

#include "settings_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/**
 * Splits INI text into its lines.
 * @param file Path, for faults.
 * @param text The INI text.
 * @param faults Receives a fault for each line that is neither a section, a key with a value, a comment nor empty.
 * @return The lines, in order.
 */
std::vector<SettingsLine> splitSettings(const std::string &file, std::string_view text, std::vector<SettingsError> &errors);

/**
 * Splits a command line override.
 * @param text "section.key=value" as given after "--".
 * @param faults Receives a fault if the form is another.
 * @return The line, or nothing.
 */
std::optional<SettingsLine> splitOverride(std::string_view text, std::vector<SettingsError> &errors);

/**
 * Checks all lines against the table of settings and fills the settings in.
 * @param file Path, for faults about missing keys.
 * @param lines Lines of the file, then overrides; a later line for the same key wins only from another source.
 * @param faults Receives every fault.
 * @return The settings; meaningless if there are faults.
 */
Settings readSettings(const std::string &file, const std::vector<SettingsLine> &lines, std::vector<SettingsError> &errors);

/** @return One line for a person: file, line, section, key, what was expected. */
std::string toText(const SettingsError &error);

/** @return The reference of all settings as a Markdown table, for docs/OPERATIONS.md. */
std::string settingsReference();

} // namespace Vanillahall
