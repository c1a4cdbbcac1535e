#include "wait_queue_state_type.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::chrono::milliseconds LevelWidth(100); ///< Width of a level of latest starts that count as equally urgent.
constexpr std::uint32_t OldestFirstInterval = 8;     ///< Every n-th call is taken by age, which bounds every wait.
constexpr UrgencyLevel LateLevel{std::numeric_limits<std::int64_t>::max()}; ///< For programs that are late or have no target.

/** @return Latest time at which the program can continue and still meet its target; equal for all without a target. */
WallTime latestStart(const Urgency &urgency)
{
    if (!urgency.hasTarget) {
        return WallTime::max();
    }
    return urgency.deadline - std::chrono::duration_cast<std::chrono::milliseconds>(urgency.remaining);
}

QueuedCall queuedCall(const WaitingCall &call)
{
    const WallTime latest = latestStart(call.urgency);
    UrgencyLevel level = LateLevel;
    if (call.urgency.hasTarget) {
        level = UrgencyLevel{latest.time_since_epoch() / LevelWidth};
    }
    return QueuedCall{call, QueuePosition{latest, call.acceptedAt, call.key}, level};
}

void insertIntoLevel(WaitQueueState &state, const QueuedCall &queued)
{
    state.levels[queued.level][queued.call.customer].insert(queued.position);
}

void removeFromLevel(WaitQueueState &state, const QueuedCall &queued)
{
    const auto level = state.levels.find(queued.level);
    const auto customer = level->second.find(queued.call.customer);
    customer->second.erase(queued.position);
    if (customer->second.empty()) {
        level->second.erase(customer);
    }
    if (level->second.empty()) {
        state.levels.erase(level);
    }
}

/** Moves calls of programs that have become late to the last level, where they are ordered by age. */
void demoteLateCalls(WaitQueueState &state, WallTime now)
{
    while (!state.onTime.empty() && state.onTime.begin()->latestStart < now) {
        QueuedCall &queued = state.calls.at(state.onTime.begin()->key);
        state.onTime.erase(state.onTime.begin());
        removeFromLevel(state, queued);
        queued.level = LateLevel;
        queued.position.latestStart = WallTime::max();
        insertIntoLevel(state, queued);
    }
}

WaitingCall extract(WaitQueueState &state, const CallKey &key)
{
    const auto it = state.calls.find(key);
    const QueuedCall queued = std::move(it->second);
    state.calls.erase(it);
    removeFromLevel(state, queued);
    state.onTime.erase(queued.position);
    state.byAge.erase(AgePosition{queued.call.acceptedAt, key});
    state.totalWork -= queued.call.expectedWork;
    state.shares.at(queued.call.customer).waiting--;
    return queued.call;
}

/** @return The most urgent call; at equal urgency that of the customer with the least served work. */
CallKey mostUrgent(const WaitQueueState &state)
{
    const LevelCalls &level = state.levels.begin()->second;
    const auto least = std::min_element(level.begin(), level.end(), [&state](const auto &left, const auto &right) {
        return state.shares.at(left.first).servedWork < state.shares.at(right.first).servedWork;
    });
    return least->second.begin()->key;
}

void recordServed(WaitQueueState &state, const WaitingCall &call)
{
    Duration &servedWork = state.shares.at(call.customer).servedWork;
    state.virtualTime = std::max(state.virtualTime, servedWork);
    servedWork += call.expectedWork;
}

} // namespace

WaitQueue::WaitQueue()
    : m_state(std::make_unique<WaitQueueState>())
{
}

WaitQueue::~WaitQueue() = default;
WaitQueue::WaitQueue(WaitQueue &&) noexcept = default;
WaitQueue &WaitQueue::operator=(WaitQueue &&) noexcept = default;

void WaitQueue::push(const WaitingCall &call)
{
    const QueuedCall queued = queuedCall(call);
    CustomerShare &share = m_state->shares[call.customer];
    if (share.waiting == 0) {
        share.servedWork = std::max(share.servedWork, m_state->virtualTime);
    }
    share.waiting++;
    insertIntoLevel(*m_state, queued);
    if (queued.level != LateLevel) {
        m_state->onTime.insert(queued.position);
    }
    m_state->byAge.insert(AgePosition{call.acceptedAt, call.key});
    m_state->totalWork += call.expectedWork;
    m_state->calls.emplace(call.key, queued);
}

bool WaitQueue::remove(const CallKey &key)
{
    if (!m_state->calls.contains(key)) {
        return false;
    }
    extract(*m_state, key);
    return true;
}

std::optional<WaitingCall> WaitQueue::pop(Now now)
{
    if (m_state->calls.empty()) {
        return std::nullopt;
    }
    demoteLateCalls(*m_state, now.wall);
    const bool takesOldest = ++m_state->popsSinceOldestFirst >= OldestFirstInterval;
    if (takesOldest) {
        m_state->popsSinceOldestFirst = 0;
    }
    WaitingCall call = extract(*m_state, takesOldest ? m_state->byAge.begin()->key : mostUrgent(*m_state));
    recordServed(*m_state, call);
    return call;
}

} // namespace Vanillahall
