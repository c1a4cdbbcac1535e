/** Timers whose owner may be destroyed before they expire. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

/**
 * Calls `act` with the owner after a delay, unless the owner is destroyed or the timer is stopped or set again before.
 * @param timer Member of the owner; a call that it was set for before is cancelled.
 */
template<typename Owner, typename Act>
void runAfter(boost::asio::steady_timer &timer, Duration span, Owner &owner, Act act)
{
    timer.expires_after(span);
    timer.async_wait([&timer, weak = owner.weak_from_this(), act, expiry = timer.expiry()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        // If the timer expired before it was stopped or set again, the handler is still called without an error. Another expiry time shows
        // that, also if the timer was set to expire at once.
        if (!ec && self && timer.expiry() == expiry) {
            act(*self);
        }
    });
}

/** Stops a timer; its handler isn't called even if it has already expired. */
inline void stopTimer(boost::asio::steady_timer &timer)
{
    timer.expires_at(boost::asio::steady_timer::time_point::max());
}

} // namespace Vanillahall::Forward
