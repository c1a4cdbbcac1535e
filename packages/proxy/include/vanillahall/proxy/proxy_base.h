/** HTTP proxy that balances clients' requests over backend servers and forwards the responses. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/metrics_base.h"
#include "vanillahall/proxy/proxy_type.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Vanillahall::Forward {

class ProxyState;

/** A proxy that runs on one event loop. */
class Proxy
{
public:
    /**
     * @param loop Event loop that runs all handlers; must outlive the proxy.
     * @param log Receives each log line.
     */
    Proxy(boost::asio::io_context &loop, ProxySettings settings, ProxyLog log);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    // Commands.

    /** Starts to listen and to read the store. @return False if an address can't be bound; `reason` is set then. */
    bool start(Error &reason);
    /** Starts a graceful stop: reports not ready, completes the requests in progress, then calls `stopped`. */
    void stop(std::function<void()> stopped);
    /** Changes the parameters of a planned stop, also of one that has begun. */
    void setStopSettings(const StopSettings &settings);
    /** Sets how servers are chosen. */
    void setPlacement(Placement placement);
    /** Switches to a store at another address. */
    void setStore(const ProxyAddress &store);

    // Queries.

    /** @return Port that accepts clients. */
    [[nodiscard]] std::uint16_t port() const;
    /** @return Port that serves the readiness check. */
    [[nodiscard]] std::uint16_t readyPort() const;
    /** @return Port for operators. @pre The settings name an address. */
    [[nodiscard]] std::uint16_t operatorPort() const;
    /** @return True if the proxy has its configuration and server list and isn't stopping. */
    [[nodiscard]] bool isReady() const;
    /** @return Number of open client connections. */
    [[nodiscard]] std::size_t clientCount() const;
    /** @return Counters and histograms. */
    [[nodiscard]] const Metrics &metrics() const;

private:
    std::shared_ptr<ProxyState> m_state;
};

} // namespace Vanillahall::Forward
