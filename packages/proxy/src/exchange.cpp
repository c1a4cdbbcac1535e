#include "exchange.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration AnswerGrace = std::chrono::milliseconds(40); ///< Time for the server's own response at the deadline to be received.
constexpr Duration ServerRetryInterval = std::chrono::milliseconds(15); ///< Delay before the next attempt to select a server.
constexpr Duration StoreRetryDelay = std::chrono::milliseconds(80);     ///< First delay before a failed write of a token row is retried.
constexpr Duration MaxStoreRetryDelay = std::chrono::milliseconds(
    400); ///< Maximum retry delay. The delay doubles after each failure, since the store may refuse calls over its rate limit.
constexpr unsigned MaxStoreRetryDoublings = 4;                         ///< Limit on the doublings of StoreRetryDelay.
constexpr Duration StoreWaitTimeout = std::chrono::milliseconds(1200); ///< Longest wait for the store; a third of a usual deadline.
constexpr std::uint64_t NoBudget = UINT64_MAX;                         ///< Budget of a row that only names a version.
constexpr int StoreWaitDivisor
    = 2; ///< A request waits for the store for at most half of its time limit; the client needs the rest for another attempt.

} // namespace

Exchange::Exchange(ProxyState &proxy, const std::shared_ptr<ClientSession> &session, ClientRequest request)
    : m_proxy(proxy)
    , m_session(session)
    , m_request(std::move(request))
    , m_limitTimer(proxy.loop)
    , m_waitTimer(proxy.loop)
    , m_heldCopy(proxy.clientAccount, Holding::Copy)
    , m_heldBody(proxy.clientAccount, Holding::Response)
{
}

Exchange::~Exchange()
{
    // The connection is kept by its pending operations and would call this object, for example after the proxy was destroyed.
    if (m_connection) {
        m_connection->abandon();
    }
}

Duration Exchange::timeLeft() const
{
    return m_limitAt - now();
}

void Exchange::start()
{
    if (const auto refusal = prepare()) {
        if (refusal->outcome == Outcome::KeyUncertain || refusal->outcome == Outcome::KeyUnconfirmed) {
            m_proxy.logUncertainConfig();
        }
        answer(refusal->status, refusal->retryAfter, refusal->outcome);
        return;
    }
    runAfter(m_limitTimer, std::max(Duration::zero(), timeLeft() + AnswerGrace), *this, [](Exchange &self) {
        self.onTimeout();
    });
    startForCustomer();
}

std::optional<Refusal> Exchange::prepare()
{
    if (!m_proxy.routes.isLoaded()) {
        return Refusal{StatusUnavailable, ShortRetryAfter, Outcome::NoConfiguration};
    }
    m_configVersion = m_proxy.routes.config().version;
    const std::string_view target = m_request.target;
    const auto *route = m_proxy.routes.find(m_request.host, target.substr(0, target.find('?')));
    if (route == nullptr) {
        return Refusal{StatusNotFound, std::nullopt, Outcome::NoRoute};
    }
    m_route = *route;
    if (auto refusal = identifyCustomer()) {
        return refusal;
    }
    const auto &attributes = m_request.attributes;
    m_service = pickService(m_route, attributes.program.empty() ? attributes.requestId : attributes.program).value_or("");
    const auto &services = m_proxy.routes.config().services;
    const auto service = services.find(m_service);
    if (service == services.end()) {
        return Refusal{StatusUnavailable, ShortRetryAfter, Outcome::NoService};
    }
    m_maxConnections = service->second.maxConnections;
    m_tokensPerEvent = service->second.tokensPerEvent;
    m_limitAt = m_request.arrived + std::min(attributes.deadline.value_or(m_route.timeLimit), m_route.timeLimit);
    if (!m_proxy.plannedStop.canTake(m_limitAt, now())) {
        return Refusal{StatusUnavailable, ShortRetryAfter, Outcome::Stopping};
    }
    return std::nullopt;
}

bool Exchange::isResumed() const
{
    return m_route.repetition == Repetition::Resumable && m_request.attributes.resumesStream;
}

bool Exchange::hasTokenBudget() const
{
    const auto &attributes = m_request.attributes;
    return isStream(m_route.repetition) && !attributes.program.empty() && attributes.tokenBudget && attributes.maxGenerated != 0;
}

