/** Connecting sockets and setting their options. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** A connection is closed if sent bytes stay unacknowledged, or its peer's receive window closed, for this time; see SendProgress. */
inline constexpr Duration UnacknowledgedLimit = std::chrono::seconds(2);

/** Disables Nagle's algorithm and enables the detection of unresponsive peers. Options that the system doesn't support are ignored. */
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/** Sets the time after which the kernel closes a connection whose peer takes no bytes; nothing for the kernel's default of minutes. */
void setUnacknowledgedLimit(boost::asio::ip::tcp::socket &socket, std::optional<Duration> limit);

/** Why a socket couldn't be connected. */
struct ConnectError
{
    std::string message;     ///< Error text for the log; empty on success.
    bool wasRefused = false; ///< True if no process listens at the port.
};

/**
 * Connects a socket and sets its options.
 * @param socket Must live until `connected` is called; `connected` may hold a reference to its owner for that.
 * @param connected Called later, with an empty message on success or with the error.
 */
void connectTo(boost::asio::ip::tcp::socket &socket,
               const std::string &address,
               std::uint16_t port,
               std::function<void(const ConnectError &error)> connected);

} // namespace Vanillahall::Forward
