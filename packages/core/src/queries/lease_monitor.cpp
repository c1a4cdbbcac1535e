#include "vanillahall/core/lease_monitor_base.h"

#include "lease_monitor_state.h"

namespace Vanillahall {

std::optional<TimePoint> LeaseMonitor::promisedUntil(ShardId shard) const
{
    const auto it = m_state->promises.find(shard);
    if (it == m_state->promises.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool LeaseMonitor::isTakingOver(ShardId shard) const
{
    return m_state->takingOver.count(shard) > 0;
}

} // namespace Vanillahall
