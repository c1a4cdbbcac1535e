/** One client's request on its way through the proxy. */
#pragma once

#include "client_session.h"
#include "conversation.h"
#include "event_splitter.h"
#include "server_connection.h"

#include "vanillahall/core/forward_outcome_type.h"
#include "vanillahall/core/retry_policy_func.h"
#include "vanillahall/core/server_registry_base.h"

#include <set>

namespace Vanillahall::Forward {

class ProxyState;

/** Finds a server for the request, sends it, and passes the answer back. */
class Exchange : public ServerConnectionListener, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ProxyState &proxy, const std::shared_ptr<ClientSession> &session, ClientRequest request);

    // Commands.

    /** Begins. */
    void start();
    /** What the store has to give may be available now. @param isStoreAway True if the store failed the last call. */
    void storeChanged(bool isStoreAway);
    /** The client has left. */
    void onClientDisconnected();
    /** The client takes more bytes. */
    void drained();

    // Events of the connection to the server.

    bool onResponseHead(const ResponseHead &head) override;
    BodyAction onResponseBody(std::string_view piece) override;
    void onResponseComplete() override;
    void onConnectionFailure(const ServerConnectionFailure &failure) override;

private:
    [[nodiscard]] bool isTurnNameSound() const;
    void askStore();
    void findConversation();
    void conversationFound(const TurnStep &result);
    void askTokens();
    void waitForStore();
    void setStoreTimer(Duration span);
    void place();
    void waitForPlace();
    void send(const Choice &choice);
    [[nodiscard]] std::string requestText(const Server &server) const;
    void attemptFailed(AttemptFailure failure, const std::string &message);
    void endAttempt();
    void answer(unsigned status, std::optional<Duration> retryAfter, Outcome outcome);
    void answerNotRun(Outcome outcome);
    void beginAnswer();
    void passOn(std::string_view bytes);
    [[nodiscard]] BodyAction flow();
    void passEvents(const WholeEvents &events);
    void endAnswer(const std::string &rest);
    void finishAnswer();
    void timeOut();
    void breakOff(Outcome outcome);
    void noteMuteServer();
    void end(unsigned status, Outcome outcome);
    void settleTokens();
    [[nodiscard]] Duration left() const;
    /** @return How much longer the request waits for the store. */
    [[nodiscard]] Duration storePatienceLeft() const;

    ProxyState &m_proxy;                               ///< The proxy; outlives this.
    std::shared_ptr<ClientSession> m_session;          ///< The client's connection.
    ClientRequest m_request;                           ///< The request.
    Route m_route;                                     ///< Its route, as it was at arrival.
    std::string m_service;                             ///< Service that the weights chose.
    std::uint32_t m_maxConnections = 0;                ///< Connections that one server of it takes.
    std::uint32_t m_tokensPerEvent = 1;                ///< Generated tokens in one event.
    boost::asio::steady_timer m_limitTimer;            ///< Ends the request at its limit.
    boost::asio::steady_timer m_waitTimer;             ///< Between two looks for tokens or a server.
    TimePoint m_limitAt{};                             ///< Deadline or time limit, whichever is first.
    std::optional<TimePoint> m_placedAt;               ///< When a server was first chosen.
    std::optional<TimePoint> m_firstByteAt;            ///< When the answer began.
    std::uint64_t m_configVersion = 0;                 ///< Configuration in force at arrival.
    std::uint64_t m_content = 0;                       ///< Hash of path and body.
    std::uint64_t m_tokensHeld = 0;                    ///< Tokens granted and not settled.
    std::uint64_t m_eventsOut = 0;                     ///< Events handed to the client.
    std::uint32_t m_attemptEvents = 0;                 ///< Events of the present attempt.
    TimePoint m_attemptAt{};                           ///< When the present attempt began.
    TimePoint m_attemptFirstAt{};                      ///< When its first event came.
    std::optional<std::uint64_t> m_lastEvent;          ///< Last event handed to the client.
    std::shared_ptr<ServerConnection> m_connection;    ///< Connection of the present attempt.
    std::set<std::string> m_avoided;                   ///< Servers that refused or failed this request.
    Choice m_choice;                                   ///< Server of the present attempt.
    AttemptFailure m_failure = AttemptFailure::Broken; ///< How the attempt counts if its connection ends now.
    std::string m_failureText;                         ///< Why its answer was dropped.
    unsigned m_refusalStatus = 0;                      ///< Status of the server's refusal.
    std::uint32_t m_tries = 0;                         ///< Attempts so far.
    std::uint32_t m_mayHaveRun = 0;                    ///< Attempts that may have run.
    ResponseHead m_head;                               ///< Head of the answer that is passed on.
    std::string m_held;                                ///< Body that is held back until it is whole.
    EventSplitter m_events;                            ///< Cuts the stream into events.
    std::string m_servers;                             ///< Servers asked, for the log.
    bool m_isStreaming = false;                        ///< True if the attempt's answer is a stream.
    bool m_hasBegunAnswer = false;                     ///< True if the head went to the client.
    bool m_hadFirstEvent = false;                      ///< True if the attempt's stream has begun.
    bool m_isRefusal = false;                          ///< True if the server says that it didn't run the request.
    bool m_isEnded = false;                            ///< True after the end.
    bool m_isClientGone = false;                       ///< True if nobody waits for the answer.
    bool m_waitsForStore = false;                      ///< True while tokens or the conversation are asked for.
    bool m_isKeeping = false;                          ///< True while the turn is being kept, before the end of its answer.
    bool m_isTurnTooLong = false;                      ///< True if the answer makes the turn too long to be kept.
    bool m_hasConversation = false;                    ///< True once the conversation before the turn is known.
    bool m_isWhole = false;                            ///< True if the answer went out whole.
    std::size_t m_bytesWithoutEvent = 0;               ///< Bytes since the last event with an id.
    unsigned m_storeFailures = 0;                      ///< Failed calls to the store so far.
    std::size_t m_conversationBytes = 0;               ///< Bytes of earlier turns that are held.
    std::shared_ptr<Conversation> m_conversation;      ///< Earlier turns, on a route that keeps conversations.
};

} // namespace Vanillahall::Forward
