#include "vanillahall/core/cache_pin_manager_base.h"

#include <gtest/gtest.h>

namespace Vanillahall {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(1000s);

ProgramId program(std::uint64_t serial)
{
    return ProgramId{ShardId{1}, serial};
}

/** One turn of a program: starts, uses its prompt, pauses. */
void runTurn(CachePinManager &keeper, std::uint64_t serial, const char *className, std::uint32_t tokens, TimePoint now)
{
    keeper.noteStarted(program(serial), ClassName{className}, tokens, now);
    keeper.noteUsed(program(serial), tokens, 0, 0);
    keeper.notePaused(program(serial), now);
}

/** Lets the keeper see pauses of a class; `ends` of them end the program. */
void teach(CachePinManager &keeper, const char *className, Duration pause, int returns, int ends)
{
    constexpr std::uint64_t Taught = 1000;
    for (int n = 0; n < returns + ends; n++) {
        runTurn(keeper, Taught, className, 1, Start);
        if (n < returns) {
            keeper.noteReturned(program(Taught), Start + pause);
        }
        keeper.noteEnded(program(Taught), Start + pause);
    }
}

} // namespace

/** Two paused programs that don't fit together. */
struct VictimCase
{
    const char *name;     ///< For the test's name.
    Duration pauseOfA;    ///< Usual pause of class a.
    int endsOfA;          ///< Programs of class a that ended in their pause, beside 10 that came back.
    Duration pauseOfB;    ///< Usual pause of class b.
    Duration pausedA;     ///< How long the program of class a has been paused.
    Duration pausedB;     ///< How long the program of class b has been paused.
    std::uint64_t victim; ///< Expected: 1 is of class a, 2 of class b.
};

class CacheVictim : public ::testing::TestWithParam<VictimCase>
{
};

TEST_P(CacheVictim, IsTheOneExpectedBackLast)
{
    CachePinManager keeper;
    teach(keeper, "a", GetParam().pauseOfA, 10, GetParam().endsOfA);
    teach(keeper, "b", GetParam().pauseOfB, 10, 0);
    const TimePoint now = Start + 1h;
    runTurn(keeper, 1, "a", 600, now - GetParam().pausedA);
    runTurn(keeper, 2, "b", 600, now - GetParam().pausedB);
    keeper.setCapacity(2000);
    EXPECT_FALSE(keeper.victim(now).has_value());
    keeper.setCapacity(1000);
    ASSERT_EQ(keeper.victim(now), program(GetParam().victim));
    keeper.noteReleased(program(GetParam().victim), now);
    EXPECT_FALSE(keeper.victim(now).has_value());
    EXPECT_FALSE(keeper.pinned(program(GetParam().victim)));
}

INSTANTIATE_TEST_SUITE_P(Pauses,
                         CacheVictim,
                         ::testing::Values(VictimCase{"LongerUsualPause", 60s, 0, 2s, 1s, 1s, 1},
                                           VictimCase{"NotByRecencyAlone", 2s, 0, 600s, 2s, 1s, 2},
                                           VictimCase{"LessLeftOfALongPause", 60s, 0, 30s, 59s, 1s, 2},
                                           VictimCase{"OverdueCountsAsUnknown", 2s, 0, 30s, 300s, 1s, 1},
                                           VictimCase{"SeldomReturns", 20s, 90, 60s, 1s, 1s, 1}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(CacheVictim, IsNeverActive)
{
    CachePinManager keeper;
    runTurn(keeper, 1, "a", 600, Start);
    runTurn(keeper, 2, "a", 600, Start);
    keeper.setCapacity(1000);
    keeper.noteReturned(program(1), Start + 1s);
    keeper.noteReturned(program(2), Start + 1s);
    EXPECT_FALSE(keeper.victim(Start + 2s).has_value());
}

TEST(CacheCounting, SeparatesUsedFromWasted)
{
    CachePinManager keeper;
    runTurn(keeper, 1, "a", 100, Start);
    keeper.noteReturned(program(1), Start + 10s);
    EXPECT_EQ(keeper.counters().heldTokenSeconds, 1000U);
    EXPECT_EQ(keeper.counters().wastedTokenSeconds, 0U);
    keeper.notePaused(program(1), Start + 10s);
    EXPECT_TRUE(keeper.noteEnded(program(1), Start + 15s));
    EXPECT_EQ(keeper.counters().heldTokenSeconds, 1500U);
    EXPECT_EQ(keeper.counters().wastedTokenSeconds, 500U);
    EXPECT_FALSE(keeper.noteEnded(program(1), Start + 16s));
}

TEST(CacheCounting, FindsPrefillOfWhatWasHeldBefore)
{
    CachePinManager keeper;
    runTurn(keeper, 1, "a", 100, Start);
    EXPECT_EQ(keeper.counters().prefilledAgain, 0U);
    keeper.noteStarted(program(1), ClassName{"a"}, 150, Start + 1s);
    keeper.noteUsed(program(1), 150, 100, 10);
    EXPECT_EQ(keeper.counters().prefilledAgain, 0U);
    keeper.noteUsed(program(1), 200, 40, 10);
    EXPECT_EQ(keeper.counters().prefilledAgain, 120U);
    EXPECT_EQ(keeper.pinnedTokens(), 210U);
}

} // namespace Vanillahall
