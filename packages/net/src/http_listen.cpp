#include "http_server_state.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Vanillahall {

namespace {

constexpr int ListenBacklog = 1024;    ///< Maximum number of connections waiting to be accepted.
constexpr int MaxAcceptsPerEvent = 64; ///< Maximum number of connections accepted per event.
constexpr lws_protocols Protocols[] = {{"http", serverCallback, 0, 0, 0, nullptr, 0},
                                       {"accept", serverCallback, 0, 0, 0, nullptr, 0},
                                       {"watch", serverCallback, 0, 0, 0, nullptr, 0},
                                       {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

Error listenError(const std::string &peer, const std::string &what)
{
    Error error;
    error.peer = peer;
    error.message = what + ": " + std::strerror(errno);
    return error;
}

struct Address
{
    sockaddr_storage bytes{}; ///< Address in the form used by the socket functions.
    socklen_t length = 0;     ///< Number of bytes used.
};

std::optional<Address> parseAddress(const std::string &text, std::uint16_t port)
{
    Address address;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.bytes);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.bytes);
    if (inet_pton(AF_INET, text.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        address.length = sizeof(sockaddr_in);
    } else if (inet_pton(AF_INET6, text.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        address.length = sizeof(sockaddr_in6);
    } else {
        return std::nullopt;
    }
    return address;
}

/** @return A listening socket, or -1. */
int openListener(const Address &address)
{
    const int fd = socket(address.bytes.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address.bytes), address.length) != 0 || ::listen(fd, ListenBacklog) != 0) {
        const int reason = errno;
        close(fd);
        errno = reason;
        return -1;
    }
    return fd;
}

std::uint16_t portOf(int fd)
{
    Address address;
    address.length = sizeof(address.bytes);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address.bytes), &address.length);
    if (address.bytes.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address.bytes)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address.bytes)->sin_port);
}

} // namespace

bool HttpServerState::makeVhost(Error &reason)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = Protocols;
    info.vhost_name = name.c_str();
    info.user = &owner;
    info.keepalive_timeout = static_cast<int>(std::chrono::ceil<std::chrono::seconds>(settings.idleTimeout).count());
    info.timeout_secs_ah_idle = static_cast<unsigned int>(std::chrono::ceil<std::chrono::seconds>(settings.bodyTimeout).count());
    if (!settings.tls.certificate.empty()) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.ssl_cert_filepath = settings.tls.certificate.c_str();
        info.ssl_private_key_filepath = settings.tls.key.c_str();
        info.alpn = "h2,http/1.1";
        if (!settings.tls.authority.empty()) {
            info.ssl_ca_filepath = settings.tls.authority.c_str();
            info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
        }
    }
    vhost = lws_create_vhost(loop.context, &info);
    if (vhost == nullptr) {
        reason.peer = name;
        reason.message = "the certificate or its key can't be used: " + settings.tls.certificate;
    }
    return vhost != nullptr;
}

std::optional<std::uint16_t> HttpServerState::listen(Error &reason)
{
    const auto address = parseAddress(settings.address, settings.port);
    name = settings.address + ":" + std::to_string(settings.port);
    if (!address) {
        errno = EINVAL;
        reason = listenError(name, "address");
        return std::nullopt;
    }
    listenSocket = openListener(*address);
    if (listenSocket < 0) {
        reason = listenError(name, "listen");
        return std::nullopt;
    }
    const std::uint16_t port = portOf(listenSocket);
    name = settings.address + ":" + std::to_string(port);
    if (!makeVhost(reason) || !createPeerEpoll(reason)) {
        close(listenSocket);
        return std::nullopt;
    }
    lws_sock_file_fd_type fd;
    fd.filefd = listenSocket;
    listener = lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "accept", nullptr);
    if (listener == nullptr) {
        reason.peer = name;
        reason.message = "the listening socket could not be added to the loop";
        return std::nullopt;
    }
    return port;
}

void HttpServerState::stopListening()
{
    if (listener != nullptr) {
        lws_set_timeout(listener, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
        listener = nullptr;
    }
}

void HttpServerState::acceptAll()
{
    for (int i = 0; i < MaxAcceptsPerEvent; ++i) {
        const int fd = accept4(listenSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (connections.size() - closingConnections >= settings.maxConnections && !closeIdleConnection()) {
            close(fd);
            continue;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        if (lws *wsi = lws_adopt_socket_vhost(vhost, fd)) {
            addConnection(wsi);
        }
    }
}

void HttpServerState::addConnection(lws *wsi)
{
    connections[wsi].number = ++lastConnection;
    connections[wsi].timer = loop.startTimer(settings.bodyTimeout, [wsi] {
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    });
}

void HttpServerState::removeConnection(lws *wsi)
{
    const auto it = connections.find(wsi);
    if (it != connections.end()) {
        loop.stopTimer(it->second.timer);
        closingConnections -= it->second.isClosing ? 1 : 0;
        connections.erase(it);
    }
}

bool HttpServerState::closeIdleConnection()
{
    auto oldest = connections.end();
    for (auto it = connections.begin(); it != connections.end(); ++it) {
        const bool isIdle = it->second.exchanges == 0 && !it->second.isClosing;
        if (isIdle && (oldest == connections.end() || it->second.number < oldest->second.number)) {
            oldest = it;
        }
    }
    if (oldest == connections.end()) {
        return false;
    }
    oldest->second.isClosing = true;
    closingConnections++;
    lws_set_timeout(oldest->first, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    return true;
}

void HttpServerState::onExchangeStarted(lws *wsi)
{
    const auto it = connections.find(lws_get_network_wsi(wsi));
    if (it != connections.end()) {
        ++it->second.exchanges;
        loop.stopTimer(it->second.timer);
    }
}

void HttpServerState::onExchangeEnded(lws *wsi)
{
    lws *connection = lws_get_network_wsi(wsi);
    const auto it = connections.find(connection);
    if (it != connections.end() && --it->second.exchanges == 0) {
        loop.stopTimer(it->second.timer);
        it->second.timer = loop.startTimer(settings.idleTimeout, [connection] {
            lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        });
    }
}

} // namespace Vanillahall
