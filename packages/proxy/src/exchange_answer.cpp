#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"

#include <sstream>

namespace Vanillahall::Forward {

namespace {

constexpr std::uint32_t MaxUntimedEvents = 3; ///< Streams with up to this many events aren't timed, since the result would be inaccurate.
constexpr std::size_t MaxBufferedBodyBytes
    = std::size_t{256} * 1024; ///< Limit on a body that is buffered until it is complete; longer ones are forwarded as received.

constexpr std::size_t MaxBufferedBodyBytesIfShort = std::size_t{16} * 1024; ///< The same while memory for clients is short.

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusSuccessEnd;
}

/** @return True for statuses that usually mean that the request didn't run; they are valid only if the server states so in a header. */
bool isNotRunStatus(unsigned status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests || status == StatusRequestTimeout || status == StatusMisdirected;
}

} // namespace

bool Exchange::onResponseHead(const ResponseHead &head)
{
    m_heldCopy.set(0);
    const auto &attributes = head.attributes;
    if (attributes.load) {
        m_proxy.servers.recordLoad(m_choice.server.id, *attributes.load, now());
    }
    // A misdirected response comes from another server.
    if (attributes.isLeaving && head.status != StatusMisdirected) {
        recordLeaving();
    }
    const bool matchesRequest = attributes.requestId && *attributes.requestId == m_request.attributes.requestId;
    // A misdirected response comes from another server; one without a signature may lack the limit although it is in force.
    if (head.status != StatusMisdirected && (attributes.rateLimit || (attributes.isSigned && matchesRequest))) {
        recordRateLimit(attributes.rateLimit);
    }
    if (attributes.isNotRun || head.status == StatusMisdirected) {
        // A refusal without an id may be that of an earlier request, written once more.
        if (!matchesRequest && m_connection->isReused()) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureReason = "refusal without request id on a connection that was used before";
            return false;
        }
        m_isRefusal = true;
        m_refusalStatus = head.status;
        return true;
    }
    m_failure = AttemptFailure::BadAnswer;
    if (isNotRunStatus(head.status)) {
        m_failureReason = "status " + std::to_string(head.status) + " without a header stating that the request didn't run";
        return false;
    }
    if (attributes.isEncoded) {
        m_failureReason = "body with a content encoding";
        return false;
    }
    if (isSuccess(head.status) && (!attributes.isSigned || !matchesRequest)) {
        m_failureReason = "success without signature, or with a missing or different request id";
        return false;
    }
    m_endsWithConnection = head.endsWithConnection;
    m_isStreaming = isSuccess(head.status) && isStream(m_route.repetition) && head.hasBody;
    if (m_continuesAnswer && !m_isStreaming) {
        m_failureReason = "status " + std::to_string(head.status) + " in response to a resumed stream";
        return false;
    }
    const bool isOtherType = attributes.isEventStream != m_head.attributes.isEventStream;
    if (m_continuesAnswer && (isOtherType || (head.length && !attributes.isEventStream))) {
        m_failureReason = "no event stream in response to a resumed stream";
        return false;
    }
    m_failure = AttemptFailure::Broken;
    if (!m_hasBegunAnswer) {
        m_head = head;
    }
    return true;
}

void Exchange::recordRateLimit(std::optional<double> perSecond)
{
    const auto &server = m_choice.server.id;
    if (!m_proxy.servers.recordRateLimit(server, perSecond, m_attemptStartedAt, now())) {
        return;
    }
    std::ostringstream line;
    line << "server=" << server << " service=" << m_choice.server.service << " state=" << (perSecond ? "limited" : "unlimited");
    if (perSecond) {
        line << " limit_per_s=" << *perSecond;
    }
    line << " request=" << m_request.attributes.requestId;
    m_proxy.log(LogLevel::Warning, EventNumber::ServerLimited, line.str());
}

void Exchange::recordLeaving()
{
    const auto &server = m_choice.server.id;
    const auto listed = m_proxy.servers.listedState(server);
    if (!m_proxy.servers.recordLeaving(server)) {
        return;
    }
    m_proxy.closeIdleConnections(server);
    std::ostringstream line;
    line << "server=" << server << " service=" << m_choice.server.service << " started_ms=" << m_choice.server.startedMs
         << " request=" << m_request.attributes.requestId << " listed=" << listed
         << " list_age_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(m_proxy.listAge()).count();
    m_proxy.log(LogLevel::Info, EventNumber::ServerLeaving, line.str());
}

BodyAction Exchange::bodyAction()
{
    return m_isClientDisconnected || m_session->write({}) ? BodyAction::More : BodyAction::Pause;
}

BodyAction Exchange::onResponseBody(std::string_view piece)
{
    if (m_isRefusal) {
        return BodyAction::More;
    }
    if (m_isStreaming) {
        const auto events = m_events.append(piece, m_hasBegunAnswer ? m_lastEvent : std::nullopt);
        if (m_continuesAnswer && events.hasOtherText) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureReason = "bytes that are no event in a resumed stream";
            return BodyAction::Drop;
        }
        forwardEvents(events);
        if (m_events.hasOverlongEvent()) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureReason = "event too long";
            return BodyAction::Drop;
        }
        if (m_isTurnTooLong || m_bytesSinceEvent > MaxEventBytes) {
            m_failure = AttemptFailure::BadAnswer;
            m_failureReason = m_isTurnTooLong ? "turn too long to be stored" : "too many bytes without an event";
            return BodyAction::Drop;
        }
        return bodyAction();
    }
    m_bufferedBody.append(piece);
    m_heldBody.set(m_bufferedBody.capacity());
    const auto maxBuffered = m_proxy.clientAccount->isShort() ? MaxBufferedBodyBytesIfShort : MaxBufferedBodyBytes;
    if (m_bufferedBody.size() <= maxBuffered && !m_hasBegunAnswer) {
        return BodyAction::More;
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    m_heldBody.set(0);
    forwardToClient(std::exchange(m_bufferedBody, {}));
    return bodyAction();
}

