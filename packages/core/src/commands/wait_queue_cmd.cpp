#include "wait_queue_state_type.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::chrono::milliseconds LevelWidth(100);                        ///< Latest starts within this are equally urgent.
constexpr std::uint32_t OldestEvery = 8;                                    ///< One call in this many is taken by age; bounds every wait.
constexpr UrgencyLevel LateLevel{std::numeric_limits<std::int64_t>::max()}; ///< Programs that are late or have no target.

/** @return When a call's program must go on at the latest. All without a target are equal. */
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
    return QueuedCall{call, QueuePosition{latest, call.since, call.key}, level};
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

/** Moves programs that have become late to the last level, where they stand by age. */
void moveLate(WaitQueueState &state, WallTime now)
{
    while (!state.timely.empty() && state.timely.begin()->latestStart < now) {
        QueuedCall &queued = state.calls.at(state.timely.begin()->key);
        state.timely.erase(state.timely.begin());
        removeFromLevel(state, queued);
        queued.level = LateLevel;
        queued.position.latestStart = WallTime::max();
        insertIntoLevel(state, queued);
    }
}

WaitingCall take(WaitQueueState &state, const CallKey &key)
{
    const auto it = state.calls.find(key);
    const QueuedCall queued = std::move(it->second);
    state.calls.erase(it);
    removeFromLevel(state, queued);
    state.timely.erase(queued.position);
    state.ages.erase(AgePosition{queued.call.since, key});
    state.totalWork -= queued.call.work;
    state.shares.at(queued.call.customer).waiting--;
    return queued.call;
}

/** @return The most urgent call; at equal urgency that of the customer who was served least. */
CallKey mostUrgent(const WaitQueueState &state)
{
    const LevelCalls &level = state.levels.begin()->second;
    const auto least = std::min_element(level.begin(), level.end(), [&state](const auto &left, const auto &right) {
        return state.shares.at(left.first).served < state.shares.at(right.first).served;
    });
    return least->second.begin()->key;
}

void noteServed(WaitQueueState &state, const WaitingCall &call)
{
    Duration &served = state.shares.at(call.customer).served;
    state.servedLevel = std::max(state.servedLevel, served);
    served += call.work;
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
        share.served = std::max(share.served, m_state->servedLevel);
    }
    share.waiting++;
    insertIntoLevel(*m_state, queued);
    if (queued.level != LateLevel) {
        m_state->timely.insert(queued.position);
    }
    m_state->ages.insert(AgePosition{call.since, call.key});
    m_state->totalWork += call.work;
    m_state->calls.emplace(call.key, queued);
}

bool WaitQueue::remove(const CallKey &key)
{
    if (!m_state->calls.contains(key)) {
        return false;
    }
    take(*m_state, key);
    return true;
}

std::optional<WaitingCall> WaitQueue::pop(Now now)
{
    if (m_state->calls.empty()) {
        return std::nullopt;
    }
    moveLate(*m_state, now.wall);
    const bool byAge = ++m_state->popsSinceOldest >= OldestEvery;
    if (byAge) {
        m_state->popsSinceOldest = 0;
    }
    WaitingCall call = take(*m_state, byAge ? m_state->ages.begin()->key : mostUrgent(*m_state));
    noteServed(*m_state, call);
    return call;
}

} // namespace Vanillahall
