/** Gauges of what the choice of servers has learned. */
#pragma once

#include "vanillahall/core/metrics_base.h"
#include "vanillahall/core/server_registry_base.h"

namespace Vanillahall::Forward {

/** Sets the gauges: accuracy of the expected work, and a summary of the servers' paces, whose size doesn't depend on their number. */
void setPlacementGauges(Metrics &metrics, const ServerRegistry &servers, TimePoint now);

} // namespace Vanillahall::Forward
