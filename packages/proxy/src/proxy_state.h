/** Everything that one proxy holds. */
#pragma once

#include "client_session.h"
#include "exchange.h"
#include "message_server.h"
#include "server_link.h"
#include "store_path.h"

#include "vanillahall/core/crash_book_base.h"
#include "vanillahall/core/route_table_base.h"
#include "vanillahall/core/server_book_base.h"
#include "vanillahall/core/token_ledger_base.h"
#include "vanillahall/proxy/proxy_base.h"

#include <map>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

namespace Vanillahall::Forward {

/** State and the parts of a proxy that connect the others. */
class ProxyState : public RequestHandler, public std::enable_shared_from_this<ProxyState>
{
public:
    ProxyState(boost::asio::io_context &loop, ProxySettings settings, ProxyLog log);

    // Commands of the owner.

    bool start(Error &reason);
    void stop(std::function<void()> stopped);
    void shutDown();

    // Events of sessions.

    void requestCame(const std::shared_ptr<ClientSession> &session, ClientRequest request) override;
    void clientGone(const std::shared_ptr<ClientSession> &session) override;
    void sessionDrained(const std::shared_ptr<ClientSession> &session) override;
    void requestFaulty(const RequestFault &fault) override;
    void sessionClosed(const std::shared_ptr<ClientSession> &session) override;
    [[nodiscard]] const ClientLimits &limits() const override;
    bool takesBody(std::size_t oldSize, std::size_t newSize) override;
    [[nodiscard]] bool isStopping() const override;

    // For exchanges.

    /** @return A connection to a server: an idle one that is fresh, or a new one. */
    std::shared_ptr<ServerLink> takeLink(const Server &server);
    /** Writes a token row and tells the exchanges that wait for the program. */
    void writeTokens(const TokenWrite &write);
    /** Puts an exchange among those that wait for a program's tokens. */
    void waitForTokens(const std::string &program, const std::shared_ptr<Exchange> &exchange);
    /** Puts an exchange among those that wait for the store's return. */
    void waitForStore(const std::shared_ptr<Exchange> &exchange);
    /** Counts a broken attempt of a content and shares the count. */
    void contentBroke(std::uint64_t content);
    /** An attempt of a content was answered. */
    void contentWorked(std::uint64_t content);
    /** Forgets an exchange that has ended. */
    void exchangeEnded(const ClientSession &session);
    void log(LogLevel level, EventNumber event, const std::string &fields);

    [[nodiscard]] bool isReady() const;
    /** @return Age of the list of servers. */
    [[nodiscard]] Duration listAge() const;
    /** @return True if the store has answered a moment ago. */
    [[nodiscard]] bool isStoreNear() const;

    boost::asio::io_context &loop;
    ProxySettings settings;
    RouteTable routes;
    ServerBook book;
    TokenLedger ledger;
    CrashBook crashes;
    Metrics metrics;
    MemberBook members;
    StorePath store;
    boost::asio::ip::tcp::acceptor clientAcceptor;
    MessageServer readyServer;
    MessageServer metricsServer;
    MessageServer peerServer;

private:
    void acceptClients();
    void answerStatus(const MessageRequest &request, const MessageServer::Reply &answer);
    void setGauges();
    void answerPeer(const MessageRequest &request, const MessageServer::Reply &answer);
    void beat();
    void readCrashes(const std::string &after, std::vector<CrashCount> list);
    void crashesCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<CrashCount> list);
    void removeCrashes(const std::vector<std::uint64_t> &contents);
    /** Makes a call whose answer doesn't matter but for a failure. */
    void callStore(const Platform::StoreRequest &request);
    void membersCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Member> list);
    void readMembers(const std::string &after, std::vector<Member> list);
    void poll();
    void pollAgain();
    void configCame(const std::optional<StoreReply> &reply, const Error &reason);
    void readServers(const std::string &after, std::vector<Server> list);
    void serversCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Server> list);
    void takeServers(const std::vector<Server> &list);
    void storeAnswered();
    void storeFailed(const std::string &message);
    void rowFaulty(const Error &reason, std::uint64_t version);
    void tokensWritten(const TokenWrite &write, const std::optional<StoreReply> &reply, const Error &reason);
    void removeOldRows();
    void sweepTokens();
    void tokensRead(const std::optional<StoreReply> &reply, const Error &reason);
    void removeTokens(const std::vector<TokenWrite> &rows);
    [[nodiscard]] std::uint64_t storeNowMs() const;
    void stopStep();
    void linkReleased(const std::shared_ptr<ServerLink> &link, bool isReusable);

    ProxyLog m_log;
    boost::asio::steady_timer m_pollTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_acceptTimer;
    std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> m_sessions;
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<std::string, std::vector<std::shared_ptr<ServerLink>>> m_idleLinks;
    std::unordered_map<std::string, std::vector<std::weak_ptr<Exchange>>> m_tokenWaiters;
    std::vector<std::weak_ptr<Exchange>> m_storeWaiters;
    std::map<std::string, std::uint64_t> m_faultyRows;
    std::uint64_t m_nextSession = 1;
    std::size_t m_heldBytes = 0;
    std::optional<TimePoint> m_serversAt;
    std::optional<TimePoint> m_storeAt;
    TimePoint m_stopAt{};
    TimePoint m_cleanAt{};
    TimePoint m_beatAt{};
    TimePoint m_storeClockAt{};
    std::uint64_t m_storeClockMs = 0;
    std::uint64_t m_sweptPart = 0;
    TimePoint m_crashesAt{};
    std::function<void()> m_stopped;
    unsigned m_openPolls = 0;
    bool m_isStopping = false;
    bool m_isShutDown = false;
    bool m_isStoreAway = false;
};

} // namespace Vanillahall::Forward
