/** Messages between a proxy and the grantor of a customer's permits. */
#pragma once

#include "vanillahall/core/customer/quota_type.h"

#include <variant>

namespace Vanillahall::Forward {

/** A proxy asks the grantor of a customer for permits. */
struct PermitAsk
{
    UsageReport report;        ///< Report of the proxy with the usage of this customer only.
    std::uint64_t number{};    ///< Number of the ask; grows within the incarnation.
    std::uint64_t held{};      ///< Permits of earlier replies that the proxy may still use.
    std::uint64_t wanted{};    ///< Permits asked for; 0 if the proxy only names its total.
    bool isInProgress = false; ///< True if a request of a program in progress waits for one.
};

/** The proxy may send this many requests. */
struct PermitsGranted
{
    std::uint64_t count{};
};
/** The customer has used up its limit. */
struct PermitsSpent
{
    Duration retryAfter{}; ///< Time until there is a permit.
};
/** The proxy that was asked isn't the grantor, or not yet. */
struct NotGrantor
{
};
using PermitAnswer = std::variant<PermitsGranted, PermitsSpent, NotGrantor>; ///< Reply to a PermitAsk.

/** Time for which a proxy may use permits of a reply; by as much, requests may be sent later than the grantor counts them. */
inline constexpr Duration PermitLifetime = std::chrono::milliseconds(250);

} // namespace Vanillahall::Forward
