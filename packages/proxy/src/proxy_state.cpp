#include "proxy_state.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

using boost::asio::ip::tcp;

constexpr Duration TakeTime
    = std::chrono::milliseconds(3500); ///< After a stop began: two missed questions for readiness and a connection under way.
constexpr Duration AcceptPause = std::chrono::milliseconds(50); ///< After a connection couldn't be taken, as when no descriptor is free.
constexpr Duration StopStep = std::chrono::milliseconds(50);    ///< Between two looks whether a stop is complete.
constexpr std::size_t MaxIdleLinks = 6;                         ///< Idle connections kept to one server.
constexpr Duration FullLogInterval = std::chrono::seconds(10); ///< Between two lines about clients turned away; the metric counts them all.

/** @return Name of this run of this VM's process; marks what it writes to the store. */
std::string processName(const ProxySettings &settings)
{
    return settings.name + "/" + settings.incarnation;
}

} // namespace

ProxyState::ProxyState(boost::asio::io_context &ioLoop, ProxySettings proxySettings, ProxyLog log)
    : loop(ioLoop)
    , settings(std::move(proxySettings))
    , servers(settings.zone, settings.choice)
    , ledger(processName(settings), settings.zone)
    , turns(settings.maxTurnBytes)
    , members(settings.name)
    , store(ioLoop, settings.store, members)
    , clientAcceptor(ioLoop)
    , readyServer(ioLoop,
                  [this](const MessageRequest &request, const MessageServer::Reply &answer) {
                      answerStatus(request, answer);
                  })
    , metricsServer(ioLoop,
                    [this](const MessageRequest &request, const MessageServer::Reply &answer) {
                        answerStatus(request, answer);
                    })
    , peerServer(ioLoop,
                 [this](const MessageRequest &request, const MessageServer::Reply &answer) {
                     answerPeer(request, answer);
                 })
    , m_process(processName(settings))
    , m_log(std::move(log))
    , m_lookTimer(ioLoop)
    , m_lapseTimer(ioLoop)
    , m_stopTimer(ioLoop)
    , m_acceptTimer(ioLoop)
{
}

void ProxyState::log(LogLevel level, EventNumber event, const std::string &fields)
{
    m_log(level, event, fields);
}

bool ProxyState::start(Error &reason)
{
    if (!openAcceptor(clientAcceptor, settings.listen, reason) || !readyServer.listen(settings.readyListen, reason)) {
        return false;
    }
    if (settings.metricsListen && !metricsServer.listen(*settings.metricsListen, reason)) {
        return false;
    }
    if (settings.peerListen && !peerServer.listen(*settings.peerListen, reason)) {
        return false;
    }
    m_sweptPart = std::hash<std::string>()(settings.name);
    m_sweptTurnPart = m_sweptPart;
    acceptClients();
    watchTables();
    runPeriodicTasks();
    return true;
}

void ProxyState::acceptClients()
{
    clientAcceptor.async_accept([self = shared_from_this()](const boost::system::error_code &ec, tcp::socket socket) {
        if (!self->clientAcceptor.is_open()) {
            return;
        }
        if (!ec) {
            self->takeClient(std::move(socket));
            self->acceptClients();
            return;
        }
        self->log(LogLevel::Warning, EventNumber::DependencyLost, "peer=clients why=\"accept: " + ec.message() + '"');
        runAfter(self->m_acceptTimer, AcceptPause, *self, [](ProxyState &proxy) {
            proxy.acceptClients();
        });
    });
}

void ProxyState::takeClient(tcp::socket socket)
{
    if (m_sessions.size() >= settings.maxClients) {
        turnAwayClient();
        return;
    }
    const auto session = std::make_shared<ClientSession>(std::move(socket), *this, m_nextSession++);
    m_sessions[session->number()] = session;
    session->start();
}

