#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

namespace {

constexpr Duration LogInterval
    = std::chrono::seconds(10);                ///< Interval between log lines about closed clients; the metrics count all of them.
constexpr std::size_t MaxLoggedRefusals = 100; ///< Limit on log lines about refused requests in one interval.
constexpr Duration ReliefInterval
    = std::chrono::milliseconds(20); ///< If nothing more can be released, the connections are searched again only after this time.
constexpr std::size_t SmallBodyDivisor = 1024; ///< Bodies of up to 1/1024 of their share (17 KB at 88 MB) are accepted although large ones
                                               ///< use it up, as long as the total allows.
constexpr std::size_t BodyRoomDivisor = 8; ///< An eighth of the limit is made free at once, so that clients aren't sorted for each read.

} // namespace

const std::shared_ptr<ClientAccount> &ProxyState::account() const
{
    return clientAccount;
}

void ProxyState::addClient(boost::asio::ip::tcp::socket socket)
{
    // A request that runs after its client has left holds a connection to its server.
    const std::size_t clients = m_sessions.size() + m_detached.size();
    if (clients >= settings.maxClients) {
        // A refused client stays connected until it has read the refusal, so there may be one more than the limit.
        const std::size_t needed = clients - settings.maxClients + 1;
        const auto closed = selectForConnections(closableClients(), needed);
        evictClients(closed, "connections");
        if (closed.size() < needed) {
            rejectClient();
            return;
        }
    }
    const auto session = std::make_shared<ClientSession>(std::move(socket), *this, m_nextSession++);
    m_sessions[session->number()] = session;
    session->start();
}

void ProxyState::onAcceptFailure(const std::string &message)
{
    metrics.count("vanillahall_clients_turned_away_total", {"reason", "accept"});
    evictClients(selectForConnections(closableClients(), 1), "connections");
    if (!m_acceptFailureLoggedAt || now() - *m_acceptFailureLoggedAt > LogInterval) {
        m_acceptFailureLoggedAt = now();
        log(LogLevel::Warning, EventNumber::DependencyLost, "peer=clients why=\"accept: " + message + '"');
    }
}

void ProxyState::rejectClient()
{
    metrics.count("vanillahall_clients_turned_away_total", {"reason", "connections"});
    if (m_rejectionLoggedAt && now() - *m_rejectionLoggedAt < LogInterval) {
        return;
    }
    m_rejectionLoggedAt = now();
    log(LogLevel::Warning,
        EventNumber::DependencyLost,
        "peer=clients why=\"" + std::to_string(m_sessions.size()) + " open connections, further ones are closed\"");
}

std::vector<ClosableClient> ProxyState::closableClients() const
{
    std::vector<ClosableClient> clients;
    for (const auto &[number, session] : m_sessions) {
        if (const auto state = session->closableState()) {
            clients.push_back(*state);
        }
    }
    return clients;
}

std::vector<ClosableClient> ProxyState::refusableClients() const
{
    auto clients = closableClients();
    for (const auto &[number, exchange] : m_exchanges) {
        const auto session = m_sessions.find(number);
        if (session == m_sessions.end()) {
            continue;
        }
        const auto state = exchange->canBeRefused() ? session->second->waitingState() : session->second->unreadState();
        if (state) {
            clients.push_back(*state);
        }
    }
    return clients;
}

void ProxyState::evictClients(const std::vector<std::uint64_t> &sessions, const char *reason)
{
    m_isEvicting = true;
    for (const auto number : sessions) {
        const auto it = m_sessions.find(number);
        if (it != m_sessions.end()) {
            const auto session = it->second;
            const auto waiting = m_exchanges.find(number);
            if (waiting != m_exchanges.end() && waiting->second->canBeRefused()) {
                const auto exchange = waiting->second;
                exchange->refuseForMemory();
            } else {
                session->evict();
            }
            m_evictions++;
            metrics.count("vanillahall_clients_closed_total", {"reason", reason});
        }
    }
    m_isEvicting = false;
    if (sessions.empty() || (m_evictionLoggedAt && now() - *m_evictionLoggedAt < LogInterval)) {
        return;
    }
    m_evictionLoggedAt = now();
    log(LogLevel::Warning,
        EventNumber::ClientsClosed,
        "reason=" + std::string(reason) + " clients=" + std::to_string(std::exchange(m_evictions, 0))
            + " open=" + std::to_string(m_sessions.size()) + " bytes_held=" + std::to_string(clientAccount->total()));
}

void ProxyState::onMemoryHeld()
{
    if (m_isEvicting || !clientAccount->isOver() || now() < m_nextReliefAt) {
        return;
    }
    evictClients(selectForMemory(refusableClients(), clientAccount->excess(), now()), "memory");
    if (clientAccount->isOver()) {
        m_nextReliefAt = now() + ReliefInterval;
    }
}

bool ProxyState::reserveBodyBytes(std::size_t oldSize, std::size_t newSize)
{
    if (newSize > oldSize) {
        const std::size_t added = newSize - oldSize;
        const bool isWithinShare = clientAccount->bytes(Holding::Body) + added <= settings.maxBufferedBytes;
        if ((!isWithinShare && newSize > settings.maxBufferedBytes / SmallBodyDivisor) || !clientAccount->fits(added)) {
            return false;
        }
    }
    clientAccount->change(Holding::Body, oldSize, newSize);
    return true;
}

void ProxyState::makeRoomForBody(std::size_t bytes)
{
    if (!m_isEvicting) {
        evictClients(selectForMemory(refusableClients(), bytes + settings.maxBufferedBytes / BodyRoomDivisor, now()), "bodies");
    }
}

void ProxyState::onRequestError(const RequestError &error)
{
    metrics.count("vanillahall_faulty_requests_total", {"status", std::to_string(error.status)});
    if (now() - m_refusalPeriodAt > LogInterval) {
        m_refusalPeriodAt = now();
        m_loggedRefusals = 0;
    }
    if (m_loggedRefusals++ < MaxLoggedRefusals) {
        log(LogLevel::Warning, EventNumber::RequestRefused, "status=" + std::to_string(error.status) + " why=\"" + error.message + '"');
    }
}

void ProxyState::setClientGauges()
{
    const auto closed = readinessServer.closedConnections() + metricsServer.closedConnections() + peerServer.closedConnections()
        + operatorListener.closedConnections();
    metrics.gauge("vanillahall_listener_connections_closed", static_cast<double>(closed));
    for (std::size_t n = 0; n < HoldingCount; n++) {
        metrics.gauge("vanillahall_client_" + std::string(HoldingNames.at(n)) + "_bytes_held",
                      static_cast<double>(clientAccount->bytes(static_cast<Holding>(n))));
    }
}

} // namespace Vanillahall::Forward
