#include "client_session.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "response_text_func.h"
#include "socket_option_func.h"

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxUnsentBytes = std::size_t{128} * 1024; ///< Bytes buffered for a slow client before reading from the server pauses.
constexpr std::size_t MaxUnsentBytesIfShort = std::size_t{16} * 1024; ///< The same while memory for clients is short.

} // namespace

ClosableClient ClientSession::state() const
{
    const auto bytes = m_heldHead.bytes() + m_heldResponse.bytes() + m_reservedBodyBytes;
    return {m_number, bytes, m_heldSince, m_progressAt, m_isClosing, m_hasBeenServed};
}

std::optional<ClosableClient> ClientSession::closableState() const
{
    return m_isAnswering || m_isClosed ? std::nullopt : std::optional(state());
}

std::optional<ClosableClient> ClientSession::waitingState() const
{
    return m_isAnswering && !m_isClosed && unsentBytes() == 0 ? std::optional(state()) : std::nullopt;
}

std::optional<ClosableClient> ClientSession::unreadState() const
{
    const bool isUnread = unsentBytes() != 0 && now() - m_progressAt >= UnacknowledgedLimit;
    return m_isAnswering && !m_isClosed && isUnread ? std::optional(state()) : std::nullopt;
}

std::size_t ClientSession::unsentBytes() const
{
    return m_out.size() + m_sending.size();
}

std::size_t ClientSession::maxUnsentBytes() const
{
    return m_handler.account()->isShort() ? MaxUnsentBytesIfShort : MaxUnsentBytes;
}

void ClientSession::updateHeldBytes()
{
    // The fields that are forwarded and the parsed attributes take about as much as the head itself, each.
    m_heldHead.set(m_in.capacity() + 2 * m_headBytes);
    m_heldResponse.set(m_out.capacity() + m_sending.capacity());
    m_handler.onMemoryHeld();
}

bool ClientSession::reserveBody()
{
    const auto size = m_reader.bodySize();
    if (!m_handler.reserveBodyBytes(m_reservedBodyBytes, size)) {
        m_handler.makeRoomForBody(size - m_reservedBodyBytes);
        if (m_isClosing || m_isClosed) {
            return false;
        }
        if (!m_handler.reserveBodyBytes(m_reservedBodyBytes, size)) {
            refuse({StatusUnavailable, "memory limit for request bodies exceeded", ShortRetryAfter});
            return false;
        }
    }
    m_reservedBodyBytes = size;
    return true;
}

void ClientSession::evict()
{
    if (m_isAnswering) {
        disconnect();
        return;
    }
    if (m_isClosing || !m_reader.hasBegun() || unsentBytes() != 0) {
        close();
        return;
    }
    refuse({StatusUnavailable, "closed to release memory or connections", ShortRetryAfter});
}

void ClientSession::releaseInput()
{
    m_reader = {};
    std::string().swap(m_in);
    m_headBytes = 0;
    m_handler.reserveBodyBytes(m_reservedBodyBytes, 0);
    m_reservedBodyBytes = 0;
}

void ClientSession::releaseHeldBytes()
{
    releaseInput();
    m_heldConnection.set(0);
    m_heldHead.set(0);
    m_heldResponse.set(0);
}

} // namespace Vanillahall::Forward
