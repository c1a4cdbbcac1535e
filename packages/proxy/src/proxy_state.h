/** Internal state of a proxy. */
#pragma once

#include "client_session.h"
#include "exchange.h"
#include "message_server.h"
#include "operator_listener.h"
#include "outage_control.h"
#include "overload_control.h"
#include "server_connection.h"
#include "server_request_bytes.h"
#include "store_router.h"
#include "stream_version_control.h"
#include "table_watcher.h"

#include "vanillahall/core/abandoned_attempts_base.h"
#include "vanillahall/core/crash_tracker_base.h"
#include "vanillahall/core/customer/customer_directory_base.h"
#include "vanillahall/core/customer/customer_permits_base.h"
#include "vanillahall/core/customer/programs_in_progress_base.h"
#include "vanillahall/core/planned_stop_base.h"
#include "vanillahall/core/route_table_base.h"
#include "vanillahall/core/server_registry_base.h"
#include "vanillahall/core/stream_origins_base.h"
#include "vanillahall/core/token_ledger_base.h"
#include "vanillahall/core/turn_cache_base.h"
#include "vanillahall/platform/wire_turn_func.h"
#include "vanillahall/proxy/proxy_base.h"

#include <map>
#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

namespace Vanillahall::Forward {

/** Path at which a proxy gives back the tokens of the program in the body, asked by another proxy. */
inline constexpr std::string_view TokenReturnPath = "/tokens/return";
/** Attempts to give tokens back; the first one is refused if another proxy has written the row since. */
inline constexpr unsigned MaxReturnAttempts = 3;

/** Owns the components of a proxy and connects them. */
class ProxyState : public RequestHandler, public std::enable_shared_from_this<ProxyState>
{
public:
    ProxyState(boost::asio::io_context &loop, ProxySettings settings, ProxyLog log);
    ~ProxyState() override;
    ProxyState(const ProxyState &) = delete;
    ProxyState &operator=(const ProxyState &) = delete;

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
    bool reserveBodyBytes(std::size_t oldSize, std::size_t newSize) override;
    void makeRoomForBody(std::size_t bytes) override;
    [[nodiscard]] const std::shared_ptr<ClientAccount> &account() const override;
    void onMemoryHeld() override;
    [[nodiscard]] bool keepsConnections() const override;
    /** @return True after stop(). */
    [[nodiscard]] bool isStopping() const;

    // For exchanges.

    /** @return A connection to a server: an idle one if allowed and if the server will keep it open, else a new one. */
    std::shared_ptr<ServerConnection> acquireConnection(const Server &server, ConnectionChoice choice);
    /** Closes the idle connections to a server. */
    void closeIdleConnections(const std::string &server);
    /** Writes a token row and notifies the exchanges that wait for the program. */
    void writeTokens(const TokenWrite &write);
    /** Reads a program's token row and notifies the exchanges that wait for the program. */
    void readTokens(const std::string &program);
    /** Asks other proxies to give back the tokens of a program, and notifies the exchanges that wait for it. */
    void requestReturns(const std::string &program, const std::vector<std::string> &holders);
    /** Asks the owner of a program to close its second share, and notifies the exchanges that wait for the program. */
    void closeShare(const std::string &program);
    /** Asks the owner to close the second share of a program whose row was written, before more than the first share is needed. */
    void closeShareEarly(const std::string &program);
    /** Registers an exchange to be notified after the next store call about a program's tokens. */
    void addTokenWaiter(const std::string &program, const std::shared_ptr<Exchange> &exchange);
    /** Registers an exchange to be notified when the store answers again. */
    void addStoreWaiter(const std::shared_ptr<Exchange> &exchange);
    /** Requests a permit for a request of a customer with a rate limit, and asks its grantor if needed. */
    QuotaAnswer requestPermit(const QuotaRequest &request);
    /** Registers an exchange to be notified after the next exchange of reports about rate limits, or answer of the customer's grantor. */
    void addQuotaWaiter(const std::string &customer, const std::shared_ptr<Exchange> &exchange);
    /** Counts and logs a request that was refused because of its customer's rate limit. */
    void recordQuotaRefusal(const std::string &customer, Duration retryAfter);
    /** Records an attempt whose server has ended, and shares the record with the other proxies. */
    void recordCrash(const CrashedAttempt &attempt);
    /**
     * Records an attempt that succeeded, with a response whose end is framed.
     * @param sentAt When the attempt was sent.
     */
    void recordHarmless(const RequestFeatures &features, TimePoint sentAt);
    /**
     * Records an attempt that has ended for the proxy while its server may still run it, and watches the server.
     * @param runsUntil Deadline that the server was given.
     */
    void recordAbandonedAttempt(const Server &server, CrashedAttempt attempt, TimePoint runsUntil);
    /** Handles the result of a connection attempt to a server. */
    void onServerConnect(const std::string &server, ConnectResult result);
    /** Removes the exchange of a session after its end. */
    void removeExchange(const ClientSession &session);
    void log(LogLevel level, EventNumber event, const std::string &fields);
    /** Logs once per incident that requests are refused because the configuration may not be the newest one. */
    void logUncertainConfig();
    /** @return Id as the client sent it, from the key under which something of it is stored. */
    [[nodiscard]] std::string clientId(const std::string &key) const;
    /** @return How well the configuration is known to be the newest one. */
    [[nodiscard]] ConfigStanding configStanding() const;

