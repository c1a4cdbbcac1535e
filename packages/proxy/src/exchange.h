/** One client's request on its way through the proxy. */
#pragma once

#include "client_session.h"
#include "event_splitter.h"
#include "server_link.h"

#include "vanillahall/core/attempt_rule_func.h"
#include "vanillahall/core/forward_outcome_type.h"
#include "vanillahall/core/server_book_base.h"

#include <set>

namespace Vanillahall::Forward {

class ProxyState;

/** Time to come back when nothing can take the request now: a turn's length. */
inline constexpr Duration BackSoon = std::chrono::milliseconds(250);

/** Finds a server for the request, sends it, and passes the answer back. */
class Exchange : public LinkUser, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ProxyState &proxy, const std::shared_ptr<ClientSession> &session, ClientRequest request);

    // Commands.

    /** Begins. */
    void start();
    /** The tokens of the program may be available now. @param isStoreAway True if the store didn't do the last write. */
    void tokensChanged(bool isStoreAway);
    /** The client has left. */
    void clientGone();
    /** The client takes more bytes. */
    void drained();

    // Events of the connection to the server.

    bool linkHead(const AnswerHead &head) override;
    bool linkBody(std::string_view piece) override;
    void linkDone() override;
    void linkFailed(const LinkFailure &failure) override;

private:
    void askTokens();
    void setTokenTimer(Duration span);
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
    void passEvents(const WholeEvents &events);
    void finishAnswer();
    void timeOut();
    void breakOff(Outcome outcome);
    void noteMuteServer();
    void end(unsigned status, Outcome outcome);
    void settleTokens();
    [[nodiscard]] Duration left() const;
    [[nodiscard]] bool isLastTry() const;

    ProxyState &m_proxy;
    std::shared_ptr<ClientSession> m_session;
    ClientRequest m_request;
    Route m_route;
    std::string m_service;
    std::uint32_t m_maxConnections = 0;
    std::uint32_t m_tokensPerEvent = 1;
    boost::asio::steady_timer m_limitTimer;
    boost::asio::steady_timer m_waitTimer;
    TimePoint m_limitAt{};
    std::optional<TimePoint> m_placedAt;
    std::optional<TimePoint> m_firstByteAt;
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_content = 0;
    std::uint64_t m_tokensHeld = 0;
    std::uint64_t m_eventsOut = 0;
    std::uint32_t m_attemptEvents = 0;
    TimePoint m_attemptAt{};
    TimePoint m_attemptFirstAt{};
    std::optional<std::uint64_t> m_lastEvent;
    std::shared_ptr<ServerLink> m_link;
    std::set<std::string> m_avoided;
    Choice m_choice;
    AttemptFailure m_failure = AttemptFailure::Broken;
    std::string m_failureText;
    unsigned m_refusalStatus = 0;
    std::uint32_t m_tries = 0;
    std::uint32_t m_mayHaveRun = 0;
    AnswerHead m_head;
    std::string m_held;
    EventSplitter m_events;
    std::string m_servers;
    bool m_isStreaming = false;
    bool m_hasBegunAnswer = false;
    bool m_hadFirstEvent = false;
    bool m_isRefusal = false;
    bool m_isEnded = false;
    bool m_isClientGone = false;
    bool m_waitsForTokens = false;
};

} // namespace Vanillahall::Forward
