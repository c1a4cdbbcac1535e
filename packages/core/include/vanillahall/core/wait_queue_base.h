/** Queue of the calls that wait at a gate. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace Vanillahall {

/** Attributes of a waiting call that determine its queue position. */
struct WaitingCall
{
    CallKey key;             ///< Which call.
    CustomerName customer;   ///< For fair sharing.
    Urgency urgency;         ///< Deadline and expected remaining work of the whole program.
    TimePoint acceptedAt;    ///< When it was accepted.
    Duration expectedWork{}; ///< Expected run time at the backend server.
};

struct WaitQueueState;

/**
 * Orders waiting calls by the latest start that meets the target of their program, with fair shares for customers
 * at equal urgency. Takes some calls by age, which bounds every wait.
 */
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

    /** Removes and returns the call to start next; nothing if the queue is empty. */
    std::optional<WaitingCall> pop(Now now);

    [[nodiscard]] std::size_t size() const;

    /** @return Sum of the expected work of all waiting calls. */
    [[nodiscard]] Duration totalWork() const;

private:
    std::unique_ptr<WaitQueueState> m_state;
};

} // namespace Vanillahall
