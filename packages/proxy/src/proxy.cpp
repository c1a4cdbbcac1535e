#include "vanillahall/proxy/proxy_base.h"

#include "proxy_state.h"

namespace Vanillahall::Forward {

Proxy::Proxy(boost::asio::io_context &loop, ProxySettings settings, ProxyLog log)
    : m_state(std::make_shared<ProxyState>(loop, std::move(settings), std::move(log)))
{
}

Proxy::~Proxy()
{
    m_state->shutDown();
}

bool Proxy::start(Error &reason)
{
    return m_state->start(reason);
}

void Proxy::stop(std::function<void()> stopped)
{
    m_state->stop(std::move(stopped));
}

void Proxy::setPlacement(Placement placement)
{
    m_state->servers.setPlacement(placement);
}

void Proxy::setStopSettings(const StopSettings &settings)
{
    m_state->plannedStop.setSettings(settings);
}

void Proxy::setStore(const ProxyAddress &store)
{
    m_state->store.setStore(store);
}

std::uint16_t Proxy::port() const
{
    return m_state->clientAcceptor.local_endpoint().port();
}

std::uint16_t Proxy::readyPort() const
{
    return m_state->readinessServer.port();
}

std::uint16_t Proxy::operatorPort() const
{
    return m_state->operatorListener.port();
}

bool Proxy::isReady() const
{
    return m_state->isReady();
}

std::size_t Proxy::clientCount() const
{
    return m_state->clientCount();
}

const Metrics &Proxy::metrics() const
{
    return m_state->metrics;
}

} // namespace Vanillahall::Forward
