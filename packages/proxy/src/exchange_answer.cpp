#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"

namespace Vanillahall::Forward {

namespace {

constexpr std::uint32_t PacedEvents = 3; ///< Fewer events say little about a server's pace.
constexpr std::size_t MaxHeld
    = std::size_t{256} * 1024; ///< Body that is held back until it is whole; longer ones are passed on as they come.

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusSuccessEnd;
}

/** @return True for statuses that promise that nothing ran; a server's word for that is needed. */
bool isPromise(unsigned status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests || status == StatusRequestTimeout || status == StatusMisdirected;
}

} // namespace

bool Exchange::onResponseHead(const ResponseHead &head)
{
    const auto &facts = head.facts;
    if (facts.load) {
        m_proxy.servers.recordLoad(m_choice.server.id, *facts.load, now());
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

BodyAction Exchange::flow()
{
    return m_isClientGone || m_session->write({}) ? BodyAction::More : BodyAction::Pause;
}

BodyAction Exchange::onResponseBody(std::string_view piece)
{
    if (m_isRefusal) {
        return BodyAction::More;
    }
    if (m_isStreaming) {
        passEvents(m_events.take(piece, m_hasBegunAnswer ? m_lastEvent : std::nullopt));
        if (m_events.isOverlong()) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureText = "event without end";
            return BodyAction::Drop;
        }
        if (m_isTurnTooLong || m_bytesWithoutEvent > MaxEventBytes) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureText = m_isTurnTooLong ? "turn too long to be kept" : "bytes without events";
            return BodyAction::Drop;
        }
        return flow();
    }
    m_held.append(piece);
    if (m_held.size() <= MaxHeld && !m_hasBegunAnswer) {
        return BodyAction::More;
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    passOn(std::exchange(m_held, {}));
    return flow();
}

void Exchange::passEvents(const WholeEvents &events)
{
    if (events.bytes.empty()) {
        return;
    }
    m_bytesWithoutEvent = events.count == 0 ? m_bytesWithoutEvent + events.bytes.size() : 0;
    m_attemptEvents += events.count;
    if (!m_hadFirstEvent) {
        m_hadFirstEvent = true;
        m_attemptFirstAt = now();
        m_proxy.servers.recordFirstEvent(m_choice.server.id, m_choice.unreadTokens);
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    m_eventsOut += events.count;
    if (m_conversation) {
        m_isTurnTooLong = !m_conversation->addEvents(events.bytes);
    }
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

void Exchange::onResponseComplete()
{
    m_connection.reset();
    if (m_isRefusal) {
        m_mayHaveRun--;
        if (m_refusalStatus == StatusMisdirected) {
            m_proxy.servers.recordMisdirection(m_choice.server.id);
        } else {
            m_proxy.servers.recordRefusal(m_choice.server.id, now());
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
        m_proxy.servers.recordFailure(m_choice.server.id, now());
    } else {
        m_proxy.servers.recordSuccess(m_choice.server.id, now());
    }
    if (m_isStreaming && m_attemptEvents > PacedEvents) {
        m_proxy.servers.recordEventInterval(m_choice.server.id, (now() - m_attemptFirstAt) / (m_attemptEvents - 1), now());
    }
    m_proxy.contentWorked(m_content);
    endAttempt();
    if (!m_conversation || !isSuccess(m_head.status)) {
        endAnswer(rest);
        return;
    }
    if (!rest.empty()) {
        m_conversation->addEvents(rest);
    }
    m_isKeeping = true;
    m_conversation->keep([weak = weak_from_this(), rest] {
        if (const auto self = weak.lock()) {
            self->endAnswer(rest);
        }
    });
}

void Exchange::endAnswer(const std::string &rest)
{
    m_isKeeping = false;
    if (!m_hasBegunAnswer) {
        if (!m_isStreaming && m_head.hasBody) {
            m_head.length = m_held.size();
        }
        beginAnswer();
    }
    if (!rest.empty()) {
        // The last event may lack its empty line; its tokens count all the same.
        m_eventsOut++;
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
        m_isWhole = true;
        m_session->finish(keeps);
    }
    end(status, m_isClientGone ? Outcome::ClientGone : Outcome::Answered);
}

void Exchange::drained()
{
    if (m_connection) {
        m_connection->resume();
    }
}

} // namespace Vanillahall::Forward
