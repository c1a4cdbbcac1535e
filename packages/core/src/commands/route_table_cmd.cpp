#include "vanillahall/core/route_table_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

bool RouteTable::apply(Config config)
{
    if (m_isLoaded && config.version <= m_config.version) {
        return false;
    }
    m_config = std::move(config);
    m_isLoaded = true;
    m_byHost.clear();
    for (std::size_t n = 0; n < m_config.routes.size(); n++) {
        m_byHost[m_config.routes[n].host].push_back(n);
    }
    for (auto &[host, positions] : m_byHost) {
        std::sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
            return m_config.routes[a].prefix.size() > m_config.routes[b].prefix.size();
        });
    }
    return true;
}

} // namespace Vanillahall::Forward
