#include "placement_gauges_func.h"

namespace Vanillahall::Forward {

void setPlacementGauges(Metrics &metrics, const ServerRegistry &servers, TimePoint now)
{
    const auto error = servers.estimateError();
    metrics.gauge("vanillahall_work_estimate_error_ratio", error.relative);
    metrics.gauge("vanillahall_work_estimate_bias_ratio", error.bias);
    const auto paces = servers.paces(now);
    metrics.gauge("vanillahall_servers_measured", static_cast<double>(paces.measured));
    metrics.gauge("vanillahall_server_pace_fastest", paces.fastest);
    metrics.gauge("vanillahall_server_pace_median", paces.median);
    metrics.gauge("vanillahall_server_pace_slowest", paces.slowest);
}

} // namespace Vanillahall::Forward
