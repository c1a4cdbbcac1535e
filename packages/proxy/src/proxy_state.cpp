#include "proxy_state.h"

#include "http_status.h"
#include "placement_gauges_func.h"
#include "proxy_clock.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_header_func.h"
#include "vanillahall/platform/wire_permit_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

using boost::asio::ip::tcp;

constexpr Duration AcceptRetryDelay
    = std::chrono::milliseconds(50); ///< Delay after a failed accept, for example if no file descriptor is free.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50); ///< Interval between checks whether a stop is complete.
constexpr std::uint64_t CrashHoldSteps = 60;                          ///< Proxies try refused requests again at that many different times.
constexpr Duration MaxCrashReadWait
    = std::chrono::seconds(3);                ///< A proxy reports ready without the crash records if it can't read them for this time.
constexpr std::size_t MaxIdleConnections = 6; ///< Limit on idle connections to one server.

constexpr MessageLimits StatusLimits{16, 1024, 4096}; ///< Readiness checks and metrics have no body.
constexpr MessageLimits PeerLimits{
    512, std::size_t{2} * 1024 * 1024, std::size_t{4} * 1024 * 1024}; ///< Calls of other proxies; the store accepts calls of at most 1 MB.

/** @return Name of this incarnation of the process; identifies its rows in the store. */
std::string processName(const ProxySettings &settings)
{
    return settings.name + "/" + settings.incarnation;
}

} // namespace

ProxyState::ProxyState(boost::asio::io_context &ioLoop, ProxySettings proxySettings, ProxyLog log)
    : loop(ioLoop)
    , settings(std::move(proxySettings))
    , clientAccount(std::make_shared<ClientAccount>(settings.maxClientBytes))
    , serverRequestBytes(settings.maxServerBytes)
    , customers(settings.customers)
    , servers(settings.zone, settings.choice)
    , ledger(processName(settings), settings.zone, settings.outageBudgetPercent)
    , quotas(settings.name, settings.incarnation, settings.quota)
    , grantor(settings.name, settings.quota)
    , permits(settings.name, quotas, grantor)
    , turns(settings.maxTurnBytes)
    , members(settings.name)
    , overload(ioLoop)
    , plannedStop(settings.stop)
    , store(ioLoop, settings.store, members)
    , outage(*this)
    , versions(*this)
    , clientAcceptor(ioLoop)
    , readinessServer(
          ioLoop,
          [this](const MessageRequest &request, const MessageServer::Reply &answer) {
              answerStatus(request, answer);
          },
          StatusLimits)
    , metricsServer(
          ioLoop,
          [this](const MessageRequest &request, const MessageServer::Reply &answer) {
              answerStatus(request, answer);
          },
          StatusLimits)
    , peerServer(
          ioLoop,
          [this](const MessageRequest &request, const MessageServer::Reply &answer) {
              answerPeer(request, answer);
          },
          PeerLimits)
    , operatorListener(*this)
    , m_processName(processName(settings))
    , m_log(std::move(log))
    , m_periodicTimer(ioLoop)
    , m_expiryTimer(ioLoop)
    , m_stopTimer(ioLoop)
    , m_acceptTimer(ioLoop)
    , m_watchTimer(ioLoop)
    , m_usageTimer(ioLoop)
{
}

ProxyState::~ProxyState()
{
    // Sessions and connections are kept by their pending operations, whose handlers would call this object.
    m_exchanges.clear();
    for (const auto &[number, session] : std::exchange(m_sessions, {})) {
        session->close();
    }
    for (const auto &[server, connections] : std::exchange(m_idleConnections, {})) {
        for (const auto &it : connections) {
            it->abandon();
        }
    }
}

void ProxyState::log(LogLevel level, EventNumber event, const std::string &fields)
{
    m_log(level, event, fields);
}

bool ProxyState::start(Error &reason)
{
    const auto step = std::hash<std::string>()(m_processName) % CrashHoldSteps;
    crashes.setHold(MinCrashHold + (CrashRecordLifetime - MinCrashHold) * static_cast<std::int64_t>(step) / CrashHoldSteps);
    if (!openAcceptor(clientAcceptor, settings.listen, reason) || !readinessServer.listen(settings.readyListen, reason)) {
        return false;
    }
    if (settings.metricsListen && !metricsServer.listen(*settings.metricsListen, reason)) {
        return false;
    }
    if (settings.peerListen && !peerServer.listen(*settings.peerListen, reason)) {
        return false;
    }
    if (!operatorListener.listen(reason)) {
        return false;
    }
    m_nextTokenPart = std::hash<std::string>()(settings.name);
    m_nextTurnPart = m_nextTokenPart;
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
            self->addClient(std::move(socket));
            self->acceptClients();
            return;
        }
        self->onAcceptFailure(ec.message());
        runAfter(self->m_acceptTimer, AcceptRetryDelay, *self, [](ProxyState &proxy) {
            proxy.acceptClients();
        });
    });
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
        exchange->onClientDrained();
    }
}