void ProxyState::turnAwayClient()
{
    metrics.count("vanillahall_clients_turned_away_total", {"reason", "connections"});
    if (m_fullLoggedAt && now() - *m_fullLoggedAt < FullLogInterval) {
        return;
    }
    m_fullLoggedAt = now();
    log(LogLevel::Warning,
        EventNumber::DependencyLost,
        "peer=clients why=\"" + std::to_string(m_sessions.size()) + " connections, further ones are closed\"");
}

void ProxyState::onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest request)
{
    const auto exchange = std::make_shared<Exchange>(*this, session, std::move(request));
    m_exchanges[session->number()] = exchange;
    exchange->start();
}

void ProxyState::onClientDisconnected(const std::shared_ptr<ClientSession> &session)
{
    const auto it = m_exchanges.find(session->number());
    if (it != m_exchanges.end()) {
        const auto exchange = it->second;
        exchange->onClientDisconnected();
    }
}

void ProxyState::onSessionDrained(const std::shared_ptr<ClientSession> &session)
{
    const auto it = m_exchanges.find(session->number());
    if (it != m_exchanges.end()) {
        const auto exchange = it->second;
        exchange->drained();
    }
}

void ProxyState::onRequestError(const RequestError &error)
{
    log(LogLevel::Warning, EventNumber::RequestRefused, "status=" + std::to_string(error.status) + " why=\"" + error.message + '"');
    metrics.count("vanillahall_faulty_requests_total", {"status", std::to_string(error.status)});
}

void ProxyState::onSessionClosed(const std::shared_ptr<ClientSession> &session)
{
    m_sessions.erase(session->number());
}

void ProxyState::exchangeEnded(const ClientSession &session)
{
    m_exchanges.erase(session.number());
}

const ClientLimits &ProxyState::limits() const
{
    return routes.config().limits;
}

bool ProxyState::takesBody(std::size_t oldSize, std::size_t newSize)
{
    if (newSize > oldSize && m_heldBytes + newSize - oldSize > settings.maxBufferedBytes) {
        return false;
    }
    m_heldBytes = m_heldBytes + newSize - oldSize;
    return true;
}

bool ProxyState::isStopping() const
{
    return m_isStopping;
}

bool ProxyState::isReady() const
{
    return routes.isLoaded() && m_serversAt.has_value() && !m_isStopping;
}

std::size_t ProxyState::clientCount() const
{
    return m_sessions.size();
}

Duration ProxyState::listAge() const
{
    return m_serversAt ? now() - *m_serversAt : Duration::zero();
}

std::shared_ptr<ServerConnection> ProxyState::popIdleConnection(const std::string &server)
{
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end()) {
        return nullptr;
    }
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (it->second.empty()) {
        m_idleConnections.erase(it);
    }
    return connection;
}

std::shared_ptr<ServerConnection> ProxyState::takeConnection(const Server &server, ConnectionChoice choice)
{
    while (auto connection = choice == ConnectionChoice::New ? nullptr : popIdleConnection(server.id)) {
        if (connection->isFresh(now()) && connection->server().address == server.address && connection->server().port == server.port) {
            return connection;
        }
        connection->abandon();
    }
    metrics.count("vanillahall_server_connections_total", {"service", server.service});
    return std::make_shared<ServerConnection>(
        loop, server, [weak = weak_from_this()](const std::shared_ptr<ServerConnection> &connection, bool isReusable) {
            if (const auto self = weak.lock()) {
                self->onConnectionReleased(connection, isReusable);
            }
        });
}

void ProxyState::onConnectionReleased(const std::shared_ptr<ServerConnection> &connection, bool isReusable)
{
    if (!isReusable) {
        const auto it = m_idleConnections.find(connection->server().id);
        if (it != m_idleConnections.end() && std::erase(it->second, connection) != 0 && it->second.empty()) {
            m_idleConnections.erase(it);
        }
        return;
    }
    auto &idle = m_idleConnections[connection->server().id];
    idle.push_back(connection);
    if (idle.size() > MaxIdleLinks || m_isShutDown) {
        const auto oldest = idle.front();
        oldest->abandon();
    }
}