bool Exchange::isVersionInRow() const
{
    return m_route.repetition == Repetition::Resumable && (hasTokenBudget() || hasStreamRow());
}

bool Exchange::isVersionGone() const
{
    return m_origin && (m_origin->service != m_service || !m_proxy.servers.hasServer(*m_origin));
}

std::optional<SoftwareVersion> Exchange::versionToName() const
{
    if (!isVersionInRow() || m_origin || isResumed()) {
        return m_origin;
    }
    if (m_newVersion || !m_proxy.ledger.row(versionRowKey()).streamVersions.empty()) {
        return m_newVersion;
    }
    // The first write of the row names the version of the server that would be chosen now.
    const auto choice = chooseServer(nullptr);
    return choice ? std::optional(choice->server.software()) : std::nullopt;
}

std::optional<Refusal> Exchange::quarantineRefusal() const
{
    const auto *refused = m_proxy.crashes.refusedFeature(m_features, now());
    if (refused == nullptr) {
        return std::nullopt;
    }
    return Refusal{StatusUnavailable, m_proxy.crashes.holdLeft(*refused, now()), Outcome::ContentQuarantined};
}

bool Exchange::refuseQuarantined()
{
    const auto refusal = quarantineRefusal();
    if (!refusal) {
        return false;
    }
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, refusal->outcome);
    } else {
        answer(refusal->status, refusal->retryAfter, refusal->outcome);
    }
    return true;
}

void Exchange::queryStore()
{
    if (m_route.storesConversation && !m_hasConversation) {
        findConversation();
    } else {
        requestTokens();
    }
}

std::uint64_t Exchange::maxTokens() const
{
    // Rounded up to a whole number of events, since each may hold tokensPerEvent tokens.
    const std::uint64_t perEvent = m_tokensPerEvent;
    return (m_request.attributes.maxGenerated + perEvent - 1) / perEvent * perEvent;
}

TokenRequest Exchange::tokenRequest() const
{
    const auto &attributes = m_request.attributes;
    // A turn of a sub-agent isn't the first one of its program, so the row exists.
    const bool shouldReadFirst = m_proxy.store.isBusy() || (!attributes.session.empty() && attributes.session != attributes.program);
    // Another proxy may have named a version since this one last saw the row.
    const auto confirmedSince = isResumed() && !m_origin ? m_request.arrived : TimePoint();
    if (!hasTokenBudget()) {
        return {versionRowKey(), NoBudget, 0, false, versionToName(), confirmedSince, m_request.arrived};
    }
    return {m_programKey, *attributes.tokenBudget, maxTokens(), shouldReadFirst, versionToName(), confirmedSince, m_request.arrived};
}

void Exchange::requestTokens()
{
    if (!findOrigin()) {
        return;
    }
    if (!hasTokenBudget() && (!hasStreamRow() || m_origin)) {
        selectServer();
        return;
    }
    const auto wanted = tokenRequest();
    const auto result = m_proxy.ledger.reserve(wanted, now());
    if (std::holds_alternative<TokenGranted>(result)) {
        m_waitsForStore = false;
        m_grantedTokens = wanted.maxTokens;
        selectServer();
        return;
    }
    if (std::holds_alternative<TokenBudgetExhausted>(result)) {
        answer(StatusPaymentRequired, std::nullopt, Outcome::BudgetSpent);
        return;
    }
    if (const auto *unknown = std::get_if<TokenBudgetUnknown>(&result)) {
        answer(StatusUnavailable, unknown->retryAfter, Outcome::BudgetUnsettled);
        return;
    }
    m_waitsForStore = true;
    const auto *needed = std::get_if<TokenNeedsWrite>(&result);
    const auto *returns = std::get_if<TokenNeedsReturns>(&result);
    const bool needsRead = std::holds_alternative<TokenNeedsRead>(result);
    m_needsClosing = std::holds_alternative<TokenNeedsClosing>(result);
    if (m_proxy.isStoreReachable()) {
        m_proxy.addTokenWaiter(wanted.program, shared_from_this());
        setStoreTimer(storeWaitLeft());
        if (needed != nullptr) {
            m_proxy.writeTokens(needed->write);
        } else if (returns != nullptr) {
            m_proxy.requestReturns(wanted.program, returns->holders);
        } else if (needsRead) {
            m_proxy.readTokens(wanted.program);
        } else if (m_needsClosing) {
            m_proxy.closeShare(wanted.program);
        }
        return;
    }
    if (needed != nullptr || returns != nullptr || needsRead || m_needsClosing) {
        m_proxy.ledger.onWriteFailed(wanted.program);
    }
    if (!requestOutageTokens()) {
        waitForStore();
    }
}

