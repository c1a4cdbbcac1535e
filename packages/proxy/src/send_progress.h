/** Watches whether the peer of a connection takes the bytes that were sent to it. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** What has become of the bytes written to a connection. */
enum class SendState {
    Delivered,   ///< The peer's system has acknowledged all of them.
    Pending,     ///< Some are unacknowledged, or unsent because the peer reads slowly.
    Unreachable, ///< The peer's receive window is closed, and its system no longer answers.
};

/** Interval between calls of SendProgress::update() while bytes are pending; several fit into the time limit for acknowledgements. */
inline constexpr Duration SendCheckInterval = std::chrono::milliseconds(500);

/**
 * Keeps a connection open while its peer acknowledges bytes but doesn't read them. TCP_USER_TIMEOUT alone would end it, since it also
 * limits the time for which the peer's receive window is closed.
 */
class SendProgress
{
public:
    /** @param socket Must outlive this object. */
    explicit SendProgress(boost::asio::ip::tcp::socket &socket);

    // Commands.

    /** Updates the state from the system's. Without information from the system, bytes count as delivered. */
    SendState update(TimePoint now);

    // Queries.

    /** @return State as of the last update(). */
    [[nodiscard]] SendState state() const;
    /** @return When an update() last found that the peer had taken bytes; nothing if none has. */
    [[nodiscard]] std::optional<TimePoint> advancedAt() const;

private:
    void setUserTimeout(bool isWindowClosed);

    boost::asio::ip::tcp::socket &m_socket;
    SendState m_state = SendState::Delivered;
    int m_queuedBytes = 0;                      ///< Bytes that weren't acknowledged at the last update.
    std::optional<TimePoint> m_advancedAt;      ///< When an update last found fewer of them.
    std::optional<TimePoint> m_unansweredSince; ///< When a window probe was first found unanswered.
    bool m_isWindowClosed = false;              ///< True while the user timeout is off.
};

} // namespace Vanillahall::Forward
