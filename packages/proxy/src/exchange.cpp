#include "exchange.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"
#include "timer_func.h"

#include "vanillahall/core/urgency_func.h"
#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration AnswerMargin = std::chrono::milliseconds(40);    ///< A server's own answer at the deadline may still come.
constexpr Duration PlaceWait = std::chrono::milliseconds(15);       ///< Between two looks for a free server.
constexpr Duration StoreWait = std::chrono::milliseconds(80);       ///< Before a failed write of a token row is made again.
constexpr Duration MaxStoreWait = std::chrono::milliseconds(400);   ///< StoreWait doubles up to this: the store may be over its rate.
constexpr unsigned MaxDoublings = 4;                                ///< Of StoreWait.
constexpr Duration StorePatience = std::chrono::milliseconds(1200); ///< Longest wait for a slow store; a third of a usual deadline.
constexpr int StoreShare = 2;          ///< A request waits half of its time for the store; the client needs the rest for another attempt.
constexpr unsigned ObjectiveShare = 4; ///< A request waits for a place for a quarter of its objective.

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
    runAfter(m_limitTimer, std::max(Duration::zero(), left() + AnswerMargin), *this, [](Exchange &self) {
        self.timeOut();
    });
    if (!isTurnNameSound()) {
        answer(StatusBadRequest, std::nullopt, Outcome::FaultyTurnName);
        return;
    }
    m_content = contentHash(m_request.method, target, facts.program, m_request.body);
    if (m_proxy.crashes.isRefused(m_content)) {
        answer(StatusUnavailable, CrashMemory, Outcome::ContentQuarantined);
        return;
    }
    askStore();
}

void Exchange::askStore()
{
    if (m_route.keepsConversation && !m_hasConversation) {
        findConversation();
    } else {
        askTokens();
    }
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
    // Turns of sub-agents aren't a program's first, so its row exists.
    const bool readsFirst = m_proxy.store.isBusy() || (!facts.session.empty() && facts.session != facts.program);
    const auto said = m_proxy.ledger.ask({facts.program, *facts.tokenBudget, most, readsFirst}, now());
    if (std::holds_alternative<TokenGranted>(said)) {
        m_waitsForStore = false;
        m_tokensHeld = most;
        place();
        return;
    }
    if (std::holds_alternative<TokenBudgetExhausted>(said)) {
        answer(StatusPaymentRequired, std::nullopt, Outcome::BudgetSpent);
        return;
    }
    m_waitsForStore = true;
    const auto *needed = std::get_if<TokenNeedsWrite>(&said);
    const bool needsRead = std::holds_alternative<TokenNeedsRead>(said);
    if (m_proxy.isStoreNear()) {
        m_proxy.waitForTokens(facts.program, shared_from_this());
        setStoreTimer(storePatienceLeft());
        if (needed != nullptr) {
            m_proxy.writeTokens(needed->write);
        } else if (needsRead) {
            m_proxy.readTokens(facts.program);
        }
        return;
    }
    if (needed != nullptr || needsRead) {
        m_proxy.ledger.notWritten(facts.program);
    }
    waitForStore();
}

void Exchange::waitForStore()
{
    m_waitsForStore = true;
    m_proxy.waitForStore(shared_from_this());
    setStoreTimer(storePatienceLeft());
}

Duration Exchange::storePatienceLeft() const
{
    const auto patience = std::min(StorePatience, (m_limitAt - m_request.arrived) / StoreShare);
    return m_request.arrived + patience - now();
}

void Exchange::setStoreTimer(Duration span)
{
    runAfter(m_waitTimer, std::max(Duration::zero(), span), *this, [](Exchange &self) {
        if (self.storePatienceLeft() <= Duration::zero()) {
            const bool isForBudget = !self.m_route.keepsConversation || self.m_hasConversation;
            self.answer(StatusUnavailable, BackLater, isForBudget ? Outcome::NoStoreForBudget : Outcome::ConversationAway);
        } else {
            self.askStore();
        }
    });
}

void Exchange::storeChanged(bool isStoreAway)
{
    if (m_isEnded || !m_waitsForStore) {
        return;
    }
    stopTimer(m_waitTimer);
    if (!isStoreAway) {
        askStore();
        return;
    }
    const auto wait = std::min(MaxStoreWait, StoreWait * (1U << std::min(m_storeFailures++, MaxDoublings)));
    setStoreTimer(std::min(wait, storePatienceLeft()));
}

void Exchange::place()
{
    const ChoiceRequest wanted{m_service, &m_request.facts, m_maxConnections, &m_avoided, m_proxy.ledger.homeZone(m_request.facts.program)};
    const auto choice = m_proxy.servers.choose(wanted, now());
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
    if (isLong || !m_proxy.servers.hasServer(m_service)) {
        answerNotRun(m_proxy.servers.hasServer(m_service) ? Outcome::ServersFull : Outcome::NoServer);
        return;
    }
    m_avoided.clear();
    runAfter(m_waitTimer, PlaceWait, *this, [](Exchange &self) {
        self.place();
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
    const std::string body = m_conversation ? m_conversation->turn().body() : m_request.body;
    if (m_request.hasBody || !body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
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
    m_proxy.servers.recordStart(choice.server.id, choice.unreadTokens, m_request.facts);
    // What breaks one kept connection often breaks them all, and a request may be repeated only a few times.
    m_connection = m_proxy.takeConnection(choice.server, m_mayHaveRun > 1 ? ConnectionChoice::New : ConnectionChoice::Any);
    m_connection->send(this, requestText(choice.server), m_request.facts.requestId, m_request.method == "HEAD");
}

} // namespace Vanillahall::Forward
