/** Everything that one proxy holds. */
#pragma once

#include "client_session.h"
#include "exchange.h"
#include "message_server.h"
#include "server_connection.h"
#include "store_router.h"
#include "table_watcher.h"

#include "vanillahall/core/crash_tracker_base.h"
#include "vanillahall/core/route_table_base.h"
#include "vanillahall/core/server_registry_base.h"
#include "vanillahall/core/token_ledger_base.h"
#include "vanillahall/core/turn_cache_base.h"
#include "vanillahall/platform/wire_turn_func.h"
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

    void onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest request) override;
    void onClientDisconnected(const std::shared_ptr<ClientSession> &session) override;
    void onSessionDrained(const std::shared_ptr<ClientSession> &session) override;
    void onRequestError(const RequestError &error) override;
    void onSessionClosed(const std::shared_ptr<ClientSession> &session) override;
    [[nodiscard]] const ClientLimits &limits() const override;
    bool takesBody(std::size_t oldSize, std::size_t newSize) override;
    [[nodiscard]] bool isStopping() const override;

    // For exchanges.

    /** @return A connection to a server: an idle one that is fresh, if allowed, or a new one. */
    std::shared_ptr<ServerConnection> takeConnection(const Server &server, ConnectionChoice choice);
    /** Writes a token row and tells the exchanges that wait for the program. */
    void writeTokens(const TokenWrite &write);
    /** Reads a program's token row and tells the exchanges that wait for the program. */
    void readTokens(const std::string &program);
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

    // For what follows tables of the store.

    using ReadCall = std::function<Platform::StoreRequest(const std::string &after)>; ///< The call for the rows after a key.
    using RowsHandler
        = std::function<void(const std::optional<Platform::StoreRows> &rows)>; ///< Gets all rows, or nothing without an answer.

    /** Reads a table part by part. @param isProbe True to try the direct way to the store first. */
    void readAll(ReadCall call, bool isProbe, RowsHandler done);
    /** The store answered. @param nowMs Its clock, in milliseconds. */
    void storeTold(std::uint64_t nowMs);
    /** The store failed a call. */
    void storeFailed(const std::string &message);
    /** Makes a call whose answer doesn't matter but for a failure. @param name For the log. */
    void callStore(const Platform::StoreRequest &request, const char *name);
    /** @return The store's clock as estimated here, in milliseconds. */
    [[nodiscard]] std::uint64_t storeNowMs() const;

    [[nodiscard]] bool isReady() const;
    /** @return Number of clients' connections. */
    [[nodiscard]] std::size_t clientCount() const;
    /** @return Age of the list of servers. */
    [[nodiscard]] Duration listAge() const;
    /** @return True if the store has answered a moment ago. */
    [[nodiscard]] bool isStoreNear() const;

    boost::asio::io_context &loop;
    ProxySettings settings;
    RouteTable routes;
    ServerRegistry servers;
    TokenLedger ledger;
    TurnCache turns;
    CrashTracker crashes;
    Metrics metrics;
    ProxyMembership members;
    StoreRouter store;
    boost::asio::ip::tcp::acceptor clientAcceptor;
    MessageServer readyServer;
    MessageServer metricsServer;
    MessageServer peerServer;

