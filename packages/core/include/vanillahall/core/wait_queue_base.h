/** The calls that wait at a gate, in the order in which they should start. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace Vanillahall {

/** One waiting call, as far as its place in the queue depends on it. */
struct WaitingCall
{
    CallKey key;             ///< Which call.
    CustomerName customer;   ///< For fair sharing.
    Urgency urgency;         ///< Deadline and expected remaining work of the whole program.
    TimePoint acceptedAt;    ///< When it came.
    Duration expectedWork{}; ///< Expected time at the backend server.
};

struct WaitQueueState;

/** Orders waiting calls by what their whole program still needs. */
class WaitQueue
{
public:
    WaitQueue();
    ~WaitQueue();
    WaitQueue(WaitQueue &&) noexcept;
    WaitQueue &operator=(WaitQueue &&) noexcept;

    /** Adds a call. @pre It isn't in the queue. */
    void push(const WaitingCall &call);

    /** Removes a call that no longer waits. @return True if it was there. */
    bool remove(const CallKey &key);

    /** Takes the call that should start now. */
    std::optional<WaitingCall> pop(Now now);

    [[nodiscard]] std::size_t size() const;

    /** @return Sum of the expected work of all waiting calls. */
    [[nodiscard]] Duration totalWork() const;

private:
    std::unique_ptr<WaitQueueState> m_state;
};

} // namespace Vanillahall
