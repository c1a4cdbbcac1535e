#include "socket_option_func.h"

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr int UnansweredMs = 2000;   ///< Sent bytes that the peer doesn't confirm for so long mean a dead connection.
constexpr int ProbeAfterSeconds = 2; ///< Silence before the first probe.
constexpr int ProbeEverySeconds = 1; ///< Between probes.
constexpr int Probes = 2;            ///< Unanswered probes that mean a dead connection.

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    const int fd = socket.native_handle();
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnansweredMs, sizeof(UnansweredMs));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeAfterSeconds, sizeof(ProbeAfterSeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeEverySeconds, sizeof(ProbeEverySeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
}

void connectTo(boost::asio::ip::tcp::socket &socket,
               const std::string &address,
               std::uint16_t port,
               std::function<void(const std::string &fault)> connected)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (ec) {
        boost::asio::post(socket.get_executor(), [connected = std::move(connected)] {
            connected("address can't be read");
        });
        return;
    }
    socket.async_connect({ip, port}, [&socket, connected = std::move(connected)](const boost::system::error_code &error) {
        if (error) {
            connected("connect: " + error.message());
            return;
        }
        setSocketOptions(socket);
        connected({});
    });
}

} // namespace Vanillahall::Forward