private:
    /** Rows that are read part by part. */
    struct RowReading
    {
        ReadCall call;            ///< The call for the next part.
        bool isProbe;             ///< True to try the direct way to the store first.
        RowsHandler done;         ///< Gets the rows.
        Platform::StoreRows rows; ///< Rows so far.
    };

    void readPart(const std::shared_ptr<RowReading> &reading, const std::string &after);
    void partCame(const std::shared_ptr<RowReading> &reading, const std::optional<StoreReply> &reply, const Error &reason);
    void takeConfig(const TableReplica &table);
    void takeServerRows(const TableReplica &table);
    void takeMembers(const std::optional<Platform::StoreRows> &rows);
    void readCrashes();
    void acceptClients();
    /** @return An idle connection to a server, or null. */
    std::shared_ptr<ServerConnection> popIdleConnection(const std::string &server);
    void turnAwayClient();
    void takeClient(boost::asio::ip::tcp::socket socket);
    void answerStatus(const MessageRequest &request, const MessageServer::Reply &answer);
    void setGauges();
    void answerPeer(const MessageRequest &request, const MessageServer::Reply &answer);
    void beat();
    void takeCrashes(const Platform::StoreRows &rows);
    void removeCrashRecords(const std::vector<CrashRecord> &records);
    /** @return True if it is this proxy's turn to remove rows that every proxy sees; it comes round once for each proxy that lives. */
    bool takeCleaningTurn();
    void removeMarkRows(const std::vector<std::string> &keys);
    void watchTables();
    /** Does what is due from time to time. */
    void runPeriodicTasks();
    /** The list of servers is up to date. */
    void takeServers();
    /** Brings the book in line with the list. @param wasListUnavailable True if the list couldn't be read for a while. */
    void updateServers(bool wasListUnavailable);
    void storeAnswered();
    void rowFaulty(const Error &reason, std::uint64_t version);
    /** What became of a write of a token row. */
    enum class TokenOutcome {
        Written, ///< Done.
        Changed, ///< Another proxy wrote first; the row is known now.
        Failed,  ///< No answer, or a row that can't be read.
    };

    TokenOutcome takeTokenAnswer(const TokenWrite &write, const Platform::TransactionAnswer &answer);
    void logTokens(const TokenWrite &write, TokenOutcome outcome, const std::string &why);
    void tokensRead(const std::string &program, const std::optional<StoreReply> &reply, const Error &reason);
    /** Tells the exchanges that wait for a program's tokens to ask again. */
    void wakeTokenWaiters(const std::string &program, bool hasFailed);
    void tokensWritten(const TokenWrite &write, const std::optional<StoreReply> &reply, const Error &reason);
    void removeOldRows();
    void sweepTurns();
    void removeExpiredTurns(std::uint64_t part, std::vector<Platform::ExpiredTurn> turns);
    void onExpiredTurnsRemoved(std::uint64_t part,
                               std::vector<Platform::ExpiredTurn> turns,
                               std::size_t asked,
                               const Platform::TransactionAnswer &answer);
    void sweepTokens();
    void removeTokens(const std::vector<TokenWrite> &rows);
    void stopStep();
    void onConnectionReleased(const std::shared_ptr<ServerConnection> &connection, bool isReusable);

    std::string m_process;                                                        ///< Name of this run of the process.
    ProxyLog m_log;                                                               ///< Takes log lines.
    boost::asio::steady_timer m_lookTimer;                                        ///< Before the next look at what is due.
    boost::asio::steady_timer m_lapseTimer;                                       ///< Until lapsed servers are given up.
    boost::asio::steady_timer m_stopTimer;                                        ///< Between two looks at a stop.
    boost::asio::steady_timer m_acceptTimer;                                      ///< After a failed accept.
    std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> m_sessions; ///< Connections of clients.
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> m_exchanges;     ///< Requests under way, by session.
    std::unordered_map<std::string, std::vector<std::shared_ptr<ServerConnection>>>
        m_idleConnections; ///< Idle connections, by server; none is empty.
    std::unordered_map<std::string, std::vector<std::weak_ptr<Exchange>>>
        m_tokenWaiters;                                  ///< Requests that wait for a token write, by program.
    std::vector<std::weak_ptr<Exchange>> m_storeWaiters; ///< Requests that wait for the store's return.
    std::map<std::string, std::uint64_t> m_faultyRows;   ///< Version of each faulty row that was logged.
    std::uint64_t m_nextSession = 1;                     ///< Number of the next session.
    std::size_t m_heldBytes = 0;                         ///< Bytes of bodies held.
    std::optional<TimePoint> m_serversAt;                ///< When the list of servers was last read.
    std::optional<TimePoint> m_storeAt;                  ///< When the store last answered.
    TimePoint m_storeFailedAt{};                         ///< When it last failed a call.
    TimePoint m_stopAt{};                                ///< When the stop began.
    TimePoint m_cleanAt{};                               ///< When old rows are next removed.
    TimePoint m_beatAt{};                                ///< When the next sign of life is due.
    TimePoint m_storeClockAt{};                          ///< When the store's clock was read.
    std::uint64_t m_storeClockMs = 0;                    ///< The store's clock at that time.
    std::uint64_t m_sweptPart = 0;                       ///< Part of the token table that is swept next.
    std::uint64_t m_sweptTurnPart = 0;                   ///< Part of the turns' rows that is swept next.
    TimePoint m_turnSweepAt{};                           ///< When it is.
    TimePoint m_crashesAt{};                             ///< When shared marks are next read.
    std::uint64_t m_cleanings = 0;                       ///< Times that rows of processes that are gone were found.
    std::function<void()> m_stopped;                     ///< Told when the stop is complete.
    std::shared_ptr<TableWatcher> m_configWatcher;       ///< Follows the operators' configuration.
    std::shared_ptr<TableWatcher> m_serverWatcher;       ///< Follows the list of servers.
    std::vector<Server> m_serverList;                    ///< The list as last read.
    std::optional<TimePoint> m_fullLoggedAt;             ///< When a line last said that clients are turned away.
    bool m_isStopping = false;                           ///< True after stop().
    bool m_isShutDown = false;                           ///< True after shutDown().
    bool m_isStoreAway = false;                          ///< True from event 1501 to 1502.
};

} // namespace Vanillahall::Forward
