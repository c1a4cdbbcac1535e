/** Start-up of the roles, and helpers that they share. */
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

/** @return A random number from OpenSSL's cryptographic generator. */
std::uint64_t randomNumber();

/** @return "ip:port", with an IPv6 address in brackets. */
std::string toText(const Endpoint &endpoint);

/**
 * Builds the identity that this process presents to its peers, with the shared secret of link.key_file.
 * @return Nothing if the secret is unreadable or too short; then `reason` is set.
 */
std::optional<LinkIdentity> readIdentity(const Settings &settings, Incarnation incarnation, Error &reason);

/** Runs an entry until it has stopped. @return False if it could not start; then `reason` is set. */
bool runEntry(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason);

/** Reloads the settings. @return Nothing if they are unreadable or invalid; then `errors` lists the errors. */
using ReloadSettings = std::function<std::optional<Settings>(std::vector<SettingsError> &errors)>;

/**
 * Runs a proxy until it has stopped.
 * @param path Settings file, reloaded when it changes.
 * @return False if it could not start; then `reason` is set.
 */
bool runProxy(const Settings &settings, const std::string &path, const ReloadSettings &reloadSettings, Error &reason);

/** Runs a gate until it has stopped. @return False if it could not start; then `reason` is set. */
bool runGate(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason);

} // namespace Vanillahall
