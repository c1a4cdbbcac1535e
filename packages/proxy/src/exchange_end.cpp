#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"
#include "timer_func.h"

#include <sstream>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration UnresponsiveTimeout
    = std::chrono::milliseconds(1000); ///< When a request ends, its server is recorded as failed if it hasn't responded for this time.

std::int64_t ms(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

void Exchange::onConnectionFailure(const ServerConnectionFailure &failure)
{
    m_connection.reset();
    if (!failure.wasSent) {
        m_mayHaveRun--;
        m_proxy.servers.recordFailure(m_choice.server.id, now());
        m_proxy.onServerConnect(m_choice.server.id, failure.wasRefused ? ConnectResult::Refused : ConnectResult::Failed);
        onAttemptFailed(AttemptFailure::NoConnection, failure.message);
        return;
    }
    if (failure.isResponseInvalid) {
        m_failure = AttemptFailure::BadAnswer;
    }
    onAttemptBroken(failure.message);
}

void Exchange::onAttemptBroken(const std::string &message)
{
    m_proxy.servers.recordFailure(m_choice.server.id, now());
    if (m_failure == AttemptFailure::Broken) {
        m_proxy.recordCrash(crashedAttempt());
    } else {
        recordAbandoned("answer_rejected");
    }
    onAttemptFailed(m_failure, m_failureReason.empty() ? message : m_failureReason);
}

void Exchange::onAttemptFailed(AttemptFailure failure, const std::string &message)
{
    endAttempt(false);
    m_excludedServers.insert(m_choice.server.id);
    const bool canResume = m_hasBegunAnswer && m_lastEvent && m_route.repetition == Repetition::Resumable && !m_head.length;
    const AttemptHistory history{
        m_route.repetition, m_route.maxAttempts, m_mayHaveRun, m_attempts, m_hasBegunAnswer, canResume, timeLeft()};
    const auto step = m_isClientDisconnected ? NextStep::BreakOff : nextStep(history, failure);
    std::ostringstream line;
    line << "request=" << m_request.attributes.requestId << " program=" << m_request.attributes.program << " server=" << m_choice.server.id
         << " content=" << content() << " crash_records=" << m_proxy.crashes.recordCount(content())
         << " features=" << featureText(m_features) << " failure=" << failureName(failure) << " may_have_run=" << m_mayHaveRun
         << " tries=" << m_attempts << " step=" << stepName(step) << " why=\"" << message << '"';
    m_proxy.log(LogLevel::Warning, EventNumber::AttemptFailed, line.str());
    m_proxy.metrics.count("vanillahall_attempt_failures_total", {"failure", std::string(failureName(failure))});
    switch (step) {
    case NextStep::TryAnother:
        selectServer();
        return;
    case NextStep::AnswerNotRun:
        answerNotRun(failure == AttemptFailure::Refused ? Outcome::ServersFull : Outcome::ServersUnreachable);
        return;
    case NextStep::AnswerFailed:
        answer(StatusBadGateway, std::nullopt, Outcome::ServerFailed);
        return;
    case NextStep::BreakOff:
        abortResponse(Outcome::ServerBrokeOff);
        return;
    }
}

void Exchange::answerNotRun(Outcome outcome)
{
    recordNotRun();
    answer(StatusUnavailable, ShortRetryAfter, outcome);
}

void Exchange::answerOverloaded(Duration retryAfter)
{
    answer(StatusUnavailable, retryAfter, Outcome::ServiceOverloaded);
}

void Exchange::answer(unsigned status, std::optional<Duration> retryAfter, Outcome outcome)
{
    if (m_isEnded) {
        return;
    }
    if (m_hasBegunAnswer) {
        abortResponse(outcome);
        return;
    }
    const bool keepsAlive = m_request.keepsAlive && !m_proxy.isStopping();
    if (!m_isClientDisconnected) {
        m_session->write(formatLocalResponse({status, m_request.attributes.requestId, retryAfter, keepsAlive}));
        m_session->finish(keepsAlive);
    }
    end(status, outcome);
}

void Exchange::abortResponse(Outcome outcome)
{
    if (!m_isClientDisconnected) {
        m_session->abortResponse(m_hasBegunAnswer && m_request.isHttp10 && !m_head.length);
    }
    end(0, outcome);
}

void Exchange::onTimeout()
{
    endEarly(Outcome::TimeLimit);
}

void Exchange::onStopLimit()
{
    endEarly(Outcome::Stopping);
}

void Exchange::endEarly(Outcome outcome)
{
    if (m_isEnded) {
        return;
    }
    const bool wasSent = m_connection && m_connection->wasSent();
    recordUnresponsiveServer();
    if (m_connection) {
        if (!wasSent) {
            m_mayHaveRun--;
        }
        abandonAttempt(outcomeName(outcome));
    }
    if (m_hasBegunAnswer) {
        abortResponse(m_isStoringTurn ? Outcome::TurnNotKept : outcome);
    } else if (m_mayHaveRun != 0) {
        answer(StatusGatewayTimeout, std::nullopt, outcome);
    } else {
        answerNotRun(outcome);
    }
}

void Exchange::recordUnresponsiveServer()
{
    if (m_connection && m_connection->wasSent() && !m_hadFirstEvent && now() - m_attemptStartedAt > UnresponsiveTimeout) {
        m_proxy.servers.recordFailure(m_choice.server.id, now());
    }
}

void Exchange::onClientDisconnected()
{
    if (m_isEnded || m_isClientDisconnected) {
        return;
    }
    m_isClientDisconnected = true;
    recordUnresponsiveServer();
    // A request that must not be repeated continues to its end; otherwise its outcome would be unknown.
    if (m_connection && m_connection->wasSent() && m_route.repetition == Repetition::NonIdempotent) {
        // It isn't sent again, and its memory is no longer reserved.
        std::string().swap(m_request.body);
        return;
    }
    if (m_connection) {
        abandonAttempt("client_gone");
    }
    end(0, Outcome::ClientGone);
}

void Exchange::abandonAttempt(std::string_view why)
{
    if (m_connection->wasSent()) {
        recordAbandoned(why);
    }
    m_connection->abandon();
    m_connection.reset();
    endAttempt(false);
}

CrashedAttempt Exchange::crashedAttempt() const
{
    const auto &server = m_choice.server.id;
    return {m_features, XXH3_64bits(server.data(), server.size()), m_attemptStartedAt};
}

void Exchange::recordAbandoned(std::string_view why)
{
    m_proxy.recordAbandonedAttempt(m_choice.server, crashedAttempt(), m_limitAt);
    std::ostringstream line;
    line << "request=" << m_request.attributes.requestId << " server=" << m_choice.server.id << " content=" << content()
         << " crash_records=" << m_proxy.crashes.recordCount(content()) << " features=" << featureText(m_features)
         << " sent_ms_ago=" << ms(now() - m_attemptStartedAt) << " left_ms=" << ms(timeLeft()) << " why=" << why;
    m_proxy.log(LogLevel::Info, EventNumber::AttemptAbandoned, line.str());
    m_proxy.metrics.count("vanillahall_attempts_abandoned_total", {"why", std::string(why)});
}

void Exchange::end(unsigned status, Outcome outcome)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    const auto self = shared_from_this();
    stopTimer(m_limitTimer);
    stopTimer(m_waitTimer);
    removeServerBytes();
    m_heldBody.set(0);
    leaveQueue();
    settleTokens();
    returnPermit();
    if (m_conversation) {
        m_conversation->end(m_isAnswerComplete);
        m_proxy.reserveBodyBytes(m_conversationBytes, 0);
    }
    const auto &attributes = m_request.attributes;
    const auto ended = now();
    std::ostringstream line;
    line << "request=" << attributes.requestId << " program=" << attributes.program << " session=" << attributes.session
         << " route=" << m_route.name << " config=" << m_configVersion << " status=" << status << " outcome=" << outcomeName(outcome)
         << " servers=" << m_triedServers << " tries=" << m_attempts
         << " placed_ms=" << (m_serverChosenAt ? ms(*m_serverChosenAt - m_request.arrived) : -1)
         << " first_ms=" << (m_firstByteAt ? ms(*m_firstByteAt - m_request.arrived) : -1) << " all_ms=" << ms(ended - m_request.arrived)
         << " expected_ms=" << static_cast<int>(m_choice.expectedMs) << placementFields() << " list_age_ms=" << ms(m_proxy.listAge())
         << " home_zone=" << m_proxy.ledger.homeZone(m_programKey) << " events=" << m_forwardedEvents
         << " unread=" << m_choice.uncachedTokens << " version=" << m_choice.server.softwareVersion
         << " last_event=" << (attributes.lastEventId ? std::to_string(*attributes.lastEventId) : "")
         << " resumes=" << attributes.resumedRequest << " previous=" << attributes.previousTurn
         << " conversation=" << (m_conversation ? m_conversation->turn().bodySize() : 0) << " prompt=" << attributes.promptTokens
         << " budget=" << attributes.tokenBudget.value_or(0) << " most=" << attributes.maxGenerated
         << " program_left_ms=" << (attributes.programTimeLeft ? ms(*attributes.programTimeLeft) : -1);
    line << customerFields() << originFields();
    if (const auto left = m_proxy.plannedStop.timeLeft(ended)) {
        line << " stop_left_ms=" << ms(*left);
    }
    m_proxy.log(LogLevel::Info, EventNumber::RequestEnded, line.str());
    m_proxy.metrics.count("vanillahall_requests_total", {"outcome", std::string(outcomeName(outcome))});
    m_proxy.metrics.observe("vanillahall_request_seconds", {"route", m_route.name}, ended - m_request.arrived);
    if (m_session) {
        m_proxy.removeExchange(*m_session);
    }
}

} // namespace Vanillahall::Forward
