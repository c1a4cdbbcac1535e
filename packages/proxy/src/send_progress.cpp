#include "send_progress.h"

#include "socket_option_func.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace Vanillahall::Forward {

namespace {

/** Bytes that a connection's peer hasn't acknowledged. */
struct SendQueue
{
    int bytes = 0;             ///< Bytes that were written and aren't acknowledged.
    int unsentBytes = 0;       ///< The part of them that wasn't sent yet.
    unsigned openProbes = 0;   ///< Unanswered probes of a closed receive window.
    unsigned openSegments = 0; ///< Segments that were sent and aren't acknowledged.
};

/** @return Send queue of a connection; nothing if the system doesn't tell it. */
std::optional<SendQueue> sendQueue(int fd)
{
    SendQueue queue;
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (ioctl(fd, SIOCOUTQ, &queue.bytes) != 0 || ioctl(fd, SIOCOUTQNSD, &queue.unsentBytes) != 0
        || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    queue.openProbes = info.tcpi_probes;
    queue.openSegments = info.tcpi_unacked;
    return queue;
}

} // namespace

SendProgress::SendProgress(boost::asio::ip::tcp::socket &socket)
    : m_socket(socket)
{
}

SendState SendProgress::update(TimePoint now)
{
    const auto queue = m_socket.is_open() ? sendQueue(m_socket.native_handle()) : std::nullopt;
    if (!queue) {
        m_state = SendState::Delivered;
        return m_state;
    }
    if (queue->bytes < m_queuedBytes) {
        m_advancedAt = now;
    }
    m_queuedBytes = queue->bytes;
    // The kernel sends nothing but window probes then, and ends the connection only after minutes without an answer.
    const bool isWindowClosed = queue->unsentBytes != 0 && queue->openSegments == 0;
    setUserTimeout(isWindowClosed);
    if (isWindowClosed && queue->openProbes != 0) {
        m_unansweredSince = m_unansweredSince.value_or(now);
    } else {
        m_unansweredSince.reset();
    }
    if (m_unansweredSince && now - *m_unansweredSince >= UnacknowledgedLimit) {
        m_state = SendState::Unreachable;
    } else {
        m_state = queue->bytes != 0 ? SendState::Pending : SendState::Delivered;
    }
    return m_state;
}

void SendProgress::setUserTimeout(bool isWindowClosed)
{
    if (isWindowClosed == m_isWindowClosed) {
        return;
    }
    m_isWindowClosed = isWindowClosed;
    setUnacknowledgedLimit(m_socket, isWindowClosed ? std::nullopt : std::optional(UnacknowledgedLimit));
}

SendState SendProgress::state() const
{
    return m_state;
}

std::optional<TimePoint> SendProgress::advancedAt() const
{
    return m_advancedAt;
}

} // namespace Vanillahall::Forward