    // For users of the store.

    /** Returns the call that reads the rows after a key. */
    using ReadCall = std::function<Platform::StoreRequest(const std::string &after)>;
    /** Called with all rows, or with nothing if the store didn't answer. */
    using RowsHandler = std::function<void(const std::optional<Platform::StoreRows> &rows)>;

    /** Reads a table page by page. @param isProbe True to try the direct route to the store first. */
    void readAll(ReadCall call, bool isProbe, RowsHandler done);
    /** Records a reply of the store. @param nowMs Clock of the store, in milliseconds. */
    void onStoreReply(std::uint64_t nowMs);
    /** Records a failed call to the store. @param message Error; also the `reason` label of the failure metric. */
    void onStoreFailure(const std::string &message);
    /** Makes a call whose reply is ignored, except that failures are logged. @param name Name of the call for the log. */
    void callStore(const Platform::StoreRequest &request, const char *name);
    /** Logs a row that can't be decoded, once per version of it. */
    void reportInvalidRow(const Error &reason, std::uint64_t version);
    /** @return Estimated clock of the store, in milliseconds. */
    [[nodiscard]] std::uint64_t storeNowMs() const;

    [[nodiscard]] bool isReady() const;
    /** @return True if admission is restricted and waiting requests are ordered under overload. */
    [[nodiscard]] bool isAdmissionOn() const;
    /** @return Number of open client connections. */
    [[nodiscard]] std::size_t clientCount() const;
    /** @return Age of the server list. */
    [[nodiscard]] Duration listAge() const;
    /** @return True if the store has answered recently. */
    [[nodiscard]] bool isStoreReachable() const;

    boost::asio::io_context &loop;
    ProxySettings settings;
    std::shared_ptr<ClientAccount> clientAccount;
    ServerRequestBytes serverRequestBytes;
    RouteTable routes;
    CustomerDirectory customers;
    ServerRegistry servers;
    TokenLedger ledger;
    QuotaLedger quotas;
    PermitGrantor grantor;
    CustomerPermits permits;
    ProgramsInProgress programs;
    TurnCache turns;
    CrashTracker crashes;
    AbandonedAttempts abandoned;
    StreamOrigins streamOrigins;
    Metrics metrics;
    ProxyMembership members;
    OverloadControl overload;
    PlannedStop plannedStop;
    StoreRouter store;
    OutageControl outage;
    StreamVersionControl versions;
    boost::asio::ip::tcp::acceptor clientAcceptor;
    MessageServer readinessServer;
    MessageServer metricsServer;
    MessageServer peerServer;
    OperatorListener operatorListener;
    /** Reads the rows of all proxies. */
    void readMembers();

private:
    /** State of readAll(). */
    struct PagedRead
    {
        ReadCall call;            ///< Returns the call for the next page.
        bool isProbe;             ///< True to try the direct route to the store first.
        RowsHandler done;         ///< Called with all rows.
        Platform::StoreRows rows; ///< Rows so far.
    };

