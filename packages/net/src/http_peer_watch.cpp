#include "http_server_state.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <unistd.h>

namespace Vanillahall {

namespace {

constexpr int MaxPeerEvents = 64; ///< Maximum number of epoll events handled at once.

} // namespace

// While an HTTP/1.1 request is in progress, the library does not read from its connection but still polls it for input, so it would
// busy-loop on end of file. Reading is therefore paused while there is nothing to write, and a separate epoll instance reports when the
// caller disconnects. The library does not write while reading is paused, so reading is resumed while there is something to write.

bool HttpServerState::createPeerEpoll(Error &reason)
{
    peerEpoll = epoll_create1(EPOLL_CLOEXEC);
    lws_sock_file_fd_type fd;
    fd.filefd = peerEpoll;
    const bool ok = peerEpoll >= 0 && lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "watch", nullptr) != nullptr;
    if (!ok) {
        reason.peer = name;
        reason.message = std::string("cannot create the epoll instance that detects disconnected callers: ") + std::strerror(errno);
    }
    return ok;
}

void HttpServerState::watchPeer(const ServerExchange &exchange)
{
    if (exchange.multiplexed) {
        return;
    }
    pauseReading(exchange, true);
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = exchange.id.value;
    epoll_ctl(peerEpoll, EPOLL_CTL_ADD, lws_get_socket_fd(exchange.wsi), &event);
}

void HttpServerState::unwatchPeer(const ServerExchange &exchange)
{
    if (exchange.multiplexed || !exchange.delivered) {
        return;
    }
    epoll_ctl(peerEpoll, EPOLL_CTL_DEL, lws_get_socket_fd(exchange.wsi), nullptr);
    pauseReading(exchange, false);
}

void HttpServerState::pauseReading(const ServerExchange &exchange, bool pause)
{
    if (!exchange.multiplexed && exchange.delivered) {
        lws_rx_flow_control(exchange.wsi, pause ? 0 : 1);
    }
}

void HttpServerState::onPeersDisconnected()
{
    std::array<epoll_event, MaxPeerEvents> events{};
    const int n = epoll_wait(peerEpoll, events.data(), MaxPeerEvents, 0);
    for (int i = 0; i < n; ++i) {
        if (ServerExchange *exchange = find(HttpExchangeId{events[static_cast<std::size_t>(i)].data.u64})) {
            closeConnection(*exchange);
        }
    }
}

} // namespace Vanillahall
