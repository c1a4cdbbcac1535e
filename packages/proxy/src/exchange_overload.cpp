#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include "vanillahall/core/urgency_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr unsigned ObjectiveDivisor = 4; ///< A request waits for a server for at most a quarter of its latency objective.
constexpr int TimeLimitDivisor
    = 4; ///< One of a program in progress waits for a quarter of its time limit if that is longer; the rest is needed to run it.
constexpr std::uint32_t AnonymousRank = 2; ///< Rank of requests without a customer, where the configuration names customers.

} // namespace

std::uint64_t Exchange::programHash() const
{
    const auto &program = m_request.attributes.program;
    return program.empty() ? 0 : std::hash<std::string>()(m_ownerPrefix + program);
}

std::uint64_t Exchange::customerHash() const
{
    return m_customer ? Forward::customerHash(m_customer->name) : 0;
}

std::uint32_t Exchange::customerRank() const
{
    return m_customer ? m_customer->rank : (m_proxy.customers.hasCustomers() ? AnonymousRank : 0);
}

std::optional<Duration> Exchange::programTimeLeft() const
{
    auto left = m_request.attributes.programTimeLeft;
    if (left) {
        *left -= now() - m_request.arrived;
    }
    return left;
}

bool Exchange::mayBeginProgram() const
{
    const auto &attributes = m_request.attributes;
    const bool isMainSession = attributes.session.empty() || attributes.session == attributes.program;
    // Programs arrive through several proxies; a row in the store shows that one of them has served this one.
    return !attributes.program.empty() && isStream(m_route.repetition) && !isResumed() && attributes.previousTurn.empty() && isMainSession
        && m_proxy.ledger.row(m_programKey).version == 0;
}

ProgramRequest Exchange::programRequest() const
{
    return {programHash(),
            {customerHash(), customerRank()},
            m_service,
            m_route.name,
            isStream(m_route.repetition),
            mayBeginProgram(),
            timeLeft(),
            programTimeLeft()};
}

bool Exchange::refuseOverload()
{
    if (!m_proxy.isAdmissionOn()) {
        return false;
    }
    auto &overload = m_proxy.overload;
    overload.update(m_proxy, m_service);
    const auto &attributes = m_request.attributes;
    const auto request = programRequest();
    const bool isTurn = request.isTurn;
    const auto fields
        = "request=" + attributes.requestId + " program=" + attributes.program + " route=" + m_route.name + " service=" + m_service;
    m_isLooping = isTurn && overload.programs.isLooping(request.program, m_route.name);
    if (m_isLooping) {
        overload.reportLoop(m_proxy, fields);
    }
    const auto decision = overload.programs.decide(request, overload.saturation.view(m_service), now());
    if (const auto *refused = std::get_if<ProgramRefused>(&decision)) {
        overload.reportRefusal(m_proxy, request, *refused, fields);
        answerOverloaded(refused->retryAfter);
        return true;
    }
    m_isTurnCounted = isTurn;
    const auto basis = std::get<ProgramAdmitted>(decision).basis;
    m_isNewProgram = basis != AdmissionBasis::InProgress;
    m_proxy.metrics.count("vanillahall_requests_admitted_total", {"basis", std::string(admissionName(basis))});
    return false;
}

Duration Exchange::maxServerWait() const
{
    const Duration usual = m_route.objective / ObjectiveDivisor;
    if (!m_proxy.isAdmissionOn() || m_isNewProgram) {
        return usual;
    }
    if (m_proxy.overload.programs.isWorthless(programHash(), now())) {
        return Duration::zero();
    }
    return std::max(usual, (m_limitAt - m_request.arrived) / TimeLimitDivisor);
}

bool Exchange::isProgramLate() const
{
    return programTimeLeft().value_or(Duration(1)) <= Duration::zero();
}

bool Exchange::isBehindOthers() const
{
    // One that may have run can't wait, since it might have to be refused as not run.
    if (!m_proxy.isAdmissionOn() || m_isWaitOver || m_mayHaveRun != 0) {
        return false;
    }
    m_proxy.overload.update(m_proxy, m_service);
    return isBehindOthers(m_proxy.overload.saturation.view(m_service));
}

