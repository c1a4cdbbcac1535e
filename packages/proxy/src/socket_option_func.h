/** Options of sockets. */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** Sends small pieces at once and notices a peer that fell silent. Options that the system doesn't know are left out. */
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace Vanillahall::Forward
