#include "socket_option_func.h"

#include <netinet/tcp.h>

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

} // namespace Vanillahall::Forward