void Exchange::waitForStore()
{
    m_waitsForStore = true;
    m_proxy.addStoreWaiter(shared_from_this());
    setStoreTimer(storeWaitLeft());
}

Duration Exchange::storeWaitLeft() const
{
    const auto maxWait = std::min(StoreWaitTimeout, (m_limitAt - m_request.arrived) / StoreWaitDivisor);
    return m_request.arrived + maxWait - now();
}

void Exchange::setStoreTimer(Duration span)
{
    runAfter(m_waitTimer, std::clamp(span, Duration::zero(), std::max(Duration::zero(), originWaitLeft())), *this, [](Exchange &self) {
        if (self.originWaitLeft() <= Duration::zero()) {
            self.refuseOrigin();
        } else if (self.storeWaitLeft() <= Duration::zero()) {
            const bool isForBudget = !self.m_route.storesConversation || self.m_hasConversation;
            self.answer(StatusUnavailable, StoreRetryAfter, isForBudget ? Outcome::NoStoreForBudget : Outcome::ConversationAway);
        } else {
            self.queryStore();
        }
    });
}

void Exchange::onStoreUpdate(bool hasFailed)
{
    // An owner that was asked for tokens answers soon, and a turn gets its tokens from one place only.
    if (m_isEnded || !m_waitsForStore || !m_askedTurn.empty() || m_originStep != OriginStep::None) {
        return;
    }
    stopTimer(m_waitTimer);
    if (!hasFailed) {
        queryStore();
        return;
    }
    if (m_needsClosing || !requestOutageTokens()) {
        setStoreTimer(std::min(nextStoreRetryDelay(), storeWaitLeft()));
    }
}

Duration Exchange::nextStoreRetryDelay()
{
    return std::min(MaxStoreRetryDelay, StoreRetryDelay * (1U << std::min(m_storeFailures++, MaxStoreRetryDoublings)));
}

void Exchange::selectServer()
{
    // A request in the queue is also woken by the store and by reports of rate limits; only one of them may send it.
    if (m_isEnded || m_connection) {
        return;
    }
    // Earlier attempts, or those at other proxies, may have crashed servers since the request arrived.
    if (!confirmCustomer() || refuseQuarantined()) {
        return;
    }
    if (isVersionGone()) {
        answerVersionGone();
        return;
    }
    const auto choice = isBehindOthers() ? std::nullopt : chooseServerWithRoom();
    if (!choice) {
        waitForServer();
        return;
    }
    const auto software = choice->server.software();
    const auto named = m_proxy.ledger.row(versionRowKey()).streamVersions;
    if (isVersionInRow() && !m_origin && !m_outageTurn && std::find(named.begin(), named.end(), software) == named.end()) {
        // The row names the version before the stream begins. The tokens are reserved anew together with it.
        m_newVersion = software;
        m_proxy.ledger.settle(versionRowKey(), std::exchange(m_grantedTokens, 0), 0, now());
        requestTokens();
        return;
    }
    if (confirmPermit()) {
        send(*choice);
    }
}

std::optional<Choice> Exchange::chooseServer(ChoiceExplanation *explanation) const
{
    const auto choose = [this, explanation, present = now()](const ChoiceRequest &wanted) {
        if (explanation != nullptr) {
            *explanation = m_proxy.servers.explain(wanted, present);
        }
        return m_proxy.servers.choose(wanted, present);
    };
    auto wanted = choiceRequest();
    if (m_origin) {
        const std::vector<SoftwareVersion> origin{*m_origin};
        wanted.software = &origin;
        return choose(wanted);
    }
    const auto recorded = m_proxy.versions.recorded();
    // A row that is written only if there are several versions isn't read if the record names one.
    const auto *allowed = m_route.repetition == Repetition::Resumable && !hasTokenBudget() ? &recorded : nullptr;
    if (!isVersionInRow()) {
        wanted.software = allowed;
        return choose(wanted);
    }
    auto named = m_proxy.ledger.row(versionRowKey()).streamVersions;
    if (m_outageTurn && m_outageTurn->request.streamVersion) {
        named = {*m_outageTurn->request.streamVersion};
    }
    wanted.software = &named;
    auto choice = choose(wanted);
    if (choice || m_mayHaveRun != 0 || m_outageTurn) {
        // The owner of the program has recorded the version. A request that may have run can't wait for the store: it might have to be
        // refused as not run.
        return choice;
    }
    wanted.software = allowed;
    return choose(wanted);
}

