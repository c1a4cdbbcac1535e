#include "vanillahall/core/crash_tracker_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

const AttributedFeature *CrashTracker::refusedFeature(const RequestFeatures &features, TimePoint now) const
{
    if (m_refused.empty()) {
        return nullptr;
    }
    for (auto it = features.rbegin(); it != features.rend(); ++it) {
        const auto refused = m_refused.find(it->hash);
        if (refused != m_refused.end() && holdLeft(refused->second, now) > Duration::zero()) {
            return &refused->second;
        }
    }
    return nullptr;
}

Duration CrashTracker::holdLeft(const AttributedFeature &refused, TimePoint now) const
{
    return refused.newest + m_hold - now;
}

std::size_t CrashTracker::unsharedCount() const
{
    return m_unshared.size();
}

std::size_t CrashTracker::recordCount(std::uint64_t content) const
{
    const auto isOfContent = [content](const CrashEvidence &it) {
        return !it.isHarmless && it.record.content == content;
    };
    return static_cast<std::size_t>(std::count_if(m_own.begin(), m_own.end(), isOfContent)
                                    + std::count_if(m_shared.begin(), m_shared.end(), isOfContent));
}

} // namespace Vanillahall::Forward
