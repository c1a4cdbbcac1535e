/**
 * Attribution of crashes to features of requests.
 * Load pattern: a request that crashes servers comes again with another body, from another program or through another proxy. Each crash
 * also breaks the requests that ran beside it, and servers crash by themselves, many at a time. Some hundred records are attributed again
 * after each change; a server that ends with 60 requests makes 60 changes at once.
 */
#pragma once

#include "vanillahall/core/crash/crash_evidence_type.h"

#include <unordered_map>

namespace Vanillahall::Forward {

inline constexpr std::uint32_t CrashLimit = 3;             ///< Independent crashes until a feature is refused; fewer can happen by chance.
inline constexpr std::uint32_t CrashLimitBesideOthers = 6; ///< The same while most crashes have other causes.
inline constexpr Duration SameCrashSpan
    = std::chrono::seconds(1); ///< Broken attempts at one server within this time belong to one crash; a server needs longer to start.

/** Feature to which crashes are attributed. */
struct AttributedFeature
{
    RequestFeature feature;
    std::size_t crashes{};  ///< Independent crashes that nothing else explains.
    std::size_t contents{}; ///< Number of different contents among them.
    TimePoint newest{};     ///< Time of the newest crash of a request with this feature.
};

/** Result of an attribution. */
struct CrashAttribution
{
    std::vector<AttributedFeature> refused;                  ///< Features that are refused.
    std::unordered_map<std::uint64_t, std::size_t> suspects; ///< Independent crashes of each feature since it was cleared, by hash.
};

/** Last time at which a feature was cleared, by hash. */
using ClearedFeatures = std::unordered_map<std::uint64_t, TimePoint>;

/**
 * Selects the features that explain the crashes: the one that ran at most of the servers that ended first, of several the rarest one. Other
 * requests that ran on the same servers at the time of its crashes are explained by it. What always ran beside another request that may
 * explain the crashes as well isn't selected before the next one.
 * @param crashes Records of crashes, in any order.
 * @param cleared Features are cleared of crashes up to these times. A content is cleared only by removing its records.
 */
CrashAttribution attributeCrashes(std::vector<const CrashEvidence *> crashes, const ClearedFeatures &cleared);

} // namespace Vanillahall::Forward
