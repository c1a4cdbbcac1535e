#include "socket_option_func.h"

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr int KeepAliveIdleSeconds = 2;     ///< Idle time before the first keep-alive probe.
constexpr int KeepAliveIntervalSeconds = 1; ///< Interval between probes.
constexpr int KeepAliveProbes = 2;          ///< A connection is closed after this number of unanswered probes.

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    const int fd = socket.native_handle();
    setUnacknowledgedLimit(socket, UnacknowledgedLimit);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds, sizeof(KeepAliveIdleSeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds, sizeof(KeepAliveIntervalSeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof(KeepAliveProbes));
}

void setUnacknowledgedLimit(boost::asio::ip::tcp::socket &socket, std::optional<Duration> limit)
{
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(limit.value_or(Duration::zero()));
    const auto ms = static_cast<unsigned>(span.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

void connectTo(boost::asio::ip::tcp::socket &socket,
               const std::string &address,
               std::uint16_t port,
               std::function<void(const ConnectError &error)> connected)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (ec) {
        boost::asio::post(socket.get_executor(), [connected = std::move(connected)] {
            connected({"address can't be read", false});
        });
        return;
    }
    socket.async_connect({ip, port}, [&socket, connected = std::move(connected)](const boost::system::error_code &error) {
        if (error) {
            connected({"connect: " + error.message(), error == boost::asio::error::connection_refused});
            return;
        }
        setSocketOptions(socket);
        connected({});
    });
}

} // namespace Vanillahall::Forward
