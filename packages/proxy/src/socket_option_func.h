/** Connections and options of sockets. */
#pragma once

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** Sends small pieces at once and notices a peer that fell silent. Options that the system doesn't know are left out. */
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/**
 * Connects a socket and sets its options.
 * @param socket Must outlive the call of `connected`, which may hold its owner for that.
 * @param connected Called later, with an empty text or with what went wrong.
 */
void connectTo(boost::asio::ip::tcp::socket &socket,
               const std::string &address,
               std::uint16_t port,
               std::function<void(const std::string &fault)> connected);

} // namespace Vanillahall::Forward