void ProxyState::onSessionClosed(const std::shared_ptr<ClientSession> &session)
{
    m_sessions.erase(session->number());
    if (m_exchanges.contains(session->number())) {
        m_detached.insert(session->number());
    }
}

void ProxyState::removeExchange(const ClientSession &session)
{
    m_exchanges.erase(session.number());
    m_detached.erase(session.number());
}

const ClientLimits &ProxyState::limits() const
{
    return routes.config().limits;
}

bool ProxyState::isStopping() const
{
    return plannedStop.hasBegun();
}

bool ProxyState::keepsConnections() const
{
    return plannedStop.acceptsConnections(now());
}

bool ProxyState::isReady() const
{
    // Without the crash records of the other proxies, contents that they refuse would be sent on.
    const bool hasCrashRecords = m_areCrashesRead || (m_serversFirstReadAt && now() - *m_serversFirstReadAt > MaxCrashReadWait);
    return routes.isLoaded() && m_serversReadAt.has_value() && hasCrashRecords && !isStopping();
}

std::size_t ProxyState::clientCount() const
{
    return m_sessions.size();
}

Duration ProxyState::listAge() const
{
    return m_serversReadAt ? now() - *m_serversReadAt : Duration::zero();
}

std::shared_ptr<ServerConnection> ProxyState::popIdleConnection(const std::string &server)
{
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end()) {
        return nullptr;
    }
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    m_idleCount--;
    if (it->second.empty()) {
        m_idleConnections.erase(it);
    }
    return connection;
}

std::shared_ptr<ServerConnection> ProxyState::acquireConnection(const Server &server, ConnectionChoice choice)
{
    while (auto connection = choice == ConnectionChoice::New ? nullptr : popIdleConnection(server.id)) {
        if (connection->isFresh(now()) && connection->server().address == server.address && connection->server().port == server.port) {
            return connection;
        }
        connection->abandon();
    }
    return newConnection(server);
}

std::shared_ptr<ServerConnection> ProxyState::newConnection(const Server &server)
{
    metrics.count("vanillahall_server_connections_total", {"service", server.service});
    return std::make_shared<ServerConnection>(
        loop, server, [weak = weak_from_this()](const std::shared_ptr<ServerConnection> &connection, bool isReusable) {
            if (const auto self = weak.lock()) {
                self->onConnectionReleased(connection, isReusable);
            }
        });
}

void ProxyState::closeIdleConnections(const std::string &server)
{
    while (const auto connection = popIdleConnection(server)) {
        connection->abandon();
    }
}

void ProxyState::onConnectionReleased(const std::shared_ptr<ServerConnection> &connection, bool isReusable)
{
    if (!isReusable) {
        const auto it = m_idleConnections.find(connection->server().id);
        if (it != m_idleConnections.end() && std::erase(it->second, connection) != 0) {
            m_idleCount--;
            if (it->second.empty()) {
                m_idleConnections.erase(it);
            }
        }
        return;
    }
    auto &idle = m_idleConnections[connection->server().id];
    idle.push_back(connection);
    m_idleCount++;
    // Each client has a descriptor for its connection and one for that to a server.
    const bool isCrowded = m_idleCount + m_exchanges.size() > settings.maxClients;
    if (idle.size() > MaxIdleConnections || isCrowded || m_isShutDown) {
        const auto oldest = idle.front();
        oldest->abandon();
    }
}

