/** What is known about attempts that ended together with their servers. */
#pragma once

#include "vanillahall/core/crash/request_feature_func.h"

#include <cstdint>

namespace Vanillahall::Forward {

/** Name of a record of evidence. Names are never reused, so records may be written and removed late, repeatedly and in any order. */
struct CrashRecord
{
    std::uint64_t content{}; ///< Hash of the request's content; 0 for a record of harmless features.
    std::uint64_t serial{};  ///< Number of the record within its process.

    bool operator==(const CrashRecord &) const = default;
};

inline constexpr Duration CommonCauseSpan
    = std::chrono::milliseconds(100); ///< Servers that end within this time may have a common cause, such as a rack that lost power.

/** An attempt whose server ended while it ran. */
struct CrashedAttempt
{
    RequestFeatures features;                  ///< Features of its request.
    std::uint64_t server{};                    ///< Hash of the server's id; 0 if unknown.
    TimePoint sentAt{};                        ///< When it was sent; the server ended later.
    Duration endUncertainty = CommonCauseSpan; ///< Longest time from the end of the server until it is recorded.
};

/** One record: a crash that speaks against the features of a request, or successes that clear features of earlier crashes. */
struct CrashEvidence
{
    CrashRecord record;
    RequestFeatures features; ///< Features of the request, or the cleared ones.
    std::uint64_t server{};   ///< Hash of the server's id; 0 if unknown.
    TimePoint earliest{};     ///< The server ended at this time or later.
    TimePoint latest{};       ///< The server ended, or the features were cleared, at this time at the latest.
    bool isHarmless = false;  ///< True if the features are cleared.
};

} // namespace Vanillahall::Forward