void Exchange::forwardEvents(const CompleteEvents &events)
{
    if (events.bytes.empty()) {
        return;
    }
    m_bytesSinceEvent = events.count == 0 ? m_bytesSinceEvent + events.bytes.size() : 0;
    m_attemptEvents += events.count;
    if (!m_hadFirstEvent) {
        m_hadFirstEvent = true;
        m_attemptFirstEventAt = now();
        m_proxy.servers.recordFirstEvent(m_choice.server.id, m_choice.uncachedTokens);
        recordFirstEvent();
    }
    if (!m_hasBegunAnswer) {
        beginAnswer();
    }
    recordOrigin();
    m_forwardedEvents += events.count;
    if (m_conversation) {
        m_isTurnTooLong = !m_conversation->addEvents(events.bytes);
    }
    if (events.lastId) {
        m_lastEvent = events.lastId;
    }
    forwardToClient(events.bytes);
}

void Exchange::recordOrigin()
{
    if (m_route.repetition != Repetition::Resumable || m_isOriginRecorded) {
        return;
    }
    m_isOriginRecorded = true;
    const auto &attributes = m_request.attributes;
    if (!m_origin) {
        m_origin = m_choice.server.software();
    }
    const auto &id = attributes.resumedRequest.empty() ? attributes.requestId : attributes.resumedRequest;
    m_proxy.streamOrigins.record(keyOf(id), *m_origin, now());
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
    if (!m_isClientDisconnected) {
        m_session->write(text + "\r\n");
    }
}

void Exchange::forwardToClient(std::string_view bytes)
{
    if (bytes.empty() || m_isClientDisconnected) {
        return;
    }
    if (m_head.length || m_request.isHttp10) {
        m_session->write(bytes);
    } else {
        m_session->write(encodeChunk(bytes));
    }
}

void Exchange::onResponseComplete()
{
    m_connection.reset();
    if (m_isRefusal) {
        m_mayHaveRun--;
        m_refusedBy.insert(m_choice.server.id);
        if (m_refusalStatus == StatusMisdirected) {
            m_proxy.servers.recordMisdirection(m_choice.server.id);
        } else {
            m_proxy.servers.recordRefusal(m_choice.server.id, now());
            recordServerFull();
        }
        onAttemptFailed(AttemptFailure::Refused, "status " + std::to_string(m_refusalStatus));
        return;
    }
    const std::string rest = m_isStreaming ? m_events.takePartialEvent() : std::string();
    if (m_isStreaming && !rest.empty() && m_endsWithConnection) {
        onAttemptBroken("stream ended inside an event");
        return;
    }
    // The last event may lack its empty line; other text doesn't belong into a stream that another server has begun.
    if (m_continuesAnswer && !rest.empty() && !isNextEvent(rest, m_lastEvent)) {
        m_failure = AttemptFailure::BadAnswer;
        onAttemptBroken("resumed stream ends with bytes that are no event");
        return;
    }
    if (m_head.status >= StatusServerError) {
        m_proxy.servers.recordFailure(m_choice.server.id, now());
    } else {
        m_proxy.servers.recordSuccess(m_choice.server.id, now());
    }
    if (m_isStreaming && m_attemptEvents > MaxUntimedEvents) {
        m_proxy.servers.recordEventInterval(m_choice.server.id, (now() - m_attemptFirstEventAt) / (m_attemptEvents - 1), now());
    }
    // Neither an error nor a response that ends with its connection shows that the server has survived the request.
    if (isSuccess(m_head.status) && !m_endsWithConnection) {
        m_proxy.recordHarmless(m_features, m_attemptStartedAt);
    }
    recordTurnEnd();
    endAttempt(isSuccess(m_head.status) && !m_continuesAnswer);
    if (!m_conversation || !isSuccess(m_head.status)) {
        endAnswer(rest);
        return;
    }
    if (!rest.empty()) {
        m_conversation->addEvents(rest);
    }
    m_isStoringTurn = true;
    m_conversation->storeTurn([weak = weak_from_this(), rest] {
        if (const auto self = weak.lock()) {
            self->endAnswer(rest);
        }
    });
}

void Exchange::endAnswer(const std::string &rest)
{
    m_isStoringTurn = false;
    if (!m_hasBegunAnswer) {
        if (!m_isStreaming && m_head.hasBody) {
            m_head.length = m_bufferedBody.size();
        }
        beginAnswer();
    }
    if (!rest.empty()) {
        // The last event may lack its empty line; its tokens still count.
        m_forwardedEvents++;
    }
    forwardToClient(m_isStreaming ? rest : m_bufferedBody);
    if (!m_head.length && m_head.hasBody && !m_request.isHttp10 && !m_isClientDisconnected) {
        m_session->write(LastChunk);
    }
    finishAnswer();
}

void Exchange::finishAnswer()
{
    const unsigned status = m_head.status;
    const bool keepsAlive = m_request.keepsAlive && !(m_request.isHttp10 && !m_head.length);
    if (!m_isClientDisconnected) {
        m_isAnswerComplete = true;
        m_session->finish(keepsAlive);
    }
    end(status, m_isClientDisconnected ? Outcome::ClientGone : Outcome::Answered);
}

void Exchange::onClientDrained()
{
    if (m_connection) {
        m_connection->resume();
    }
}

} // namespace Vanillahall::Forward
