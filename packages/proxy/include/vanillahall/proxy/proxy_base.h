/** The proxy: takes clients' requests, chooses a backend server for each, and passes the answers back. */
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

/** One proxy on one loop. */
class Proxy
{
public:
    /**
     * @param loop Loop that runs everything; outlives the proxy.
     * @param log Takes each log line.
     */
    Proxy(boost::asio::io_context &loop, ProxySettings settings, ProxyLog log);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    // Commands.

    /** Starts to listen and to read the store. @return False if an address can't be had; then `reason` says why. */
    bool start(Error &reason);
    /** Begins a planned stop: not ready, answers what was read, then calls back. */
    void stop(std::function<void()> stopped);
    /** Reads the store at another address from now on. */
    void setStore(const ProxyAddress &store);

    // Queries.

    /** @return Port on which clients are taken. */
    [[nodiscard]] std::uint16_t port() const;
    /** @return Port on which readiness is answered. */
    [[nodiscard]] std::uint16_t readyPort() const;
    /** @return True if new connections are welcome. */
    [[nodiscard]] bool isReady() const;
    /** @return Number of clients' connections. */
    [[nodiscard]] std::size_t clientCount() const;
    /** @return Counters and histograms. */
    [[nodiscard]] const Metrics &metrics() const;

private:
    std::shared_ptr<ProxyState> m_state;
};

} // namespace Vanillahall::Forward
