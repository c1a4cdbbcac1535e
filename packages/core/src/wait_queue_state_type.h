/** The inside of a wait queue. */
#pragma once

#include "vanillahall/core/wait_queue_base.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Vanillahall {

/** Calls of nearly equal urgency are one level; within it customers share fairly. */
using UrgencyLevel = Number<struct UrgencyLevelTag, std::int64_t>;

/** Place of a call among those of its customer at its level. */
struct QueuePosition
{
    WallTime latestStart; ///< When the program must go on at the latest to meet its target.
    TimePoint acceptedAt; ///< When it came.
    CallKey key;          ///< Which call; decides between equals.

    bool operator==(const QueuePosition &) const = default;
    auto operator<=>(const QueuePosition &other) const
    {
        return std::tie(latestStart, acceptedAt, key) <=> std::tie(other.latestStart, other.acceptedAt, other.key);
    }
};

/** Place of a call by age. */
struct AgePosition
{
    TimePoint acceptedAt; ///< When it came.
    CallKey key;          ///< Which call; decides between equals.

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
    QueuePosition position; ///< Where it stands.
    UrgencyLevel level;     ///< At which level.
};

/** What one customer has had. */
struct CustomerShare
{
    Duration servedWork{};   ///< Work started for it, on the scale common to all customers.
    std::uint32_t waiting{}; ///< Its waiting calls.
};

struct WaitQueueState
{
    std::unordered_map<CallKey, QueuedCall> calls;          ///< All waiting calls.
    std::map<UrgencyLevel, LevelCalls> levels;              ///< By urgency; the last level is for late programs.
    std::set<QueuePosition> onTime;                         ///< Calls that are not late, by latest start.
    std::set<AgePosition> byAge;                            ///< All waiting calls, oldest first.
    std::unordered_map<CustomerName, CustomerShare> shares; ///< By customer.
    Duration virtualTime{};                                 ///< Work that a customer is taken to have had when it comes back.
    std::uint32_t popsSinceOldestFirst{};                   ///< Calls taken by urgency since one was taken by age.
    Duration totalWork{};                                   ///< Of all waiting calls.
};

} // namespace Vanillahall
