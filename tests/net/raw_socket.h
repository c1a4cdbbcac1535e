/** Plain TCP sockets for simulating peers that violate the protocol. */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Vanillahall {

/** A TCP connection on the loopback interface. */
class RawSocket
{
public:
    explicit RawSocket(int fd)
        : m_fd(fd)
    {
    }

    /** Connects to a port. @param receiveBuffer Size of the receive buffer in bytes; 0 for the system default. */
    static RawSocket connectTo(std::uint16_t port, int receiveBuffer = 0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const sockaddr_in address = loopback(port);
        (void)connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        return RawSocket(fd);
    }

    RawSocket(RawSocket &&other) noexcept
        : m_fd(other.m_fd)
        , m_text(std::move(other.m_text))
        , m_ended(other.m_ended)
    {
        other.m_fd = -1;
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    RawSocket &operator=(RawSocket &&) = delete;

    ~RawSocket()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
    }

    void send(std::string_view bytes) const
    {
        (void)::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /** Reads available bytes without blocking. @return All bytes received so far. */
    const std::string &text()
    {
        std::array<char, 65536> buf{};
        ssize_t n = 0;
        while ((n = recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT)) > 0) {
            m_text.append(buf.data(), static_cast<std::size_t>(n));
        }
        m_ended = n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return m_text;
    }

    /** @return True once the peer has closed the connection. */
    bool ended()
    {
        text();
        return m_ended;
    }

    /** Closes the connection with a reset. */
    void reset()
    {
        const linger hard{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close(m_fd);
        m_fd = -1;
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

private:
    int m_fd;
    std::string m_text;
    bool m_ended = false;
};

/** A listening socket on the loopback interface. */
class RawListener
{
public:
    explicit RawListener(int backlog = 16)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address = RawSocket::loopback(0);
        socklen_t length = sizeof(address);
        (void)bind(m_fd, reinterpret_cast<const sockaddr *>(&address), length);
        (void)listen(m_fd, backlog);
        (void)getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    ~RawListener()
    {
        close(m_fd);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    /** @return Descriptor of a new connection; -1 if none is pending. */
    [[nodiscard]] int accept() const
    {
        return ::accept(m_fd, nullptr, nullptr);
    }

private:
    int m_fd;
    std::uint16_t m_port = 0;
};

} // namespace Vanillahall
