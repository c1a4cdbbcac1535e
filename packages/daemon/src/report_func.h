/** JSON reports for operators: state, unknown outcomes, burn rates. */
#pragma once

#include "vanillahall/core/burn_type.h"
#include "vanillahall/core/entry_query.h"
#include "vanillahall/net/http_type.h"

#include <map>
#include <string>
#include <vector>

namespace Vanillahall {

/** Configuration version that each other process last reported, by process name. */
using PeerConfigVersions = std::map<std::string, ConfigVersion>;

/** @return State of an entry as JSON. @param peerConfigs Versions that other processes reported to this entry. */
HttpResponse encodeState(const EntryView &view, const PeerConfigVersions &peerConfigs);

/** @return Turns with unknown outcome, as JSON. */
HttpResponse encodeOutcomes(const std::vector<TurnView> &turns);

/** @return The burn report as JSON. */
HttpResponse encodeBurn(const BurnReport &report);

} // namespace Vanillahall
