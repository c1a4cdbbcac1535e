/** Types of the choice of a server by learned costs. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>

namespace Vanillahall::Forward {

/** How a server is chosen. */
enum class Placement : std::uint8_t {
    Learned, ///< By costs and paces that are learned from what the proxy observes.
    Fixed,   ///< By the starting values alone; for comparison.
};

using Milliseconds = std::chrono::duration<double, std::milli>; ///< Estimated time.

// Starting values of what is learned. They give the order of magnitude only, and a few dozen requests replace them.

inline constexpr double StartingTokensPerMs = 60;         ///< Prompt tokens that an engine prefills per millisecond.
inline constexpr Milliseconds StartingHold{288};          ///< Time for which a request occupies a server's slot.
inline constexpr std::uint32_t StartingProxies = 12;      ///< Proxies that share the servers, until the store has told their number.
inline constexpr std::uint32_t StartingFreshTokens = 500; ///< Prompt tokens that a turn adds to its session.

/** Kind of a request; requests of one kind cost alike. */
struct WorkKind
{
    std::uint64_t route = 0;    ///< Hash of the route's name.
    std::uint64_t customer = 0; ///< Hash of the customer's name; 0 for none.

    bool operator==(const WorkKind &) const = default;
};

/** What is known about the work of a request before it is sent. */
struct WorkFeatures
{
    WorkKind kind;                        ///< Its kind.
    bool isModelTurn = false;             ///< True if it has a prompt; its work is prefill and generated events.
    std::uint32_t uncachedTokens = 0;     ///< Prompt tokens to prefill.
    std::uint32_t hintedTokens = 0;       ///< The client's estimate of generated tokens; 0 for none.
    std::uint32_t maxTokens = 0;          ///< Maximum number of generated tokens; 0 if unknown.
    std::uint32_t tokensPerEvent = 1;     ///< Generated tokens of one event.
    double tokensPerMs = 0;               ///< Usual prefill rate of the service, in tokens per millisecond.
    std::optional<Milliseconds> perEvent; ///< Usual time between events of the service, if known.
};

/** Expected work of a request, in time at a server of the service's usual pace. */
struct WorkEstimate
{
    Milliseconds hold = StartingHold; ///< Time for which it occupies a slot.
    Milliseconds spread{};            ///< Standard deviation of that time.
    Milliseconds run{};               ///< Part of it after the prefill that has been learned; 0 as long as nothing has been.
};

/** Expected course of a request at the chosen server. */
struct WorkPlan
{
    WorkFeatures features;          ///< What was known.
    WorkEstimate estimate;          ///< Its work.
    Milliseconds wait{};            ///< Expected time until the server begins it.
    Milliseconds finish{};          ///< Expected time to its end, without penalties.
    double slowdown = 1;            ///< Expected slowdown of the server's VM meanwhile.
    bool hadFreeSlot = true;        ///< True if the server was expected to begin it at once.
    std::uint64_t prefillAhead = 0; ///< Prompt tokens that the server had to prefill before.
    std::uint64_t object = 0;       ///< Hash of the request's object; 0 if none counts.
    bool isObjectKnown = false;     ///< True if the server has handled the request's object lately.
};

/** Course of an attempt that has ended. */
struct AttemptTimes
{
    TimePoint sentAt{};                    ///< When it was sent.
    std::optional<TimePoint> firstEventAt; ///< When its first event was received.
    std::uint32_t events = 0;              ///< Events received.
    bool isComplete = false;               ///< True if the server has answered it completely and successfully.
};

} // namespace Vanillahall::Forward
