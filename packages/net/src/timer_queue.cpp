#include "timer_queue.h"

#include <utility>

namespace Vanillahall {

TimerId TimerQueue::add(TimePoint due, Task task)
{
    const TimerId id{++m_lastId};
    m_byId.emplace(id, m_timers.emplace(due, Timer{id, std::move(task)}));
    return id;
}

void TimerQueue::remove(TimerId timer)
{
    const auto it = m_byId.find(timer);
    if (it != m_byId.end()) {
        m_timers.erase(it->second);
        m_byId.erase(it);
    }
}

std::optional<TimePoint> TimerQueue::nextDue() const
{
    if (m_timers.empty()) {
        return std::nullopt;
    }
    return m_timers.begin()->first;
}

void TimerQueue::runDue(TimePoint now)
{
    const std::uint64_t newest = m_lastId;
    auto it = m_timers.begin();
    while (it != m_timers.end() && it->first <= now) {
        if (it->second.id.value > newest) {
            ++it;
            continue;
        }
        const Task task = std::move(it->second.task);
        m_byId.erase(it->second.id);
        m_timers.erase(it);
        task();
        it = m_timers.begin();
    }
}

} // namespace Vanillahall
