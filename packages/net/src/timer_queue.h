/** Timers of a loop, ordered by due time. */
#pragma once

#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Vanillahall {

using TimerId = Number<struct TimerTag>; ///< One timer of a loop; 0 means none.

/** Queue of timers, ordered by due time. */
class TimerQueue
{
public:
    using Task = std::function<void()>; ///< Function to call when a timer is due.

    /** Adds a one-shot timer that is due at `due`. @return ID of the timer. */
    TimerId add(TimePoint due, Task task);

    /** Removes a timer; does nothing if it has already fired or been removed. */
    void remove(TimerId timer);

    /** @return Due time of the next timer; std::nullopt if there is none. */
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /** Removes and runs all timers that are due at `now`. Timers added by their tasks are not run before the next call. */
    void runDue(TimePoint now);

private:
    struct Timer
    {
        TimerId id; ///< ID of the timer.
        Task task;  ///< Function to call.
    };

    std::multimap<TimePoint, Timer> m_timers;
    std::unordered_map<TimerId, std::multimap<TimePoint, Timer>::iterator> m_byId;
    std::uint64_t m_lastId = 0;
};

} // namespace Vanillahall
