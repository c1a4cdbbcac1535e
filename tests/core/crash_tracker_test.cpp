#include "vanillahall/core/crash_tracker_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(CrashTracker, RefusesAContentAfterBreaksAtAnyEntry)
{
    CrashTracker book;
    book.broke(7, Start);
    EXPECT_FALSE(book.isRefused(7));
    book.share({7, 7, 8, 8});
    EXPECT_TRUE(book.isRefused(7));
    EXPECT_FALSE(book.isRefused(8));
    book.broke(8, Start);
    EXPECT_TRUE(book.isRefused(8));
    EXPECT_FALSE(book.isRefused(9));
}

TEST(CrashTracker, AnAnswerClearsTheCount)
{
    CrashTracker book;
    const auto first = book.broke(7, Start);
    const auto second = book.broke(7, Start);
    EXPECT_EQ(book.worked(7), (std::vector<CrashRecord>{first, second}));
    EXPECT_TRUE(book.worked(7).empty());
    // A late removal of the first marks must not hit a new one.
    const auto third = book.broke(7, Start);
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
    EXPECT_FALSE(book.isRefused(7));
}

TEST(CrashTracker, OldCountsAreForgotten)
{
    CrashTracker book;
    const auto mark = book.broke(7, Start);
    EXPECT_TRUE(book.forget(Start + CrashMemory - 1s).empty());
    EXPECT_EQ(book.forget(Start + CrashMemory), std::vector<CrashRecord>{mark});
}

/** Two requests and whether they are the same content. */
struct ContentCase
{
    const char *name;    ///< For the test's name.
    const char *target;  ///< Target of the second request.
    const char *program; ///< Program of the second request.
    const char *body;    ///< Body of both.
    bool isSame;         ///< Expected, against POST /a of program p.
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
                                           ContentCase{"noBody", "/a", "p", "", true},
                                           ContentCase{"noBodyOtherProgram", "/a", "q", "", false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
