#include "vanillahall/core/route_table_base.h"

#include <xxhash.h>

namespace Vanillahall::Forward {

bool RouteTable::isLoaded() const
{
    return m_isLoaded;
}

const Config &RouteTable::config() const
{
    return m_config;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    std::string name(host.substr(0, host.find(':')));
    for (auto &c : name) {
        c = (c >= 'A' && c <= 'Z') ? static_cast<char>(c - 'A' + 'a') : c;
    }
    const auto it = m_byHost.find(name);
    if (it == m_byHost.end()) {
        return nullptr;
    }
    for (const auto n : it->second) {
        const auto &route = m_config.routes[n];
        if (path.substr(0, route.prefix.size()) == route.prefix) {
            return &route;
        }
    }
    return nullptr;
}

std::optional<std::string> pickService(const Route &route, std::string_view key)
{
    std::uint64_t sum = 0;
    for (const auto &it : route.targets) {
        sum += it.weight;
    }
    if (sum == 0) {
        return std::nullopt;
    }
    std::uint64_t point = XXH3_64bits(key.data(), key.size()) % sum;
    for (const auto &it : route.targets) {
        if (point < it.weight) {
            return it.service;
        }
        point -= it.weight;
    }
    return std::nullopt;
}

} // namespace Vanillahall::Forward
