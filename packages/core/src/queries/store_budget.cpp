#include "vanillahall/core/store_budget_base.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** @return Time between two writes of one shard at which all shards together use up the share. */
Duration minWriteInterval(std::uint32_t shards, double writeShare)
{
    using Seconds = std::chrono::duration<double>;
    return std::chrono::ceil<Duration>(Seconds(shards / writeShare));
}

/** @return Longest renewal interval that leaves time for one attempt to time out and a second one to succeed before the lease ends. */
Duration maxRenewInterval(const ShardLogSettings &log)
{
    constexpr int Attempts = 2;
    return log.leaseTime - Attempts * log.storeTimeLimit;
}

} // namespace

double StoreBudget::writeShare() const
{
    return static_cast<double>(m_settings.writesPerSecond) / m_entries;
}

double StoreBudget::readShare() const
{
    return static_cast<double>(m_settings.readsPerSecond) / m_entries;
}

Duration StoreBudget::commitWindow() const
{
    return std::max(m_log.commitWindow, std::min(minWriteInterval(m_shards, writeShare()), renewInterval()));
}

Duration StoreBudget::renewInterval() const
{
    const Duration wanted = std::max(m_log.renewInterval, minWriteInterval(m_shards, writeShare()));
    return std::min(wanted, std::max(m_log.renewInterval, maxRenewInterval(m_log)));
}

bool StoreBudget::leasesFit() const
{
    return minWriteInterval(m_shards, writeShare()) <= renewInterval();
}

} // namespace Vanillahall