    void readPage(const std::shared_ptr<PagedRead> &pagedRead, const std::string &after);
    void onPageRead(const std::shared_ptr<PagedRead> &pagedRead, const std::optional<StoreReply> &reply, const Error &reason);
    void applyConfig(const TableReplica &table);
    /** Called whenever the configuration table is known to be up to date. */
    void onConfigConfirmed();
    void applyServerRows(const TableReplica &table);
    /** @param readAt When the read was requested. */
    void applyMembers(const std::optional<Platform::StoreRows> &rows, TimePoint readAt);
    void acceptClients();
    /** @return An idle connection to a server, or null. */
    std::shared_ptr<ServerConnection> popIdleConnection(const std::string &server);
    void rejectClient();
    /** Closes a connection, since usually no descriptor is free. */
    void onAcceptFailure(const std::string &message);
    /** Closes connections, or refuses the requests that are received on them. @param reason Label of the counter, and text of the log. */
    void evictClients(const std::vector<std::uint64_t> &sessions, const char *reason);
    /** @return Sessions that can be closed without breaking off a request in progress. */
    [[nodiscard]] std::vector<ClosableClient> closableClients() const;
    /** @return The same, and sessions whose complete request waits and can be refused as not run. */
    [[nodiscard]] std::vector<ClosableClient> refusableClients() const;
    void addClient(boost::asio::ip::tcp::socket socket);
    void answerStatus(const MessageRequest &request, const MessageServer::Reply &answer);
    void setGauges();
    void setClientGauges();
    void answerPeer(const MessageRequest &request, const MessageServer::Reply &answer);
    void sendHeartbeat();
    void applyCrashes(const TableReplica &table);
    void removeCrashRecords(const std::vector<CrashRecord> &records);
    /** Writes the crash records that wait for it to the store. */
    void shareCrashes();
    void onCrashesShared(std::size_t count, const std::optional<StoreReply> &reply, const Error &reason);
    /** Keeps a connection open to each server with abandoned attempts, so that its end is noticed. */
    void watchServers();
    void openWatch(const Server &server);
    /** Counts the end of servers against the attempts that they may have been running. */
    void recordEndedServers(const std::vector<EndedServer> &ended);
    /** @return A new connection to a server. */
    std::shared_ptr<ServerConnection> newConnection(const Server &server);
    /** Logs the features that are refused from now on. */
    void logQuarantine(const std::vector<AttributedFeature> &refused);
    /**
     * Spreads the removal of expired rows over the proxies, since each of them finds the same rows.
     * @return True if this proxy has to remove them this time; with n proxies that is every nth call.
     */
    bool claimCleaningRound();
    void removeCrashRows(const std::vector<std::string> &keys);
    void watchTables();
    /** Runs the periodic tasks and schedules their next run. */
    void runPeriodicTasks();
    /** Called whenever the server list is known to be up to date. */
    void onServerListCurrent();
    /** Applies the server list to the registry. @param wasUnavailable True if the list couldn't be read for a while before. */
    void updateServers(bool wasUnavailable);
    void onStoreReachable();
    /** Proxies that were asked to give back the tokens of a program. */
    struct ReturnRound
    {
        std::string program;    ///< Program.
        std::size_t holders;    ///< Number of proxies that were asked.
        std::size_t waiting;    ///< Number of proxies that haven't replied yet.
        std::size_t replied{};  ///< Number of proxies that hold no tokens any more.
        std::size_t returned{}; ///< Number of proxies that have given tokens back.
    };

    void onReturnReply(const std::shared_ptr<ReturnRound> &round, const std::optional<StoreReply> &reply);
    /** Outcome of a write of a token row. */
    enum class TokenOutcome {
        Written, ///< The row was written.
        Changed, ///< Another proxy has changed the row before; its new content is known now.
        Failed,  ///< The store didn't answer, or the row is invalid.
    };