void ProxyState::setGauges()
{
    metrics.gauge("vanillahall_client_connections", static_cast<double>(m_sessions.size()));
    metrics.gauge("vanillahall_requests_open", static_cast<double>(m_exchanges.size()));
    metrics.gauge("vanillahall_body_bytes_held", static_cast<double>(clientAccount->bytes(Holding::Body)));
    setClientGauges();
    metrics.gauge("vanillahall_servers_known", static_cast<double>(servers.size()));
    metrics.gauge("vanillahall_servers_limited", static_cast<double>(servers.limitedCount()));
    metrics.gauge("vanillahall_servers_leaving", static_cast<double>(servers.leavingCount()));
    setPlacementGauges(metrics, servers, now());
    metrics.gauge("vanillahall_server_list_age_seconds", std::chrono::duration<double>(listAge()).count());
    metrics.gauge("vanillahall_config_version", static_cast<double>(routes.config().version));
    metrics.gauge("vanillahall_customer_keys", static_cast<double>(customers.keyCount()));
    metrics.gauge("vanillahall_config_age_seconds", std::chrono::duration<double>(configStanding().confirmedAgo).count());
    metrics.gauge("vanillahall_programs_with_reservation", static_cast<double>(ledger.size()));
    metrics.gauge("vanillahall_turn_cache_bytes", static_cast<double>(turns.bytes()));
    metrics.gauge("vanillahall_crash_records_unshared", static_cast<double>(crashes.unsharedCount()));
    metrics.gauge("vanillahall_abandoned_attempts", static_cast<double>(abandoned.size()));
    overload.setGauges(*this);
    outage.setGauges();
    metrics.gauge("vanillahall_proxies_known", members.count(now()));
    setQuotaGauges();
    metrics.gauge("vanillahall_store_reachable_directly", store.isDirectRouteDown() ? 0 : 1);
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
    if (request.method == "POST" && request.target == TokenReturnPath) {
        answerTokenReturn(request.body, answer, MaxReturnAttempts);
        return;
    }
    if (request.method == "POST" && request.target == Platform::PermitPath) {
        answerPermitAsk(request.body, answer);
        return;
    }
    if (outage.answerPeer(request, answer)) {
        return;
    }
    const Platform::StoreRequest wanted{request.method, request.target, request.body};
    if (!Platform::isRelayableCall(wanted)) {
        answer({StatusNotFound, {}, {}});
        return;
    }
    if (!isStoreReachable()) {
        answer({StatusUnavailable, {}, {}});
        return;
    }
    metrics.count("vanillahall_store_calls_for_peers_total", {"call", request.method});
    store.callOnce(wanted, StoreTimeout, [answer, weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        if (!reply && self) {
            self->onStoreFailure(reason.message);
        }
        answer(reply ? MessageReply{reply->status, "application/json", reply->body} : MessageReply{StatusGatewayTimeout, {}, {}});
    });
}

void ProxyState::stop(std::function<void()> stopped)
{
    if (isStopping()) {
        return;
    }
    plannedStop.begin(now());
    m_onStopped = std::move(stopped);
    continueStop();
}

void ProxyState::continueStop()
{
    const bool acceptsConnections = plannedStop.acceptsConnections(now());
    if (!acceptsConnections && clientAcceptor.is_open()) {
        boost::system::error_code ec;
        clientAcceptor.close(ec);
        const auto sessions = m_sessions;
        for (const auto &[number, session] : sessions) {
            session->closeIfIdle();
        }
    }
    if (plannedStop.isLimitReached(now()) && !m_areRequestsEnded) {
        endRequests();
    }
    const bool isIdle = std::none_of(m_sessions.begin(), m_sessions.end(), [](const auto &it) {
        return it.second->isBusy();
    });
    returnTokens();
    outage.giveUpAll();
    // Records that the store doesn't have yet, and tokens that aren't given back, would be lost with the process.
    const bool isStored = crashes.unsharedCount() == 0 && !(ledger.holdsTokens() && canReturnTokens()) && outage.isStopped();
    const bool isDone = !acceptsConnections && isIdle && m_exchanges.empty() && isStored;
    if (isDone || plannedStop.isOverdue(now())) {
        shutDown();
        if (m_onStopped) {
            m_onStopped();
        }
        return;
    }
    runAfter(m_stopTimer, StopCheckInterval, *this, [](ProxyState &self) {
        self.continueStop();
    });
}

void ProxyState::endRequests()
{
    m_areRequestsEnded = true;
    const auto exchanges = m_exchanges;
    if (!exchanges.empty()) {
        log(LogLevel::Warning, EventNumber::StopLimitReached, "requests=" + std::to_string(exchanges.size()));
    }
    for (const auto &[session, exchange] : exchanges) {
        exchange->onStopLimit();
    }
}

void ProxyState::shutDown()
{
    m_isShutDown = true;
    boost::system::error_code ec;
    clientAcceptor.close(ec);
    readinessServer.close();
    metricsServer.close();
    peerServer.close();
    operatorListener.close();
    for (const auto &it : {m_configWatcher, m_serverWatcher, m_crashWatcher}) {
        if (it) {
            it->stop();
        }
    }
    stopTimer(m_periodicTimer);
    stopTimer(m_expiryTimer);
    stopTimer(m_stopTimer);
    stopTimer(m_acceptTimer);
    stopTimer(m_watchTimer);
    stopTimer(m_usageTimer);
}

} // namespace Vanillahall::Forward
