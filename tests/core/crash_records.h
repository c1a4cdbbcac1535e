/** Records of crashes for tests. */
#pragma once

#include "vanillahall/core/crash_tracker_base.h"

#include <initializer_list>

namespace Vanillahall::Forward {

/** @return An attempt with this content that was sent at the time at which its server ended. */
inline CrashedAttempt crashOf(std::uint64_t content, TimePoint at)
{
    return {{{FeatureKind::Content, content}}, 0, at};
}

/** @return Records that other processes have shared. */
inline std::vector<CrashEvidence> sharedCrashes(std::initializer_list<std::uint64_t> contents, TimePoint at)
{
    std::vector<CrashEvidence> records;
    for (const auto it : contents) {
        records.push_back({{it, records.size()}, {{FeatureKind::Content, it}}, 0, at, at});
    }
    return records;
}

/** @return True if a request with this content is refused. */
inline bool isRefused(const CrashTracker &tracker, std::uint64_t content, TimePoint now)
{
    return tracker.refusedFeature({{FeatureKind::Content, content}}, now) != nullptr;
}

} // namespace Vanillahall::Forward
