/** Connecting sockets and setting their options. */
#pragma once

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** Disables Nagle's algorithm and enables the detection of unresponsive peers. Options that the system doesn't support are ignored. */
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/**
 * Connects a socket and sets its options.
 * @param socket Must live until `connected` is called; `connected` may hold a reference to its owner for that.
 * @param connected Called later, with an empty string on success or with the error.
 */
void connectTo(boost::asio::ip::tcp::socket &socket,
               const std::string &address,
               std::uint16_t port,
               std::function<void(const std::string &fault)> connected);

} // namespace Vanillahall::Forward
