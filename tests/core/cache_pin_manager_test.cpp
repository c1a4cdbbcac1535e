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

/** Runs one turn of a program: it starts, uses its prompt and pauses. */
void runTurn(CachePinManager &manager, std::uint64_t serial, const char *className, std::uint32_t tokens, TimePoint now)
{
    manager.recordStart(program(serial), ClassName{className}, tokens, now);
    manager.recordResult(program(serial), tokens, 0, 0);
    manager.recordPause(program(serial), now);
}

/** Records pauses of a class: after `returns` of them the program resumes, after `ends` it ends. */
void recordPauses(CachePinManager &manager, const char *className, Duration pause, int returns, int ends)
{
    constexpr std::uint64_t TrainingSerial = 1000;
    for (int n = 0; n < returns + ends; n++) {
        runTurn(manager, TrainingSerial, className, 1, Start);
        if (n < returns) {
            manager.recordResume(program(TrainingSerial), Start + pause);
        }
        manager.recordEnd(program(TrainingSerial), Start + pause);
    }
}

} // namespace

/** Two paused programs that don't fit together. */
struct EvictionCase
{
    const char *name;       ///< For the test's name.
    Duration pauseOfA;      ///< Usual pause of class a.
    int endsOfA;            ///< Programs of class a that ended in their pause, besides 10 that resumed.
    Duration pauseOfB;      ///< Usual pause of class b.
    Duration pausedA;       ///< How long the program of class a has been paused.
    Duration pausedB;       ///< How long the program of class b has been paused.
    std::uint64_t expected; ///< Serial of the expected candidate: 1 is of class a, 2 of class b.
};

class CacheEviction : public ::testing::TestWithParam<EvictionCase>
{
};

TEST_P(CacheEviction, ChoosesTheProgramExpectedToResumeLast)
{
    CachePinManager manager;
    recordPauses(manager, "a", GetParam().pauseOfA, 10, GetParam().endsOfA);
    recordPauses(manager, "b", GetParam().pauseOfB, 10, 0);
    const TimePoint now = Start + 1h;
    runTurn(manager, 1, "a", 600, now - GetParam().pausedA);
    runTurn(manager, 2, "b", 600, now - GetParam().pausedB);
    manager.setCapacity(2000);
    EXPECT_FALSE(manager.evictionCandidate(now).has_value());
    manager.setCapacity(1000);
    ASSERT_EQ(manager.evictionCandidate(now), program(GetParam().expected));
    manager.recordRelease(program(GetParam().expected), now);
    EXPECT_FALSE(manager.evictionCandidate(now).has_value());
    EXPECT_FALSE(manager.isPinned(program(GetParam().expected)));
}

INSTANTIATE_TEST_SUITE_P(Pauses,
                         CacheEviction,
                         ::testing::Values(EvictionCase{"LongerUsualPause", 60s, 0, 2s, 1s, 1s, 1},
                                           EvictionCase{"NotByRecencyAlone", 2s, 0, 600s, 2s, 1s, 2},
                                           EvictionCase{"LessLeftOfALongPause", 60s, 0, 30s, 59s, 1s, 2},
                                           EvictionCase{"OverdueCountsAsUnknown", 2s, 0, 30s, 300s, 1s, 1},
                                           EvictionCase{"SeldomReturns", 20s, 90, 60s, 1s, 1s, 1}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(CacheEviction, NeverChoosesAnActiveProgram)
{
    CachePinManager manager;
    runTurn(manager, 1, "a", 600, Start);
    runTurn(manager, 2, "a", 600, Start);
    manager.setCapacity(1000);
    manager.recordResume(program(1), Start + 1s);
    manager.recordResume(program(2), Start + 1s);
    EXPECT_FALSE(manager.evictionCandidate(Start + 2s).has_value());
}

TEST(CacheCounting, SeparatesUsedFromWastedTokenSeconds)
{
    CachePinManager manager;
    runTurn(manager, 1, "a", 100, Start);
    manager.recordResume(program(1), Start + 10s);
    EXPECT_EQ(manager.counters().heldTokenSeconds, 1000U);
    EXPECT_EQ(manager.counters().wastedTokenSeconds, 0U);
    manager.recordPause(program(1), Start + 10s);
    EXPECT_TRUE(manager.recordEnd(program(1), Start + 15s));
    EXPECT_EQ(manager.counters().heldTokenSeconds, 1500U);
    EXPECT_EQ(manager.counters().wastedTokenSeconds, 500U);
    EXPECT_FALSE(manager.recordEnd(program(1), Start + 16s));
}

TEST(CacheCounting, CountsRecomputedTokens)
{
    CachePinManager manager;
    runTurn(manager, 1, "a", 100, Start);
    EXPECT_EQ(manager.counters().recomputedTokens, 0U);
    manager.recordStart(program(1), ClassName{"a"}, 150, Start + 1s);
    manager.recordResult(program(1), 150, 100, 10);
    EXPECT_EQ(manager.counters().recomputedTokens, 0U);
    manager.recordResult(program(1), 200, 40, 10);
    EXPECT_EQ(manager.counters().recomputedTokens, 120U);
    EXPECT_EQ(manager.pinnedTokens(), 210U);
}

} // namespace Vanillahall
