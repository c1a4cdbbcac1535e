/** Internal state of WaitQueue. */
#pragma once

#include "vanillahall/core/wait_queue_base.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Vanillahall {

/** Calls of nearly equal urgency form one level, within which customers get fair shares. */
using UrgencyLevel = Number<struct UrgencyLevelTag, std::int64_t>;

/** Position of a call among those of its customer at its level. */
struct QueuePosition
{
    WallTime latestStart; ///< Latest time at which the program can continue and still meet its target.
    TimePoint acceptedAt; ///< When the call was accepted.
    CallKey key;          ///< Which call; breaks ties.

    bool operator==(const QueuePosition &) const = default;
    auto operator<=>(const QueuePosition &other) const
    {
        return std::tie(latestStart, acceptedAt, key) <=> std::tie(other.latestStart, other.acceptedAt, other.key);
    }
};

/** Position of a call by age. */
struct AgePosition
{
    TimePoint acceptedAt; ///< When the call was accepted.
    CallKey key;          ///< Which call; breaks ties.

    bool operator==(const AgePosition &) const = default;
    auto operator<=>(const AgePosition &other) const
    {
        return std::tie(acceptedAt, key) <=> std::tie(other.acceptedAt, other.key);
    }
};

/** Calls of one level by customer. */
using LevelCalls = std::map<CustomerName, std::set<QueuePosition>>;

/** One call in the queue. */
struct QueuedCall
{
    WaitingCall call;       ///< As pushed.
    QueuePosition position; ///< Position at its level.
    UrgencyLevel level;     ///< Current level.
};

/** Fair-share accounting of one customer. */
struct CustomerShare
{
    Duration servedWork{};   ///< Expected work started for it, relative to the virtual time common to all customers.
    std::uint32_t waiting{}; ///< Number of its waiting calls.
};

struct WaitQueueState
{
    std::unordered_map<CallKey, QueuedCall> calls;          ///< All waiting calls.
    std::map<UrgencyLevel, LevelCalls> levels;              ///< By urgency; the last level is for calls that are late or have no target.
    std::set<QueuePosition> onTime;                         ///< Calls that are not late, by latest start.
    std::set<AgePosition> byAge;                            ///< All waiting calls, oldest first.
    std::unordered_map<CustomerName, CustomerShare> shares; ///< By customer.
    Duration virtualTime{};               ///< Minimum `servedWork` of a customer whose first call is queued; idle time earns no credit.
    std::uint32_t popsSinceOldestFirst{}; ///< Calls taken by urgency since one was taken by age.
    Duration totalWork{};                 ///< Of all waiting calls.
};

} // namespace Vanillahall
