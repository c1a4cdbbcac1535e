#include "vanillahall/core/crash/surviving_requests_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

RequestFeatures suspectFeatures(const CrashedAttempt &crashed, const std::vector<SurvivingAttempt> &running, TimePoint now)
{
    constexpr int AgeTolerance = 4;
    // Requests that were sent together have about the same age.
    const auto sentBy = crashed.sentAt + (now - crashed.sentAt) / AgeTolerance;
    auto features = crashed.features;
    std::erase_if(features, [&crashed, &running, sentBy](const RequestFeature &feature) {
        if (feature.kind == FeatureKind::Content) {
            return false;
        }
        return std::any_of(running.begin(), running.end(), [&crashed, &feature, sentBy](const SurvivingAttempt &it) {
            const bool isOther = it.server != crashed.server && it.sentAt <= sentBy;
            return isOther && std::find(it.features->begin(), it.features->end(), feature) != it.features->end();
        });
    });
    return features;
}

} // namespace Vanillahall::Forward
