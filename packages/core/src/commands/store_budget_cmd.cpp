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
    const double capacity = std::max(1.0, readShare() * Seconds(m_settings.burst).count());
    if (!m_isInitialized) {
        m_isInitialized = true;
        m_availableReads = capacity;
    } else {
        m_availableReads = std::min(capacity, m_availableReads + readShare() * Seconds(now.steady - m_lastRefill).count());
    }
    m_lastRefill = now.steady;
    if (m_availableReads < 1.0) {
        return false;
    }
    m_availableReads -= 1.0;
    return true;
}

} // namespace Vanillahall
