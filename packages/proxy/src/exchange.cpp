#include "exchange.h"

#include "answer_text_func.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/core/urgency_func.h"
#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>
#include <sstream>

namespace Vanillahall::Forward {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusSuccessEnd = 300;
constexpr unsigned StatusPaymentRequired = 402;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

constexpr std::uint32_t PacedEvents = 3;                           ///< Fewer events say little about a server's pace.
constexpr Duration MutePatience = std::chrono::milliseconds(1000); ///< A server that is silent for so long counts as failing.
constexpr std::size_t MaxHeld
    = std::size_t{256} * 1024; ///< Body that is held back until it is whole; longer ones are passed on as they come.
constexpr Duration AnswerMargin = std::chrono::milliseconds(40);    ///< A server's own answer at the deadline may still come.
constexpr Duration PlaceWait = std::chrono::milliseconds(15);       ///< Between two looks for a free server.
constexpr Duration TokenWait = std::chrono::milliseconds(80);       ///< Before a failed write of a token row is made again.
constexpr Duration TokenPatience = std::chrono::milliseconds(1200); ///< Longest wait for a slow store; a third of a usual deadline.
constexpr Duration BackSoon = std::chrono::milliseconds(250);       ///< Time to come back when all servers are full: a turn's length.
constexpr Duration BackLater
    = std::chrono::milliseconds(1300); ///< Time to come back when the store is away; clients use a third of their time at most.
constexpr unsigned ObjectiveShare = 4; ///< A request waits for a place for a quarter of its objective.

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusSuccessEnd;
}

/** @return True for statuses that promise that nothing ran; a server's word for that is needed. */
bool isPromise(unsigned status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests || status == StatusRequestTimeout || status == StatusMisdirected;
}

std::int64_t ms(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

Exchange::Exchange(ProxyState &proxy, const std::shared_ptr<ClientSession> &session, ClientRequest request)
    : m_proxy(proxy)
    , m_session(session)
    , m_request(std::move(request))
    , m_limitTimer(proxy.loop)
    , m_waitTimer(proxy.loop)
{
}

Duration Exchange::left() const
{
    return m_limitAt - now();
}

void Exchange::start()
{
    if (!m_proxy.routes.isLoaded()) {
        answer(StatusUnavailable, BackSoon, Outcome::NoConfiguration);
        return;
    }
    m_configVersion = m_proxy.routes.config().version;
    const std::string_view target = m_request.target;
    const auto *route = m_proxy.routes.find(m_request.host, target.substr(0, target.find('?')));
    if (route == nullptr) {
        answer(StatusNotFound, std::nullopt, Outcome::NoRoute);
        return;
    }
    m_route = *route;
    const auto &facts = m_request.facts;
    m_service = pickService(m_route, facts.program.empty() ? facts.requestId : facts.program).value_or("");
    const auto &services = m_proxy.routes.config().services;
    const auto service = services.find(m_service);
    if (service == services.end()) {
        answer(StatusUnavailable, BackSoon, Outcome::NoService);
        return;
    }
    m_maxConnections = service->second.maxConnections;
    m_tokensPerEvent = service->second.tokensPerEvent;
    m_limitAt = m_request.arrived + std::min(facts.deadline.value_or(m_route.timeLimit), m_route.timeLimit);
    m_limitTimer.expires_after(std::max(Duration::zero(), left() + AnswerMargin));
    m_limitTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isEnded) {
            self->timeOut();
        }
    });
    m_content = contentHash(m_request.method, target, facts.program, m_request.body);
    if (m_proxy.crashes.isRefused(m_content)) {
        answer(StatusUnavailable, CrashMemory, Outcome::ContentQuarantined);
        return;
    }
    askTokens();
}