void ProxyState::setGauges()
{
    metrics.gauge("vanillahall_client_connections", static_cast<double>(m_sessions.size()));
    metrics.gauge("vanillahall_requests_open", static_cast<double>(m_exchanges.size()));
    metrics.gauge("vanillahall_body_bytes_held", static_cast<double>(m_heldBytes));
    metrics.gauge("vanillahall_servers_known", static_cast<double>(servers.size()));
    metrics.gauge("vanillahall_server_list_age_seconds", std::chrono::duration<double>(listAge()).count());
    metrics.gauge("vanillahall_config_version", static_cast<double>(routes.config().version));
    metrics.gauge("vanillahall_programs_with_reservation", static_cast<double>(ledger.size()));
    metrics.gauge("vanillahall_turn_cache_bytes", static_cast<double>(turns.bytes()));
    metrics.gauge("vanillahall_proxies_known", members.count(now()));
    metrics.gauge("vanillahall_store_reachable_directly", store.isDirectAway() ? 0 : 1);
}

void ProxyState::answerStatus(const MessageRequest &request, const MessageServer::Reply &answer)
{
    if (request.target == Platform::ReadinessPath) {
        answer({isReady() ? StatusOk : StatusUnavailable, {}, {}});
    } else if (request.target == "/metrics") {
        setGauges();
        answer({StatusOk, "text/plain; version=0.0.4", metrics.text()});
    } else {
        answer({StatusNotFound, {}, {}});
    }
}

void ProxyState::answerPeer(const MessageRequest &request, const MessageServer::Reply &answer)
{
    const Platform::StoreRequest wanted{request.method, request.target, request.body};
    if (!Platform::isRelayableCall(wanted)) {
        answer({StatusNotFound, {}, {}});
        return;
    }
    if (!isStoreNear()) {
        answer({StatusUnavailable, {}, {}});
        return;
    }
    metrics.count("vanillahall_store_calls_for_peers_total", {"call", request.method});
    store.callFor(wanted, StoreLimit, [answer, weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        if (!reply && self) {
            self->storeFailed(reason.message);
        }
        answer(reply ? MessageReply{reply->status, "application/json", reply->body} : MessageReply{StatusGatewayTimeout, {}, {}});
    });
}

void ProxyState::stop(std::function<void()> stopped)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_stopped = std::move(stopped);
    m_stopAt = now();
    stopStep();
}

void ProxyState::stopStep()
{
    const auto age = now() - m_stopAt;
    const bool takesClients = age < TakeTime;
    if (!takesClients && clientAcceptor.is_open()) {
        boost::system::error_code ec;
        clientAcceptor.close(ec);
        const auto sessions = m_sessions;
        for (const auto &[number, session] : sessions) {
            session->closeIdle();
        }
    }
    const bool isIdle = std::none_of(m_sessions.begin(), m_sessions.end(), [](const auto &it) {
        return it.second->isBusy();
    });
    if ((!takesClients && isIdle && m_exchanges.empty()) || age > settings.stopLimit) {
        shutDown();
        if (m_stopped) {
            m_stopped();
        }
        return;
    }
    runAfter(m_stopTimer, StopStep, *this, [](ProxyState &self) {
        self.stopStep();
    });
}

void ProxyState::shutDown()
{
    m_isShutDown = true;
    boost::system::error_code ec;
    clientAcceptor.close(ec);
    readyServer.close();
    metricsServer.close();
    peerServer.close();
    for (const auto &it : {m_configWatcher, m_serverWatcher}) {
        if (it) {
            it->stop();
        }
    }
    stopTimer(m_lookTimer);
    stopTimer(m_lapseTimer);
    stopTimer(m_stopTimer);
    stopTimer(m_acceptTimer);
}

} // namespace Vanillahall::Forward
