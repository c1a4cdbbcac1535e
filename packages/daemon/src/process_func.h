/** What both roles need to start. */
#pragma once

#include "settings_type.h"

#include "vanillahall/core/error_type.h"
#include "vanillahall/net/link_base.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** @return A random number from the operating system. */
std::uint64_t freshRandom();

/** @return "ip:port", with brackets around an IPv6 number. */
std::string toText(const Endpoint &endpoint);

/** Reads the shared secret and names this process to its peers. @return Nothing if the file can't be read; then `reason` says why. */
std::optional<LinkIdentity> readIdentity(const Settings &settings, Incarnation incarnation, Error &reason);

/** Runs an entry until it has stopped. @return False if it could not start; then `reason` says why. */
bool runEntry(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason);

/** Reads the settings again. @return Nothing if they are faulty or can't be read; then `faults` says why. */
using ReadSettingsAgain = std::function<std::optional<Settings>(std::vector<SettingsError> &errors)>;

/**
 * Runs a proxy until it has stopped.
 * @param path Path of the settings file, which is watched.
 * @return False if it could not start; then `reason` says why.
 */
bool runProxy(const Settings &settings, const std::string &path, const ReadSettingsAgain &readAgain, Error &reason);

/** Runs a gate until it has stopped. @return False if it could not start; then `reason` says why. */
bool runGate(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason);

} // namespace Vanillahall