void Exchange::askTokens()
{
    const auto &facts = m_request.facts;
    if (!isStream(m_route.repetition) || facts.program.empty() || !facts.tokenBudget || facts.maxGenerated == 0) {
        place();
        return;
    }
    // A whole number of events, since each may hold tokensPerEvent tokens.
    const std::uint64_t perEvent = m_tokensPerEvent;
    const std::uint64_t most = (facts.maxGenerated + perEvent - 1) / perEvent * perEvent;
    const auto said = m_proxy.ledger.ask({facts.program, *facts.tokenBudget, most}, now());
    if (std::holds_alternative<TokenGranted>(said)) {
        m_waitsForTokens = false;
        m_tokensHeld = most;
        place();
        return;
    }
    if (std::holds_alternative<TokenSpent>(said)) {
        answer(StatusPaymentRequired, std::nullopt, Outcome::BudgetSpent);
        return;
    }
    m_waitsForTokens = true;
    const auto *needed = std::get_if<TokenNeedsWrite>(&said);
    if (m_proxy.isStoreNear()) {
        m_proxy.waitForTokens(facts.program, shared_from_this());
        setTokenTimer(TokenPatience - (now() - m_request.arrived));
        if (needed != nullptr) {
            m_proxy.writeTokens(needed->write);
        }
        return;
    }
    if (needed != nullptr) {
        m_proxy.ledger.notWritten(facts.program);
    }
    m_proxy.waitForStore(shared_from_this());
    setTokenTimer(TokenPatience - (now() - m_request.arrived));
}

void Exchange::setTokenTimer(Duration span)
{
    m_waitTimer.expires_after(std::max(Duration::zero(), span));
    m_waitTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self || self->m_isEnded) {
            return;
        }
        if (now() - self->m_request.arrived >= TokenPatience) {
            self->answer(StatusUnavailable, BackLater, Outcome::NoStoreForBudget);
        } else {
            self->askTokens();
        }
    });
}

void Exchange::tokensChanged(bool isStoreAway)
{
    if (m_isEnded || !m_waitsForTokens) {
        return;
    }
    m_waitTimer.cancel();
    if (!isStoreAway) {
        askTokens();
        return;
    }
    setTokenTimer(std::min(TokenWait, TokenPatience - (now() - m_request.arrived)));
}

void Exchange::place()
{
    const ChoiceRequest wanted{m_service, &m_request.facts, m_maxConnections, &m_avoided};
    const auto choice = m_proxy.book.choose(wanted, now());
    if (choice) {
        send(*choice);
    } else {
        waitForPlace();
    }
}

void Exchange::waitForPlace()
{
    const bool isLong = now() - m_request.arrived > m_route.objective / ObjectiveShare;
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, Outcome::NoOtherServer);
        return;
    }
    if (isLong || !m_proxy.book.hasServer(m_service)) {
        answerNotRun(m_proxy.book.hasServer(m_service) ? Outcome::ServersFull : Outcome::NoServer);
        return;
    }
    m_avoided.clear();
    m_waitTimer.expires_after(PlaceWait);
    m_waitTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isEnded) {
            self->place();
        }
    });
}

std::string Exchange::requestText(const Server &server) const
{
    std::string text = m_request.method + " " + m_request.target + " HTTP/1.1\r\n" + m_request.headers;
    Platform::ServerOrder order{left(), server.id, std::nullopt};
    if (m_request.facts.promptTokens != 0) {
        auto timeLeft = m_request.facts.programTimeLeft;
        if (timeLeft) {
            *timeLeft -= now() - m_request.arrived;
        }
        order.priority = enginePriority(timeLeft);
    }
    Platform::appendOrder(text, order);
    if (m_lastEvent && m_hasBegunAnswer) {
        text += Platform::resumeHeader(*m_lastEvent);
    }
    if (m_request.hasBody) {
        text += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
    }
    return text + "\r\n" + m_request.body;
}

void Exchange::send(const Choice &choice)
{
    m_choice = choice;
    m_tries++;
    m_mayHaveRun++;
    m_isRefusal = false;
    m_isStreaming = false;
    m_hadFirstEvent = false;
    m_attemptEvents = 0;
    m_attemptAt = now();
    m_held.clear();
    m_failure = AttemptFailure::Broken;
    m_failureText.clear();
    m_events = {};
    if (!m_placedAt) {
        m_placedAt = now();
    }
    m_servers += (m_servers.empty() ? "" : ",") + choice.server.id;
    m_proxy.book.began(choice.server.id, choice.unreadTokens, m_request.facts, now());
    m_link = m_proxy.takeLink(choice.server);
    m_link->send(this, requestText(choice.server), m_request.facts.requestId, m_request.method == "HEAD");
}

