/** Features that servers survive. */
#include "vanillahall/core/crash/surviving_requests_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

const RequestFeature content{FeatureKind::Content, 1};
const RequestFeature prompt{FeatureKind::Prompt, 2};
const RequestFeature path{FeatureKind::Path, 3};

struct SurvivorCase
{
    const char *name;
    std::size_t servers;       ///< Servers that run a request with the same path and content.
    Duration age;              ///< Age of these requests.
    std::uint64_t firstServer; ///< Hash of the first of these servers; the one that has ended has 1.
    bool isCleared;            ///< True if the path is no suspect.
};

class SurvivingRequests : public ::testing::TestWithParam<SurvivorCase>
{
};

} // namespace

// Harmless streams were refused for 90 s and more after servers had ended by themselves three times.
TEST_P(SurvivingRequests, ShowThatWhatTheyShareIsHarmless)
{
    const auto &param = GetParam();
    const auto now = TimePoint() + 1h;
    const CrashedAttempt crashed{{content, prompt, path}, 1, now - 1s};
    const RequestFeatures shared{content, path};
    std::vector<SurvivingAttempt> running;
    for (std::size_t n = 0; n < param.servers; n++) {
        running.push_back({&shared, param.firstServer + n, now - param.age});
    }
    const auto expected = param.isCleared ? RequestFeatures{content, prompt} : RequestFeatures{content, prompt, path};
    EXPECT_EQ(suspectFeatures(crashed, running, now), expected);
}

INSTANTIATE_TEST_SUITE_P(All,
                         SurvivingRequests,
                         ::testing::Values(SurvivorCase{"none", 0, 2s, 2, false},
                                           SurvivorCase{"sentBefore", 1, 2s, 2, true},
                                           SurvivorCase{"sentTogether", 1, 800ms, 2, true},
                                           SurvivorCase{"sentLater", 3, 500ms, 2, false},
                                           SurvivorCase{"atTheServerThatEnded", 1, 2s, 1, false},
                                           SurvivorCase{"alsoAtTheServerThatEnded", 2, 2s, 1, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
