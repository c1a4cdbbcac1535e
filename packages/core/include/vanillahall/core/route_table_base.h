/** Routes of the current configuration. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string_view>

namespace Vanillahall::Forward {

/** Maps requests to routes. An older configuration never replaces a newer one. */
class RouteTable
{
public:
    // Commands.

    /**
     * Applies a configuration.
     * @return False if it isn't newer than the current one; it is ignored then.
     */
    bool apply(Config config);

    // Queries.

    /** @return True if a configuration was applied. */
    [[nodiscard]] bool isLoaded() const;
    /** @return Current configuration. */
    [[nodiscard]] const Config &config() const;
    /**
     * Finds the route with the longest prefix.
     * @param host Value of the Host header; case and port don't matter.
     * @param path Path of the request, without query.
     * @return The route, or null. Valid until the next apply().
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

private:
    Config m_config;
    bool m_isLoaded = false;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Indexes of routes by host, longest prefix first.
};

/**
 * Splits requests by the weights of a route's targets.
 * @param route The route.
 * @param key Requests with the same key go to the same service while the weights stay.
 * @return Name of the service, or nothing if no target has weight.
 */
std::optional<std::string> pickService(const Route &route, std::string_view key);

} // namespace Vanillahall::Forward