void Exchange::answerVersionGone()
{
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, Outcome::NoOtherServer);
    } else {
        answerNotRun(Outcome::NoServerOfVersion);
    }
}

void Exchange::waitForServer()
{
    const Duration waitLeft = m_request.arrived + maxServerWait() - now();
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, Outcome::NoOtherServer);
        return;
    }
    if (const auto refusal = serverRefusal(waitLeft)) {
        answerNotRun(refusal->outcome);
        return;
    }
    m_excludedServers.clear();
    if (m_proxy.isAdmissionOn()) {
        joinQueue(waitLeft);
        return;
    }
    runAfter(m_waitTimer, ServerRetryInterval, *this, [](Exchange &self) {
        self.selectServer();
    });
}

std::optional<Refusal> Exchange::serverRefusal(Duration waitLeft) const
{
    const auto rateLimitDelay = m_proxy.servers.rateLimitDelay(m_service, now());
    if (rateLimitDelay && *rateLimitDelay > waitLeft) {
        return Refusal{StatusUnavailable, ShortRetryAfter, Outcome::ServersLimited};
    }
    if (waitLeft < Duration::zero() || !m_proxy.servers.hasServer(m_service)) {
        return Refusal{StatusUnavailable, ShortRetryAfter, m_proxy.servers.hasServer(m_service) ? Outcome::ServersFull : Outcome::NoServer};
    }
    return std::nullopt;
}

std::string Exchange::requestText(const Server &server) const
{
    std::string text = m_request.method + " " + m_request.target + " HTTP/1.1\r\n" + m_request.headers;
    Platform::ServerRequestHeaders order{timeLeft(), server.id, priorityForEngine(), {}, {}};
    if (m_customer) {
        order.customer = m_customer->name;
    } else if (!m_proxy.customers.hasCustomers()) {
        order.customerHeaders = m_request.attributes.customerHeaders;
    }
    Platform::appendServerRequestHeaders(text, order);
    if (m_lastEvent && m_hasBegunAnswer) {
        text += Platform::resumeHeader(*m_lastEvent);
    }
    const std::string conversation = m_conversation ? m_conversation->turn().body() : std::string();
    const std::string &body = m_conversation ? conversation : m_request.body;
    if (m_request.hasBody || !body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    text.reserve(text.size() + body.size());
    return text.append(body);
}

void Exchange::send(const Choice &choice)
{
    leaveQueue();
    stopTimer(m_waitTimer);
    m_choice = choice;
    m_attempts++;
    m_mayHaveRun++;
    m_isRefusal = false;
    m_continuesAnswer = m_hasBegunAnswer;
    m_isStreaming = false;
    m_hadFirstEvent = false;
    m_attemptEvents = 0;
    m_attemptStartedAt = now();
    m_bufferedBody.clear();
    m_heldBody.set(0);
    m_failure = AttemptFailure::Broken;
    m_failureReason.clear();
    m_events = {};
    if (!m_serverChosenAt) {
        m_serverChosenAt = now();
    }
    m_triedServers += (m_triedServers.empty() ? "" : ",") + choice.server.id;
    m_proxy.servers.recordStart(choice, m_request.attributes, now());
    recordAttemptStart();
    // A fault that breaks one idle connection often breaks all of them, and a request may be repeated only a few times. On the connection
    // of an earlier refusal, a copy of it couldn't be told from the answer.
    const bool needsNewConnection = m_mayHaveRun > 1 || m_refusedBy.count(choice.server.id) != 0;
    m_connection = m_proxy.acquireConnection(choice.server, needsNewConnection ? ConnectionChoice::New : ConnectionChoice::Any);
    auto text = requestText(choice.server);
    m_heldCopy.set(text.size());
    addServerBytes();
    m_connection->send(this, std::move(text), m_request.attributes.requestId, m_request.method == "HEAD");
}

} // namespace Vanillahall::Forward