    TokenOutcome applyTokenAnswer(const TokenWrite &write, const Platform::TransactionAnswer &answer);
    void logTokens(const TokenWrite &write, TokenOutcome outcome, const std::string &why);
    /** @return True if the store can be called without other attempts of the same call. */
    [[nodiscard]] bool canReturnTokens() const;
    /** Gives back the tokens of a program because another proxy asks for it. */
    void answerTokenReturn(const std::string &program, const MessageServer::Reply &answer, unsigned attempts);
    /** Gives back tokens that are held for programs without turns in progress. */
    void returnTokens();
    void onTokensRead(const std::string &program, const std::optional<StoreReply> &reply, const Error &reason);
    /** Adds an exchange to a list of waiting ones, and removes those that have ended if the list has become long. */
    void addWaiter(std::vector<std::weak_ptr<Exchange>> &waiters, const std::shared_ptr<Exchange> &exchange) const;
    /** Notifies the exchanges that wait for a program's tokens. */
    void notifyTokenWaiters(const std::string &program, bool hasFailed);
    void onTokensWritten(const TokenWrite &write, const std::optional<StoreReply> &reply, const Error &reason);
    /** Applies the limits of the configuration, and starts to exchange reports if there are any. */
    void applyLimits();
    /** Writes this proxy's report about the rate limits of customers and reads those of the others, again and again. */
    void exchangeUsage();
    void onUsageRead(const std::optional<Platform::StoreRows> &rows, TimePoint readAt);
    /** Asks the grantor of a customer for permits. */
    void askGrantor(const std::string &customer, const PermitCall &call);
    /** Handles the grantor's answer, and notifies the exchanges that wait for it. @param why Reason if there is none. */
    void
    onPermitReply(const std::string &customer, const PermitCall &call, const std::optional<PermitAnswer> &answer, const std::string &why);
    /** Answers another proxy that asks for permits. */
    void answerPermitAsk(const std::string &body, const MessageServer::Reply &answer);
    /** Logs an event about a customer's rate limit; at most one line of each kind per customer in some time. */
    void logQuota(LogLevel level, EventNumber event, const std::string &customer, const std::string &fields);
    void setQuotaGauges();
    void removeExpiredRows();
    void sweepTurns();
    void removeExpiredTurns(std::uint64_t part, std::vector<Platform::ExpiredTurn> turns);
    void onExpiredTurnsRemoved(std::uint64_t part,
                               std::vector<Platform::ExpiredTurn> turns,
                               std::size_t count,
                               const Platform::TransactionAnswer &answer);
    void sweepTokens();
    void removeTokens(const std::vector<TokenWrite> &rows);
    void continueStop();
    /** Ends all requests in progress because the limit of the stop is reached. */
    void endRequests();
    void onConnectionReleased(const std::shared_ptr<ServerConnection> &connection, bool isReusable);