bool Exchange::linkHead(const AnswerHead &head)
{
    const auto &facts = head.facts;
    if (facts.load) {
        m_proxy.book.told(m_choice.server.id, *facts.load, now());
    }
    if (facts.isNotRun || head.status == StatusMisdirected) {
        m_isRefusal = true;
        m_refusalStatus = head.status;
        return true;
    }
    const bool isOurs = facts.requestId && *facts.requestId == m_request.facts.requestId;
    m_failure = AttemptFailure::BadAnswer;
    if (isPromise(head.status)) {
        m_failureText = "status " + std::to_string(head.status) + " without the server's word that nothing ran";
        return false;
    }
    if (facts.isEncoded) {
        m_failureText = "encoded body";
        return false;
    }
    if (isSuccess(head.status) && (!facts.isSigned || !isOurs)) {
        m_failureText = "success without signature or id";
        return false;
    }
    m_isStreaming = isSuccess(head.status) && isStream(m_route.repetition) && head.hasBody;
    if (m_hasBegunAnswer && !m_isStreaming) {
        m_failureText = "status " + std::to_string(head.status) + " to a resumed stream";
        return false;
    }
    m_failure = AttemptFailure::Broken;
    if (!m_hasBegunAnswer) {
        m_head = head;
    }
    return true;
}

