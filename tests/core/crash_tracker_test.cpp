#include "vanillahall/core/crash_tracker_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(CrashTracker, RefusesAContentAfterBrokenAttemptsAtAnyEntry)
{
    CrashTracker tracker;
    tracker.recordCrash(7, Start);
    EXPECT_FALSE(tracker.isRefused(7));
    tracker.updateShared({7, 7, 8, 8});
    EXPECT_TRUE(tracker.isRefused(7));
    EXPECT_FALSE(tracker.isRefused(8));
    tracker.recordCrash(8, Start);
    EXPECT_TRUE(tracker.isRefused(8));
    EXPECT_FALSE(tracker.isRefused(9));
}

TEST(CrashTracker, AResponseClearsTheCount)
{
    CrashTracker tracker;
    const auto first = tracker.recordCrash(7, Start);
    const auto second = tracker.recordCrash(7, Start);
    EXPECT_EQ(tracker.recordSuccess(7, Start), (std::vector<CrashRecord>{first, second}));
    EXPECT_TRUE(tracker.recordSuccess(7, Start).empty());
    // A new record differs from the removed ones, so that a late removal of these doesn't remove it too.
    const auto third = tracker.recordCrash(7, Start);
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
    EXPECT_FALSE(tracker.isRefused(7));
}

// A long stream that began before the crashes took their records back when it ended.
TEST(CrashTracker, AResponseToAnAttemptFromBeforeTheLastCrashClearsNothing)
{
    CrashTracker tracker;
    tracker.updateShared({7, 7});
    const auto record = tracker.recordCrash(7, Start + 1s);
    EXPECT_TRUE(tracker.recordSuccess(7, Start).empty());
    EXPECT_TRUE(tracker.isRefused(7));
    EXPECT_EQ(tracker.recordSuccess(7, Start + 2s), std::vector<CrashRecord>{record});
    EXPECT_EQ(tracker.recordCount(7), 2U) << "only the proxies that made them take the other records back";
}

TEST(CrashTracker, ExpiredRecordsAreRemoved)
{
    CrashTracker tracker;
    const auto record = tracker.recordCrash(7, Start);
    EXPECT_TRUE(tracker.removeExpired(Start + CrashRecordLifetime - 1s).empty());
    EXPECT_EQ(tracker.removeExpired(Start + CrashRecordLifetime), std::vector<CrashRecord>{record});
}

/** Second request, and whether its content equals that of the first one. */
struct ContentCase
{
    const char *name;    ///< For the test's name.
    const char *target;  ///< Target of the second request.
    const char *program; ///< Program of the second request.
    const char *body;    ///< Body of both.
    bool isSame;         ///< Expected result, compared with POST /a of program p.
};

class Content : public ::testing::TestWithParam<ContentCase>
{
};

TEST_P(Content, IsPathAndBody)
{
    const auto &param = GetParam();
    EXPECT_EQ(contentHash("POST", "/a", "p", param.body) == contentHash("POST", param.target, param.program, param.body), param.isSame);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Content,
                         ::testing::Values(ContentCase{"same", "/a", "p", "body", true},
                                           ContentCase{"otherProgram", "/a", "q", "body", true},
                                           ContentCase{"otherPath", "/b", "p", "body", false},
                                           ContentCase{"otherQuery", "/a?n=1", "p", "body", true},
                                           ContentCase{"noBodyOtherQuery", "/a?n=1", "p", "", true},
                                           ContentCase{"noBody", "/a", "p", "", true},
                                           ContentCase{"noBodyOtherProgram", "/a", "q", "", false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