    std::string m_processName;                 ///< Name of this incarnation of the process.
    ProxyLog m_log;                            ///< Receives log lines.
    boost::asio::steady_timer m_periodicTimer; ///< Delay before the next runPeriodicTasks().
    boost::asio::steady_timer m_expiryTimer;   ///< Delay before expired servers are removed.
    boost::asio::steady_timer m_stopTimer;     ///< Delay before the next check whether a stop is complete.
    boost::asio::steady_timer m_acceptTimer;   ///< Delay after a failed accept.
    boost::asio::steady_timer m_watchTimer;    ///< Delay before the next watchServers().
    std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> m_sessions; ///< Client connections by id.
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> m_exchanges;     ///< Requests in progress, by id of the session.
    std::unordered_map<std::string, std::vector<std::shared_ptr<ServerConnection>>>
        m_idleConnections;                  ///< Idle connections by server; no entry is empty.
    std::set<std::string> m_openingWatches; ///< Servers to which a connection is being opened by openWatch().
    std::unordered_map<std::string, std::vector<std::weak_ptr<Exchange>>>
        m_tokenWaiters;                                  ///< Exchanges to notify after a token call, by program.
    std::vector<std::weak_ptr<Exchange>> m_storeWaiters; ///< Exchanges to notify when the store answers.
    std::map<std::string, std::uint64_t> m_invalidRows;  ///< Version of each invalid row that was logged last.
    std::uint64_t m_nextSession = 1;                     ///< Id of the next session.
    std::optional<TimePoint> m_serversReadAt;            ///< When the server list was last known to be up to date.
    std::optional<TimePoint> m_serversFirstReadAt;       ///< When the server list was first read.
    std::optional<TimePoint> m_storeAnsweredAt;          ///< When the store last answered.
    std::optional<TimePoint> m_configConfirmedAt;        ///< When the configuration table was last known to be up to date.
    std::uint64_t m_readConfigRow = 0;                   ///< Version of the configuration row that was read last.
    bool m_hasUnreadableConfig = false;                  ///< True if that row was refused.
    bool m_isConfigUncertain = false;                    ///< True once event 1803 is logged, until the configuration is confirmed.
    TimePoint m_storeFailedAt{};                         ///< When a store call last failed.
    TimePoint m_nextCleanAt{};                           ///< When expired rows are removed next.
    TimePoint m_nextHeartbeatAt{};                       ///< When the next heartbeat is sent.
    TimePoint m_storeClockAt{};                          ///< When m_storeClockMs was received.
    std::uint64_t m_storeClockMs = 0;                    ///< Last known clock of the store, in milliseconds; 0 if unknown.
    std::uint64_t m_nextTokenPart = 0;                   ///< Partition of the token table that is swept next.
    std::uint64_t m_nextTurnPart = 0;                    ///< Partition of the turn table that is swept next.
    TimePoint m_nextTurnSweepAt{};                       ///< When the next partition of the turn table is swept.
    std::uint64_t m_cleaningRounds = 0;                  ///< Number of calls of claimCleaningRound().
    std::function<void()> m_onStopped;                   ///< Called when the stop is complete.
    std::shared_ptr<TableWatcher> m_configWatcher;       ///< Watches the configuration table.
    std::shared_ptr<TableWatcher> m_serverWatcher;       ///< Watches the server table.
    std::shared_ptr<TableWatcher> m_crashWatcher;        ///< Watches the crash records of all proxies.
    std::vector<Server> m_serverList;                    ///< Server list as last read.
    std::optional<TimePoint> m_acceptFailureLoggedAt;    ///< When a failed accept was last logged.
    std::optional<TimePoint> m_rejectionLoggedAt;        ///< When rejected clients were last logged.
    TimePoint m_refusalPeriodAt{};                       ///< When the period of MaxLoggedRefusals began.
    std::size_t m_loggedRefusals = 0;                    ///< Refusals logged in this period.
    std::optional<TimePoint> m_evictionLoggedAt;         ///< When closed clients were last logged.
    TimePoint m_nextReliefAt{};                          ///< When connections are next searched for memory to release.
    std::set<std::uint64_t> m_detached;                  ///< Closed sessions whose request still runs at a server.
    std::size_t m_evictions = 0;                         ///< Clients closed since then.
    bool m_isEvicting = false;                           ///< True inside evictClients(); guards against recursion.
    std::size_t m_idleCount = 0;                         ///< Number of connections in m_idleConnections.
    bool m_areCrashesRead = false;                       ///< True once the crash records of the other proxies were read.
    bool m_areRequestsEnded = false;                     ///< True once the limit of a stop has ended the requests in progress.
    bool m_isShutDown = false;                           ///< True after shutDown().
    bool m_isStoreUnavailable = false;                   ///< True between events 1501 (store unavailable) and 1502 (store available again).

    /** When an event about a customer was last logged. */
    struct QuotaLogEntry
    {
        std::optional<TimePoint> loggedAt; ///< When it was last logged.
        std::uint64_t omitted{};           ///< Events since then.
    };

    std::unordered_map<std::string, std::vector<std::weak_ptr<Exchange>>>
        m_permitWaiters;                                                     ///< Exchanges that wait for a permit, by customer.
    boost::asio::steady_timer m_usageTimer;                                  ///< Delay before the next exchangeUsage().
    bool m_isExchangingUsage = false;                                        ///< True once exchangeUsage() was started.
    std::map<std::pair<EventNumber, std::string>, QuotaLogEntry> m_quotaLog; ///< Last log lines about rate limits.
};

} // namespace Vanillahall::Forward
