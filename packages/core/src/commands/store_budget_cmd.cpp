#include "vanillahall/core/store_budget_base.h"

#include <algorithm>

namespace Vanillahall {

StoreBudget::StoreBudget(StoreBudgetSettings settings, ShardLogSettings log)
    : m_settings(settings)
    , m_log(log)
{
}

void StoreBudget::setEntries(std::uint32_t entries)
{
    m_entries = std::max(entries, 1U);
}

void StoreBudget::setShards(std::uint32_t shards)
{
    m_shards = std::max(shards, 1U);
}

bool StoreBudget::tryConsumeRead(Now now)
{
    using Seconds = std::chrono::duration<double>;
    const double most = std::max(1.0, readShare() * Seconds(m_settings.burst).count());
    if (!m_started) {
        m_started = true;
        m_reads = most;
    } else {
        m_reads = std::min(most, m_reads + readShare() * Seconds(now.steady - m_filled).count());
    }
    m_filled = now.steady;
    if (m_reads < 1.0) {
        return false;
    }
    m_reads -= 1.0;
    return true;
}

} // namespace Vanillahall
