#include "proxy_clock.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

void ProxyState::applyConfig(const TableReplica &table)
{
    for (const auto &[key, row] : table.rows()) {
        // The table is also read whole every few seconds; decoding thousands of keys each time would cost small VMs too much.
        if (!Platform::isConfigRow(row) || row.version == m_readConfigRow) {
            continue;
        }
        m_readConfigRow = row.version;
        Error ec;
        auto config = Platform::decodeConfig(row.value, ec);
        m_hasUnreadableConfig = !config;
        if (!config) {
            reportInvalidRow(ec, row.version);
            continue;
        }
        const auto version = config->version;
        if (routes.apply(std::move(*config))) {
            customers.apply(routes.config());
            applyLimits();
            std::string line = "config=" + std::to_string(version) + " routes=" + std::to_string(routes.config().routes.size());
            if (customers.hasCustomers()) {
                line += " customers=" + std::to_string(routes.config().customers.size()) + " keys=" + std::to_string(customers.keyCount());
            }
            log(LogLevel::Info, EventNumber::ConfigInForce, line);
        }
    }
}

void ProxyState::onConfigConfirmed()
{
    m_configConfirmedAt = now();
    if (!m_hasUnreadableConfig) {
        m_isConfigUncertain = false;
    }
}

ConfigStanding ProxyState::configStanding() const
{
    return {m_configConfirmedAt ? now() - *m_configConfirmedAt : Duration::max(), m_hasUnreadableConfig};
}

void ProxyState::logUncertainConfig()
{
    if (std::exchange(m_isConfigUncertain, true)) {
        return;
    }
    const auto standing = configStanding();
    log(LogLevel::Warning,
        EventNumber::ConfigUncertain,
        "config=" + std::to_string(routes.config().version)
            + " confirmed_ms_ago=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(standing.confirmedAgo).count())
            + " why=" + (standing.hasUnreadableVersion ? "newer_version_refused" : "store_silent"));
}

std::string ProxyState::clientId(const std::string &key) const
{
    return customers.hasCustomers() ? std::string(idOfKey(key)) : key;
}

} // namespace Vanillahall::Forward
