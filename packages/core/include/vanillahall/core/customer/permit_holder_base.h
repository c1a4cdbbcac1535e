/**
 * Permits that a proxy has from the grantors of its customers, and the asks for more.
 * Load pattern: requests of one customer arrive at a proxy in short groups; each group makes one ask, and a grantor that doesn't answer
 * delays them once, not each of them.
 */
#pragma once

#include "vanillahall/core/customer/permit_type.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Vanillahall::Forward {

/** A permit is held. */
struct PermitHeld
{
};
/** The grantor is to be asked with this ask now. */
struct PermitToAsk
{
    std::uint64_t number{}; ///< Number of the ask.
    std::uint64_t held{};   ///< Permits still held.
};
/** A reply is awaited, or the bucket will hold a permit soon. */
struct PermitAwaited
{
};
/** The customer is over its limit. */
struct PermitRefused
{
    Duration retryAfter{}; ///< Time until there is a permit.
};
/** The grantor didn't answer lately; the reports decide. */
struct PermitByReports
{
};
using PermitState
    = std::variant<PermitHeld, PermitToAsk, PermitAwaited, PermitRefused, PermitByReports>; ///< Result of PermitHolder::take().

/** Keeps the permits of one proxy. */
class PermitHolder
{
public:
    // Commands.

    /** Takes a permit, or says what to do. @param isInProgress True for a request of a program in progress. */
    PermitState take(std::uint64_t customer, bool isInProgress, TimePoint now);
    /** @return Asks without a wish, by customer, for those that were asked for recently and have no ask in progress. */
    std::vector<std::pair<std::uint64_t, PermitToAsk>> keepAlive(TimePoint now);
    /** Handles the answer to an ask; nothing if there was none in time. */
    void onAnswer(std::uint64_t customer, std::uint64_t number, const std::optional<PermitAnswer> &answer, TimePoint now);
    /** Forgets customers without recent asks. */
    void removeIdle(TimePoint now);

private:
    /** State of one customer. */
    struct Entry
    {
        std::uint64_t held{};                 ///< Permits held.
        TimePoint heldUntil{};                ///< They expire then.
        std::optional<std::uint64_t> pending; ///< Number of the ask in progress.
        TimePoint byReportsUntil{};           ///< The grantor isn't asked until then.
        TimePoint spentUntil{};               ///< The bucket holds no permit until then.
        TimePoint newSpentUntil{};            ///< The bucket holds no permit for a new program until then.
        bool isPendingInProgress = false;     ///< True if the ask in progress is for a program in progress.
        unsigned failures{};                  ///< Asks without an answer in a row.
        TimePoint askedAt{};                  ///< When the grantor was last asked.
    };

    std::unordered_map<std::uint64_t, Entry> m_entries; ///< By hash of the customer.
    std::uint64_t m_asks = 0;                           ///< Number of asks made.
};

/** Time for a grantor's answer; a healthy one takes a few ms. */
inline constexpr Duration PermitAskTimeout = std::chrono::milliseconds(100);

} // namespace Vanillahall::Forward
