#include "proxy_state.h"

#include "proxy_clock.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

#include <boost/asio/write.hpp>

namespace Vanillahall::Forward {

namespace {

using boost::asio::ip::tcp;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;
constexpr Duration StoreLimit = std::chrono::milliseconds(900);   ///< Wait for an answer of the store; slow ones take 400 ms.
constexpr Duration StoreNear = std::chrono::milliseconds(1500);   ///< Three polls without an answer mean that the store is away.
constexpr Duration PollWhenAway = std::chrono::milliseconds(150); ///< Between reads while the store is away; requests wait for its return.
constexpr Duration ListAway = std::chrono::milliseconds(2500);    ///< A list older than this may have lapsed entries.
constexpr Duration TakeTime
    = std::chrono::milliseconds(3500); ///< After a stop began: two missed questions for readiness and a connection under way.
constexpr Duration AcceptPause = std::chrono::milliseconds(50); ///< After a connection couldn't be taken, as when no descriptor is free.
constexpr Duration StopStep = std::chrono::milliseconds(50);    ///< Between two looks whether a stop is complete.
constexpr Duration CrashRead
    = std::chrono::seconds(2); ///< Between reads of shared counts; a content may be refused everywhere 3 s after it broke the third server.
constexpr Duration CleanInterval = std::chrono::seconds(5); ///< Between two looks for rows of programs that have ended.
constexpr Duration KeepTokens = std::chrono::seconds(150);  ///< A program may come back for a minute after its last turn.
constexpr std::size_t MaxRemoved = 100;                     ///< Rows of one transaction.
constexpr std::size_t MaxIdleLinks = 6;                     ///< Idle connections kept to one server.
constexpr std::size_t MaxFaultyRows = 200;                  ///< Faulty rows remembered so that each is logged once.

} // namespace

ProxyState::ProxyState(boost::asio::io_context &ioLoop, ProxySettings proxySettings, ProxyLog log)
    : loop(ioLoop)
    , settings(std::move(proxySettings))
    , book(settings.zone, settings.choice)
    , ledger(settings.name + "/" + settings.incarnation)
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
    , m_log(std::move(log))
    , m_pollTimer(ioLoop)
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
    acceptClients();
    poll();
    return true;
}

void ProxyState::acceptClients()
{
    clientAcceptor.async_accept([self = shared_from_this()](const boost::system::error_code &ec, tcp::socket socket) {
        if (!self->clientAcceptor.is_open()) {
            return;
        }
        if (!ec && self->m_sessions.size() < self->settings.maxClients) {
            const auto session = std::make_shared<ClientSession>(std::move(socket), *self, self->m_nextSession++);
            self->m_sessions[session->number()] = session;
            session->start();
        }
        if (!ec) {
            self->acceptClients();
            return;
        }
        self->log(LogLevel::Warning, EventNumber::DependencyLost, "peer=clients why=\"accept: " + ec.message() + '"');
        self->m_acceptTimer.expires_after(AcceptPause);
        self->m_acceptTimer.async_wait([self](const boost::system::error_code &error) {
            if (!error && self->clientAcceptor.is_open()) {
                self->acceptClients();
            }
        });
    });
}

void ProxyState::requestCame(const std::shared_ptr<ClientSession> &session, ClientRequest request)
{
    const auto exchange = std::make_shared<Exchange>(*this, session, std::move(request));
    m_exchanges[session->number()] = exchange;
    exchange->start();
}

void ProxyState::clientGone(const std::shared_ptr<ClientSession> &session)
{
    const auto it = m_exchanges.find(session->number());
    if (it != m_exchanges.end()) {
        const auto exchange = it->second;
        exchange->clientGone();
    }
}

void ProxyState::sessionDrained(const std::shared_ptr<ClientSession> &session)
{
    const auto it = m_exchanges.find(session->number());
    if (it != m_exchanges.end()) {
        const auto exchange = it->second;
        exchange->drained();
    }
}

void ProxyState::requestFaulty(const RequestFault &fault)
{
    log(LogLevel::Warning, EventNumber::RequestRefused, "status=" + std::to_string(fault.status) + " why=\"" + fault.message + '"');
    metrics.count("vanillahall_faulty_requests_total", {"status", std::to_string(fault.status)});
}

void ProxyState::sessionClosed(const std::shared_ptr<ClientSession> &session)
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

