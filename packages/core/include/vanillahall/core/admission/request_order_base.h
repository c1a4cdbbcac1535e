/**
 * Order of the requests that wait in one proxy for a server of one service.
 * Load pattern: after a burst hundreds of requests wait for few free connections, among them those of a customer at many times its usual
 * load. Requests of programs that can still end in time come first, and no customer or rank is left out.
 */
#pragma once

#include "vanillahall/core/admission/decaying_count_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

/** A request that waits for a server. */
struct WaitingRequest
{
    std::uint64_t id = 0;           ///< Unique number.
    std::uint64_t customer = 0;     ///< Hash of the customer; 0 for none.
    std::uint32_t customerRank = 0; ///< Urgency of the customer; 0 is first.
    std::uint32_t routeRank = 0;    ///< Urgency of the route; 0 is first.
    bool isLooping = false;         ///< True if its program has lost its precedence.
    TimePoint startBy{};            ///< Latest start at which its whole program is expected to end in time.
};

/** Orders requests by customer rank, route rank and slack, with fair shares between the customers of a rank. */
class RequestOrder
{
public:
    RequestOrder();

    // Commands.

    /** Adds a request. */
    void add(const WaitingRequest &request);
    /** Removes a request, if it is there. */
    void remove(std::uint64_t id);
    /** Records that a request was sent to a server, so that the share of its customer is known. */
    void recordServed(std::uint64_t customer, TimePoint now);

    // Queries.

    /** @return Ids of the requests that are to be tried next, the first one first. @param most Largest number of them. */
    [[nodiscard]] std::vector<std::uint64_t> first(std::size_t most, TimePoint now) const;
    /** @return Number of waiting requests. */
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] bool isOverShare(std::uint64_t customer, double usual, TimePoint now) const;

    std::map<std::uint64_t, WaitingRequest> m_waiting; ///< By id, and so by the time of arrival.
    std::unordered_map<std::uint64_t, DecayingCount> m_served;
    std::uint64_t m_servedCount = 0; ///< Number of calls of recordServed().
};

/** One request in this many is the one that has waited longest, whatever its rank: nobody gets less than a quarter of the service. */
inline constexpr std::uint64_t OldestInterval = 4;

/**
 * A rank of the customer is worth as much as the step from normal to urgent. Trials with absolute precedence of the rank starved the lower
 * one: a burst of the first rank alone can fill the engines. Few levels are used, since an engine that preempts a turn has to process its
 * whole prompt again.
 * @param customerRank Rank of the customer; ranks from 2 on, and requests without a customer, are equal.
 * @param programTimeLeft Time until the deadline of the program; nothing if the request belongs to no program.
 * @return Priority of a turn at its engine, from 0 (first) to 9, where the configuration names customers.
 */
[[nodiscard]] std::uint32_t enginePriority(std::uint32_t customerRank, std::optional<Duration> programTimeLeft, bool isLooping);

} // namespace Vanillahall::Forward
