#include "vanillahall/core/planned_stop_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

/** A request during a planned stop of 7.7 s. */
struct StopRequestCase
{
    const char *name; ///< For the test's name.
    Duration age;     ///< Age of the stop when the request comes.
    Duration limit;   ///< Time limit of the request, from its arrival.
    bool isTaken;     ///< True if it is to be passed on.
};

class StopRequests : public ::testing::TestWithParam<StopRequestCase>
{
};

// Requests that were taken late in a planned stop were cut without a response when the process ended.
TEST_P(StopRequests, AreTakenIfTheyEndInTime)
{
    const auto &param = GetParam();
    PlannedStop stop(stopSettingsFor(8s));
    EXPECT_TRUE(stop.canTake(Start + param.age + param.limit, Start + param.age));
    stop.begin(Start);
    stop.begin(Start + 1s);
    EXPECT_EQ(stop.canTake(Start + param.age + param.limit, Start + param.age), param.isTaken);
}

INSTANTIATE_TEST_SUITE_P(All,
                         StopRequests,
                         ::testing::Values(StopRequestCase{"atOnce", 0s, 4s, true},
                                           // Clients don't know of the stop yet, and few requests take as long as they may.
                                           StopRequestCase{"longAtOnce", 1s, 30s, true},
                                           StopRequestCase{"longLater", 3s, 30s, false},
                                           StopRequestCase{"turnThatEndsInTime", 3400ms, 4s, true},
                                           StopRequestCase{"turnThatMayEndTooLate", 3701ms, 4s, false},
                                           StopRequestCase{"shortCallLate", 6s, 1200ms, true},
                                           StopRequestCase{"shortCallTooLate", 7s, 1200ms, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** A grace period, and the limit of the stop that follows. */
struct GraceCase
{
    const char *name; ///< For the test's name.
    Duration grace;   ///< Time from SIGTERM to SIGKILL.
    Duration limit;   ///< Expected limit of the stop.
};

class StopGrace : public ::testing::TestWithParam<GraceCase>
{
};

// A stop with a fixed limit ended a second before the grace period was over.
TEST_P(StopGrace, IsUsedUpToTheTimeForTheExit)
{
    const auto &param = GetParam();
    const auto settings = stopSettingsFor(param.grace);
    EXPECT_EQ(settings.limit, param.limit);
    PlannedStop stop(settings);
    EXPECT_FALSE(stop.isLimitReached(Start));
    EXPECT_FALSE(stop.timeLeft(Start));
    stop.begin(Start);
    EXPECT_TRUE(stop.acceptsConnections(Start));
    EXPECT_FALSE(stop.acceptsConnections(Start + param.limit));
    EXPECT_FALSE(stop.isLimitReached(Start + param.limit - 1ms));
    EXPECT_EQ(stop.timeLeft(Start + param.limit - 1ms), 1ms);
    EXPECT_TRUE(stop.isLimitReached(Start + param.limit));
    EXPECT_FALSE(stop.isOverdue(Start + param.limit));
    EXPECT_TRUE(stop.isOverdue(Start + param.grace));
}

INSTANTIATE_TEST_SUITE_P(All,
                         StopGrace,
                         ::testing::Values(GraceCase{"usual", 8s, 7700ms},
                                           GraceCase{"longer", 30s, 29700ms},
                                           GraceCase{"brief", 400ms, 200ms}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(PlannedStop, NewSettingsHoldForAStopThatHasBegun)
{
    PlannedStop stop(stopSettingsFor(8s));
    stop.begin(Start);
    stop.setSettings(stopSettingsFor(20s));
    EXPECT_FALSE(stop.isLimitReached(Start + 8s));
    EXPECT_TRUE(stop.isLimitReached(Start + 20s));
}

} // namespace Vanillahall::Forward
