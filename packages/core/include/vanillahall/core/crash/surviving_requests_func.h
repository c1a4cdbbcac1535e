/**
 * Features of requests that servers survive at the time of a crash.
 * Load pattern: servers end by themselves, several in a row, while most requests share a part of their prompt or a path. All of the crashes
 * then speak against what is shared, although the other servers run such requests unharmed.
 */
#pragma once

#include "vanillahall/core/crash/crash_evidence_type.h"

#include <vector>

namespace Vanillahall::Forward {

/** An attempt that its server runs without harm: it has sent a part of the response. */
struct SurvivingAttempt
{
    const RequestFeatures *features{}; ///< Features of its request.
    std::uint64_t server{};            ///< Hash of the server's id.
    TimePoint sentAt{};                ///< When it was sent.
};

/**
 * @param running Attempts of this entry.
 * @return Features of a request whose server has ended, without those that another server has survived for about as long. Its content is
 * always among them.
 */
[[nodiscard]] RequestFeatures suspectFeatures(const CrashedAttempt &crashed, const std::vector<SurvivingAttempt> &running, TimePoint now);

} // namespace Vanillahall::Forward