Duration ProxyState::listAge() const
{
    return m_serversAt ? now() - *m_serversAt : Duration::zero();
}

bool ProxyState::isStoreNear() const
{
    return m_storeAt && now() - *m_storeAt < StoreNear;
}

std::shared_ptr<ServerLink> ProxyState::takeLink(const Server &server)
{
    auto &idle = m_idleLinks[server.id];
    while (!idle.empty()) {
        auto link = idle.back();
        idle.pop_back();
        if (link->isFresh(now()) && link->server().address == server.address && link->server().port == server.port) {
            return link;
        }
        link->abandon();
    }
    metrics.count("vanillahall_server_connections_total", {"service", server.service});
    return std::make_shared<ServerLink>(loop, server, [weak = weak_from_this()](const std::shared_ptr<ServerLink> &link, bool isReusable) {
        if (const auto self = weak.lock()) {
            self->linkReleased(link, isReusable);
        }
    });
}

void ProxyState::linkReleased(const std::shared_ptr<ServerLink> &link, bool isReusable)
{
    auto &idle = m_idleLinks[link->server().id];
    if (!isReusable) {
        idle.erase(std::remove(idle.begin(), idle.end(), link), idle.end());
        return;
    }
    idle.push_back(link);
    if (idle.size() > MaxIdleLinks || m_isShutDown) {
        const auto oldest = idle.front();
        oldest->abandon();
    }
}

void ProxyState::poll()
{
    if (m_isShutDown) {
        return;
    }
    m_openPolls = 2;
    beat();
    if (now() >= m_crashesAt) {
        m_crashesAt = now() + CrashRead;
        readCrashes({}, {});
    }
    store.call(Platform::readConfigCall(), StoreLimit, true, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        if (const auto self = weak.lock()) {
            self->configCame(reply, reason);
        }
    });
    readServers({}, {});
}

void ProxyState::pollAgain()
{
    if (--m_openPolls != 0 || m_isShutDown) {
        return;
    }
    removeOldRows();
    m_pollTimer.expires_after(isStoreNear() ? settings.pollInterval : std::min(settings.pollInterval, PollWhenAway));
    m_pollTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->poll();
        }
    });
}

void ProxyState::storeAnswered()
{
    m_storeAt = now();
    if (std::exchange(m_isStoreAway, false)) {
        log(LogLevel::Info, EventNumber::StoreBack, "peer=store");
    }
    for (const auto &it : std::exchange(m_storeWaiters, {})) {
        if (const auto exchange = it.lock()) {
            exchange->tokensChanged(false);
        }
    }
}

void ProxyState::storeFailed(const std::string &message)
{
    metrics.count("vanillahall_store_failures_total", {"call", "any"});
    if (!isStoreNear() && !std::exchange(m_isStoreAway, true)) {
        log(LogLevel::Warning, EventNumber::StoreAway, "peer=store why=\"" + message + '"');
    }
}

void ProxyState::rowFaulty(const Error &reason, std::uint64_t version)
{
    auto &known = m_faultyRows[reason.peer];
    if (known == version) {
        return;
    }
    known = version;
    if (m_faultyRows.size() > MaxFaultyRows) {
        m_faultyRows.clear();
    }
    log(LogLevel::Warning, EventNumber::ConfigRefused, "peer=" + reason.peer + " why=\"" + reason.message + '"');
}

void ProxyState::configCame(const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(reply ? "status " + std::to_string(reply->status) : ec.message);
        pollAgain();
        return;
    }
    storeAnswered();
    for (const auto &it : rows->rows) {
        if (it.key != "config") {
            continue;
        }
        auto config = Platform::decodeConfig(it.value, ec);
        if (!config) {
            rowFaulty(ec, it.version);
            continue;
        }
        const auto version = config->version;
        if (routes.apply(std::move(*config))) {
            log(LogLevel::Info,
                EventNumber::ConfigInForce,
                "config=" + std::to_string(version) + " routes=" + std::to_string(routes.config().routes.size()));
        }
    }
    pollAgain();
}

void ProxyState::readServers(const std::string &after, std::vector<Server> list)
{
    store.call(Platform::readServersCall(after),
               StoreLimit,
               true,
               [weak = weak_from_this(), list = std::move(list)](const auto &reply, const Error &reason) mutable {
                   if (const auto self = weak.lock()) {
                       self->serversCame(reply, reason, std::move(list));
                   }
               });
}

