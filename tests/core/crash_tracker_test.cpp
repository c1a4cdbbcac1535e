#include "crash_records.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(CrashTracker, RefusesAContentAfterBrokenAttemptsAtAnyEntry)
{
    CrashTracker tracker;
    tracker.recordCrash(crashOf(7, Start), Start);
    EXPECT_FALSE(isRefused(tracker, 7, Start));
    tracker.updateShared(sharedCrashes({7, 7, 8, 8}, Start), Start);
    EXPECT_TRUE(isRefused(tracker, 7, Start));
    EXPECT_FALSE(isRefused(tracker, 8, Start));
    tracker.recordCrash(crashOf(8, Start), Start);
    EXPECT_TRUE(isRefused(tracker, 8, Start));
    EXPECT_FALSE(isRefused(tracker, 9, Start));
}

TEST(CrashTracker, AResponseClearsTheCount)
{
    CrashTracker tracker;
    const RequestFeatures content{{FeatureKind::Content, 7}};
    tracker.recordCrash(crashOf(7, Start), Start);
    tracker.recordCrash(crashOf(7, Start), Start);
    const std::vector<CrashRecord> both{{7, 1}, {7, 2}};
    EXPECT_EQ(tracker.recordSuccess(content, Start, Start), both);
    EXPECT_TRUE(tracker.recordSuccess(content, Start, Start).empty());
    // A new record differs from the removed ones, so that a late removal of these doesn't remove it too.
    tracker.recordCrash(crashOf(7, Start), Start);
    EXPECT_EQ(tracker.removeExpired(Start + CrashRecordLifetime), (std::vector<CrashRecord>{{7, 3}}));
    EXPECT_FALSE(isRefused(tracker, 7, Start));
}

// A long stream that began before the crashes took their records back when it ended.
TEST(CrashTracker, AResponseToAnAttemptFromBeforeTheLastCrashClearsNothing)
{
    CrashTracker tracker;
    const RequestFeatures content{{FeatureKind::Content, 7}};
    tracker.updateShared(sharedCrashes({7, 7}, Start), Start);
    tracker.recordCrash(crashOf(7, Start + 1s), Start + 1s);
    EXPECT_TRUE(tracker.recordSuccess(content, Start, Start + 2s).empty());
    EXPECT_TRUE(isRefused(tracker, 7, Start + 2s));
    EXPECT_EQ(tracker.recordSuccess(content, Start + 2s, Start + 2s), (std::vector<CrashRecord>{{7, 1}}));
    EXPECT_EQ(tracker.recordCount(7), 2U) << "only the proxies that made them take the other records back";
}

TEST(CrashTracker, ExpiredRecordsAreRemoved)
{
    CrashTracker tracker;
    tracker.recordCrash(crashOf(7, Start), Start);
    EXPECT_TRUE(tracker.removeExpired(Start + CrashRecordLifetime - 1s).empty());
    EXPECT_EQ(tracker.removeExpired(Start + CrashRecordLifetime), (std::vector<CrashRecord>{{7, 1}}));
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
