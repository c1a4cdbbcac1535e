/** Timers of objects that may be gone when they are due. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

/**
 * Calls `act` with the owner after a span, unless the owner is gone or the timer was stopped or set again.
 * @param timer Member of the owner; what it waited for before is given up.
 */
template<typename Owner, typename Act>
void runAfter(boost::asio::steady_timer &timer, Duration span, Owner &owner, Act act)
{
    timer.expires_after(span);
    timer.async_wait([&timer, weak = owner.weak_from_this(), act](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        // A timer that was due before it was stopped or set again still comes here without an error.
        if (!ec && self && timer.expiry() <= boost::asio::steady_timer::clock_type::now()) {
            act(*self);
        }
    });
}

/** Stops a timer, also if it is due already. */
inline void stopTimer(boost::asio::steady_timer &timer)
{
    timer.expires_at(boost::asio::steady_timer::time_point::max());
}

} // namespace Vanillahall::Forward