bool Exchange::isBehindOthers(const SaturationView &saturation) const
{
    // Engines serve late programs last, but their turns would fill the queues there while others are refused.
    if (isProgramLate() && saturation.isRefusing) {
        return true;
    }
    return !m_isFirstInOrder && m_proxy.overload.queue->size(m_service) != 0;
}

void Exchange::joinQueue(Duration maxWait)
{
    auto &queue = *m_proxy.overload.queue;
    if (m_queueNumber == 0) {
        m_queueNumber = queue.nextNumber();
    }
    const auto &overload = m_proxy.overload;
    const auto left = programTimeLeft();
    const auto program = programHash();
    // Turns that are still to come take as long as the last ones of others.
    const auto needed = std::chrono::duration_cast<Duration>(overload.saturation.view(m_service).turnTime
                                                             * overload.programs.expectedTurnsLeft(program, m_route.name, now()));
    const auto startBy = now() + left.value_or(timeLeft()) - needed;
    queue.add(m_service, {m_queueNumber, customerHash(), customerRank(), m_route.rank, m_isLooping, startBy}, shared_from_this());
    runAfter(m_waitTimer, std::max(Duration::zero(), maxWait), *this, [](Exchange &self) {
        self.m_isWaitOver = true;
        self.tryServer();
    });
}

void Exchange::tryServer()
{
    m_isFirstInOrder = true;
    leaveQueue();
    // The longest wait ends with the wait in the queue; selectServer() may begin a wait for something else.
    stopTimer(m_waitTimer);
    selectServer();
    m_isFirstInOrder = false;
}

void Exchange::leaveQueue()
{
    if (m_queueNumber != 0) {
        m_proxy.overload.queue->remove(m_service, m_queueNumber);
    }
}

void Exchange::recordAttemptStart()
{
    if (!m_proxy.isAdmissionOn()) {
        return;
    }
    m_isAttemptCounted = true;
    m_proxy.overload.saturation.recordStart(m_service, !isProgramLate(), now());
    m_proxy.overload.queue->recordServed(m_service, customerHash(), now());
}

void Exchange::recordAttemptEnd()
{
    if (std::exchange(m_isAttemptCounted, false)) {
        m_proxy.overload.saturation.recordEnd(m_service);
        // A refusal frees no server; those that wait try again after the queue's interval.
        if (!m_isRefusal) {
            m_proxy.overload.queue->dispatchSoon(m_service);
        }
    }
}

void Exchange::recordNotRun()
{
    if (std::exchange(m_isTurnCounted, false) && m_mayHaveRun == 0) {
        m_proxy.overload.programs.withdrawTurn(programHash());
    }
}

void Exchange::recordServerFull()
{
    // A server that is limited or leaving refuses with another status.
    if (m_isAttemptCounted && !isProgramLate() && m_refusalStatus == StatusUnavailable) {
        m_proxy.overload.saturation.recordRefusal(m_service, now());
    }
}

void Exchange::recordFirstEvent()
{
    if (m_isAttemptCounted && !isProgramLate()) {
        m_proxy.overload.saturation.recordFirstEvent(m_service, now() - m_attemptStartedAt, m_route.objective, now());
    }
}

void Exchange::recordTurnEnd()
{
    if (m_isAttemptCounted && m_isStreaming && m_hadFirstEvent) {
        m_proxy.overload.saturation.recordTurn(m_service, now() - m_attemptFirstEventAt, now());
    }
}

std::optional<std::uint32_t> Exchange::priorityForEngine() const
{
    if (m_request.attributes.promptTokens == 0) {
        return std::nullopt;
    }
    return m_proxy.customers.hasCustomers() ? enginePriority(customerRank(), programTimeLeft(), m_isLooping)
                                            : enginePriority(programTimeLeft());
}

} // namespace Vanillahall::Forward