bool Exchange::linkBody(std::string_view piece)
{
    if (m_isRefusal) {
        return true;
    }
    if (m_isStreaming) {
        passEvents(m_events.take(piece, m_hasBegunAnswer ? m_lastEvent : std::nullopt));
        return m_isClientGone || m_session->write({});
    }
    m_held.append(piece);
    if (m_held.size() <= MaxHeld && !m_hasBegunAnswer) {
        return true;
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    passOn(std::exchange(m_held, {}));
    return m_isClientGone || m_session->write({});
}

void Exchange::passEvents(const WholeEvents &events)
{
    if (events.bytes.empty()) {
        return;
    }
    m_attemptEvents += events.count;
    if (!m_hadFirstEvent) {
        m_hadFirstEvent = true;
        m_attemptFirstAt = now();
        m_proxy.book.firstEvent(m_choice.server.id, m_choice.unreadTokens);
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    m_eventsOut += events.count;
    if (events.last) {
        m_lastEvent = events.last;
    }
    passOn(events.bytes);
}

void Exchange::beginAnswer()
{
    m_hasBegunAnswer = true;
    m_firstByteAt = now();
    std::string text = "HTTP/1.1 " + std::to_string(m_head.status) + " " + m_head.reason + "\r\n" + m_head.headers;
    if (m_isStreaming || (!m_head.length && m_head.hasBody)) {
        text += m_request.isHttp10 ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
        m_head.length.reset();
    } else if (m_head.length) {
        text += "Content-Length: " + std::to_string(*m_head.length) + "\r\n";
    }
    if (m_proxy.isStopping() || !m_request.keepsAlive) {
        m_request.keepsAlive = false;
        text += "Connection: close\r\n";
    }
    if (!m_isClientGone) {
        m_session->write(text + "\r\n");
    }
}

void Exchange::passOn(std::string_view bytes)
{
    if (bytes.empty() || m_isClientGone) {
        return;
    }
    if (m_head.length || m_request.isHttp10) {
        m_session->write(bytes);
    } else {
        m_session->write(chunk(bytes));
    }
}

void Exchange::linkDone()
{
    m_link.reset();
    if (m_isRefusal) {
        m_mayHaveRun--;
        if (m_refusalStatus == StatusMisdirected) {
            m_proxy.book.misdirected(m_choice.server.id);
        } else {
            m_proxy.book.refused(m_choice.server.id, now());
        }
        attemptFailed(AttemptFailure::Refused, "status " + std::to_string(m_refusalStatus));
        return;
    }
    const std::string rest = m_isStreaming ? m_events.takeRest() : std::string();
    if (m_isStreaming && !rest.empty() && m_head.endsWithConnection) {
        attemptFailed(AttemptFailure::Broken, "stream ended inside an event");
        return;
    }
    if (m_head.status >= StatusServerError) {
        m_proxy.book.failed(m_choice.server.id, now());
    } else {
        m_proxy.book.worked(m_choice.server.id, now());
    }
    if (m_isStreaming && m_attemptEvents > PacedEvents) {
        m_proxy.book.paced(m_choice.server.id, (now() - m_attemptFirstAt) / (m_attemptEvents - 1), now());
    }
    m_proxy.contentWorked(m_content);
    endAttempt();
    if (!m_hasBegunAnswer) {
        if (!m_isStreaming && m_head.hasBody) {
            m_head.length = m_held.size();
        }
        beginAnswer();
    }
    passOn(m_isStreaming ? rest : m_held);
    if (!m_head.length && m_head.hasBody && !m_request.isHttp10 && !m_isClientGone) {
        m_session->write(LastChunk);
    }
    finishAnswer();
}

void Exchange::finishAnswer()
{
    const unsigned status = m_head.status;
    const bool keeps = m_request.keepsAlive && !(m_request.isHttp10 && !m_head.length);
    if (!m_isClientGone) {
        m_session->finish(keeps);
    }
    end(status, m_isClientGone ? Outcome::ClientGone : Outcome::Answered);
}

void Exchange::linkFailed(const LinkFailure &failure)
{
    m_link.reset();
    m_proxy.book.failed(m_choice.server.id, now());
    if (!failure.wasSent) {
        m_mayHaveRun--;
        attemptFailed(AttemptFailure::NoConnection, failure.message);
        return;
    }
    if (m_failure == AttemptFailure::Broken) {
        m_proxy.contentBroke(m_content);
    }
    attemptFailed(m_failure, m_failureText.empty() ? failure.message : m_failureText);
}

void Exchange::endAttempt()
{
    m_proxy.book.ended(m_choice.server.id, m_choice.unreadTokens, m_hadFirstEvent);
}

void Exchange::attemptFailed(AttemptFailure failure, const std::string &message)
{
    endAttempt();
    m_avoided.insert(m_choice.server.id);
    const bool canResume = m_hasBegunAnswer && m_lastEvent && m_route.repetition == Repetition::Resumable && !m_head.length;
    const AttemptHistory history{m_route.repetition, m_route.maxAttempts, m_mayHaveRun, m_tries, m_hasBegunAnswer, canResume, left()};
    const auto step = m_isClientGone ? NextStep::BreakOff : nextStep(history, failure);
    std::ostringstream line;
    line << "request=" << m_request.facts.requestId << " program=" << m_request.facts.program << " server=" << m_choice.server.id
         << " failure=" << static_cast<unsigned>(failure) << " may_have_run=" << m_mayHaveRun << " tries=" << m_tries
         << " step=" << static_cast<unsigned>(step) << " why=\"" << message << '"';
    m_proxy.log(LogLevel::Warning, EventNumber::AttemptFailed, line.str());
    m_proxy.metrics.count("vanillahall_attempt_failures_total", {"failure", std::to_string(static_cast<unsigned>(failure))});
    switch (step) {
    case NextStep::TryAnother:
        place();
        return;
    case NextStep::AnswerNotRun:
        answerNotRun(failure == AttemptFailure::Refused ? Outcome::ServersFull : Outcome::ServersUnreachable);
        return;
    case NextStep::AnswerFailed:
        answer(StatusBadGateway, std::nullopt, Outcome::ServerFailed);
        return;
    case NextStep::BreakOff:
        breakOff(Outcome::ServerBrokeOff);
        return;
    }
}

void Exchange::answerNotRun(Outcome outcome)
{
    answer(StatusUnavailable, BackSoon, outcome);
}

void Exchange::answer(unsigned status, std::optional<Duration> retryAfter, Outcome outcome)
{
    if (m_isEnded) {
        return;
    }
    if (m_hasBegunAnswer) {
        breakOff(outcome);
        return;
    }
    const bool keeps = m_request.keepsAlive && !m_proxy.isStopping();
    if (!m_isClientGone) {
        m_session->write(ownAnswer({status, m_request.facts.requestId, retryAfter, keeps}));
        m_session->finish(keeps);
    }
    end(status, outcome);
}

void Exchange::breakOff(Outcome outcome)
{
    if (!m_isClientGone) {
        m_session->breakOff();
    }
    end(0, outcome);
}

void Exchange::timeOut()
{
    const bool wasSent = m_link && m_link->wasSent();
    noteMuteServer();
    if (m_link) {
        if (!wasSent) {
            m_mayHaveRun--;
        }
        m_link->abandon();
        m_link.reset();
        endAttempt();
    }
    if (m_hasBegunAnswer) {
        breakOff(Outcome::TimeLimit);
    } else if (m_mayHaveRun != 0) {
        answer(StatusGatewayTimeout, std::nullopt, Outcome::TimeLimit);
    } else {
        answerNotRun(Outcome::TimeLimit);
    }
}

void Exchange::noteMuteServer()
{
    if (m_link && m_link->wasSent() && !m_hadFirstEvent && now() - m_attemptAt > MutePatience) {
        m_proxy.book.failed(m_choice.server.id, now());
    }
}

void Exchange::clientGone()
{
    if (m_isEnded || m_isClientGone) {
        return;
    }
    m_isClientGone = true;
    noteMuteServer();
    // Work that must not be repeated goes on to its end; nobody can tell otherwise whether it was done.
    if (m_link && m_link->wasSent() && m_route.repetition == Repetition::NonIdempotent) {
        return;
    }
    if (m_link) {
        m_link->abandon();
        m_link.reset();
        endAttempt();
    }
    end(0, Outcome::ClientGone);
}

void Exchange::drained()
{
    if (m_link) {
        m_link->resume();
    }
}

void Exchange::settleTokens()
{
    if (m_tokensHeld != 0) {
        m_proxy.ledger.settle(m_request.facts.program, m_tokensHeld, m_eventsOut * m_tokensPerEvent);
        m_tokensHeld = 0;
    }
}

void Exchange::end(unsigned status, Outcome outcome)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    const auto self = shared_from_this();
    m_limitTimer.cancel();
    m_waitTimer.cancel();
    settleTokens();
    const auto &facts = m_request.facts;
    const auto ended = now();
    std::ostringstream line;
    line << "request=" << facts.requestId << " program=" << facts.program << " session=" << facts.session << " route=" << m_route.name
         << " config=" << m_configVersion << " status=" << status << " outcome=" << outcomeName(outcome) << " servers=" << m_servers
         << " tries=" << m_tries << " placed_ms=" << (m_placedAt ? ms(*m_placedAt - m_request.arrived) : -1)
         << " first_ms=" << (m_firstByteAt ? ms(*m_firstByteAt - m_request.arrived) : -1) << " all_ms=" << ms(ended - m_request.arrived)
         << " expected_ms=" << static_cast<int>(m_choice.expectedMs) << " list_age_ms=" << ms(m_proxy.listAge())
         << " events=" << m_eventsOut << " unread=" << m_choice.unreadTokens << " prompt=" << facts.promptTokens
         << " budget=" << facts.tokenBudget.value_or(0) << " most=" << facts.maxGenerated
         << " program_left_ms=" << (facts.programTimeLeft ? ms(*facts.programTimeLeft) : -1);
    m_proxy.log(LogLevel::Info, EventNumber::RequestEnded, line.str());
    m_proxy.metrics.count("vanillahall_requests_total", {"outcome", std::string(outcomeName(outcome))});
    m_proxy.metrics.observe("vanillahall_request_seconds", {"route", m_route.name}, ended - m_request.arrived);
    if (m_session) {
        m_proxy.exchangeEnded(*m_session);
    }
}

} // namespace Vanillahall::Forward