void ProxyState::serversCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Server> list)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(reply ? "status " + std::to_string(reply->status) : ec.message);
        pollAgain();
        return;
    }
    storeAnswered();
    for (const auto &it : rows->rows) {
        auto server = Platform::decodeServer(it.key, it.value, ec);
        if (server) {
            list.push_back(std::move(*server));
        } else {
            rowFaulty(ec, it.version);
        }
    }
    if (rows->hasMore && !rows->rows.empty()) {
        readServers(rows->rows.back().key, std::move(list));
        return;
    }
    takeServers(list);
    pollAgain();
}

void ProxyState::takeServers(const std::vector<Server> &list)
{
    const auto present = now();
    const bool wasAway = m_serversAt && present - *m_serversAt > ListAway;
    for (const auto &it : book.update(list, wasAway, present)) {
        const auto listed = std::find_if(list.begin(), list.end(), [&it](const Server &server) {
            return server.id == it;
        });
        const char *state = listed == list.end() ? "gone" : (listed->isDraining ? "draining" : "ready");
        log(LogLevel::Info,
            EventNumber::ServerChanged,
            "server=" + it + " state=" + state + (listed == list.end() ? "" : " service=" + listed->service + " zone=" + listed->zone));
    }
    m_serversAt = present;
}

void ProxyState::waitForTokens(const std::string &program, const std::shared_ptr<Exchange> &exchange)
{
    m_tokenWaiters[program].push_back(exchange);
}

void ProxyState::waitForStore(const std::shared_ptr<Exchange> &exchange)
{
    m_storeWaiters.push_back(exchange);
}

void ProxyState::writeTokens(const TokenWrite &write)
{
    metrics.count("vanillahall_token_writes_total", {"kind", "reserve"});
    store.call(
        Platform::writeTokensCall(write), StoreLimit, false, [weak = weak_from_this(), write](const auto &reply, const Error &reason) {
            if (const auto self = weak.lock()) {
                self->tokensWritten(write, reply, reason);
            }
        });
}

void ProxyState::tokensWritten(const TokenWrite &write, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    bool isStoreAway = false;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    if (!answer) {
        ledger.notWritten(write.program);
        storeFailed(ec.message);
        isStoreAway = true;
    } else if (const auto *done = std::get_if<Platform::TransactionDone>(&*answer)) {
        storeAnswered();
        ledger.written(write.program, done->version);
    } else {
        storeAnswered();
        TokenRow row;
        for (const auto &it : std::get<Platform::TransactionRefused>(*answer).rows) {
            const auto decoded = it.key == write.program ? Platform::decodeTokens(it, ec) : std::nullopt;
            row = decoded.value_or(row);
        }
        ledger.changed(write.program, row);
    }
    const auto waiters = std::move(m_tokenWaiters[write.program]);
    m_tokenWaiters.erase(write.program);
    for (const auto &it : waiters) {
        if (const auto exchange = it.lock()) {
            exchange->tokensChanged(isStoreAway);
        }
    }
}

void ProxyState::removeOldRows()
{
    const auto present = now();
    if (present < m_cleanAt) {
        return;
    }
    m_cleanAt = present + CleanInterval;
    removeCrashes(crashes.forget(present));
    std::map<std::string, std::vector<TokenWrite>> byPart;
    for (auto &it : ledger.forget(present - KeepTokens)) {
        auto &rows = byPart[Platform::tokenPart(it.program)];
        if (rows.size() < MaxRemoved) {
            rows.push_back(std::move(it));
        }
    }
    for (const auto &[part, rows] : byPart) {
        callStore(Platform::removeTokensCall(rows));
    }
}

void ProxyState::setGauges()
{
    metrics.gauge("vanillahall_client_connections", static_cast<double>(m_sessions.size()));
    metrics.gauge("vanillahall_requests_open", static_cast<double>(m_exchanges.size()));
    metrics.gauge("vanillahall_body_bytes_held", static_cast<double>(m_heldBytes));
    metrics.gauge("vanillahall_servers_known", static_cast<double>(book.size()));
    metrics.gauge("vanillahall_server_list_age_seconds", std::chrono::duration<double>(listAge()).count());
    metrics.gauge("vanillahall_config_version", static_cast<double>(routes.config().version));
    metrics.gauge("vanillahall_programs_with_reservation", static_cast<double>(ledger.size()));
    metrics.gauge("vanillahall_proxies_known", members.count(now()));
    metrics.gauge("vanillahall_store_reachable_directly", store.isDirectAway() ? 0 : 1);
}

void ProxyState::answerStatus(const MessageRequest &request, const MessageServer::Reply &answer)
{
    constexpr unsigned StatusNotFound = 404;
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
    constexpr unsigned StatusNotFound = 404;
    constexpr unsigned StatusGatewayTimeout = 504;
    const Platform::StoreRequest wanted{request.method, request.target, request.body};
    if (!Platform::isStoreCall(wanted)) {
        answer({StatusNotFound, {}, {}});
        return;
    }
    if (!isStoreNear()) {
        answer({StatusUnavailable, {}, {}});
        return;
    }
    metrics.count("vanillahall_store_calls_for_peers_total", {"call", request.method});
    store.callFor(wanted, StoreLimit, [answer](const auto &reply, const Error &) {
        answer(reply ? MessageReply{reply->status, "application/json", reply->body} : MessageReply{StatusGatewayTimeout, {}, {}});
    });
}

void ProxyState::beat()
{
    const auto present = now();
    if (!settings.peerListen || present < m_beatAt) {
        return;
    }
    m_beatAt = present + MemberBeat;
    const Member self{settings.name, settings.peerListen->address, peerServer.port(), 0};
    callStore(Platform::writeMemberCall(settings.region, self));
    readMembers({}, {});
}

void ProxyState::callStore(const Platform::StoreRequest &request)
{
    store.call(request, StoreLimit, false, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto proxy = weak.lock();
        if (proxy && !reply) {
            proxy->storeFailed(reason.message);
        }
    });
}

void ProxyState::contentBroke(std::uint64_t content)
{
    const bool wasRefused = crashes.isRefused(content);
    callStore(Platform::writeCrashCall(settings.name, crashes.broke(content, now())));
    if (!wasRefused && crashes.isRefused(content)) {
        log(LogLevel::Warning, EventNumber::ContentQuarantined, "content=" + std::to_string(content));
    }
}

void ProxyState::contentWorked(std::uint64_t content)
{
    if (crashes.worked(content)) {
        removeCrashes({content});
    }
}

void ProxyState::removeCrashes(const std::vector<std::uint64_t> &contents)
{
    if (!contents.empty()) {
        callStore(Platform::removeCrashesCall(settings.name, contents));
    }
}

void ProxyState::readCrashes(const std::string &after, std::vector<CrashCount> list)
{
    store.call(Platform::readCrashesCall(after),
               StoreLimit,
               false,
               [weak = weak_from_this(), list = std::move(list)](const auto &reply, const Error &reason) mutable {
                   if (const auto proxy = weak.lock()) {
                       proxy->crashesCame(reply, reason, std::move(list));
                   }
               });
}

void ProxyState::crashesCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<CrashCount> list)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(ec.message);
        return;
    }
    for (const auto &it : rows->rows) {
        std::string writer;
        const auto count = Platform::decodeCrash(it, writer, ec);
        if (!count) {
            rowFaulty(ec, it.version);
        } else if (writer != settings.name) {
            list.push_back(*count);
        }
    }
    if (rows->hasMore && !rows->rows.empty()) {
        readCrashes(rows->rows.back().key, std::move(list));
        return;
    }
    crashes.share(list);
}

void ProxyState::readMembers(const std::string &after, std::vector<Member> list)
{
    store.call(Platform::readMembersCall(settings.region, after),
               StoreLimit,
               false,
               [weak = weak_from_this(), list = std::move(list)](const auto &reply, const Error &reason) mutable {
                   if (const auto proxy = weak.lock()) {
                       proxy->membersCame(reply, reason, std::move(list));
                   }
               });
}

void ProxyState::membersCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Member> list)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(ec.message);
        return;
    }
    for (const auto &it : rows->rows) {
        if (auto member = Platform::decodeMember(it, ec)) {
            list.push_back(std::move(*member));
        } else {
            rowFaulty(ec, it.version);
        }
    }
    if (rows->hasMore && !rows->rows.empty()) {
        readMembers(rows->rows.back().key, std::move(list));
        return;
    }
    members.update(list, now());
    book.setEntries(members.count(now()));
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
    m_stopTimer.expires_after(StopStep);
    m_stopTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->stopStep();
        }
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
    m_pollTimer.cancel();
    m_stopTimer.cancel();
    m_acceptTimer.cancel();
}

} // namespace Vanillahall::Forward
