#include "shard_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;
using Kind = SimulationActionKind;

/** @return Time until some entry may order calls for the shard; at most `most`. */
Duration timeUntilHolder(ShardSimulation &simulation, Duration most)
{
    const TimePoint begin = simulation.trueTime();
    while (!simulation.holderOf(ShardSimulation::shard()) && simulation.trueTime() < begin + most) {
        simulation.run(10ms);
    }
    return simulation.trueTime() - begin;
}

/** A schedule and its expected result. */
struct Schedule
{
    const char *name;                      ///< Name of the case.
    std::vector<SimulationAction> actions; ///< Steps of the schedule.
    std::size_t holder;                    ///< Index of the entry that holds the shard at the end.
    std::uint64_t epoch;                   ///< Epoch at the end.
    std::size_t durable;                   ///< Records that are durable at the end.
};

std::ostream &operator<<(std::ostream &stream, const Schedule &schedule)
{
    return stream << schedule.name;
}

class ShardSchedule : public ::testing::TestWithParam<Schedule>
{
};

TEST_P(ShardSchedule, EndsAsExpected)
{
    ShardSimulation simulation(ShardLogSettings(), 3);
    simulation.run(2s);
    for (const SimulationAction &it : GetParam().actions) {
        simulation.perform(it);
    }
    EXPECT_THAT(simulation.violations(), ::testing::IsEmpty());
    ASSERT_EQ(simulation.holderOf(ShardSimulation::shard()), GetParam().holder);
    const ShardLog &log = *simulation.entries[GetParam().holder].logs.at(ShardSimulation::shard());
    EXPECT_EQ(log.epoch(), Epoch{GetParam().epoch});
    EXPECT_EQ(log.durable(), RecordNumber{GetParam().durable});
    EXPECT_EQ(simulation.durableCount(), GetParam().durable);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    ShardSchedule,
    ::testing::Values(Schedule{"Nothing", {{Kind::Append, 0, 5, 0ms, 5s}}, 0, 1, 5},
                      Schedule{"HolderCrashes", {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::Crash, 0, 0, 60s, 5s}}, 1, 2, 5},
                      Schedule{"HolderAndFirstSuccessorCrash",
                               {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::Crash, 0, 0, 60s, 1s}, {Kind::Crash, 1, 0, 60s, 6s}},
                               2,
                               2,
                               5},
                      Schedule{"SuccessorCrashesAfterTakeover",
                               {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::Crash, 0, 0, 60s, 5s}, {Kind::Crash, 1, 0, 60s, 6s}},
                               2,
                               3,
                               5},
                      Schedule{"HolderPausedBriefly", {{Kind::Pause, 0, 0, 1900ms, 2s}, {Kind::Append, 0, 5, 0ms, 5s}}, 0, 1, 5},
                      Schedule{"HolderPausedPastLease", {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::Pause, 0, 0, 20s, 30s}}, 1, 2, 5},
                      Schedule{"AnswersLost", {{Kind::AnswersLost, 0, 0, 700ms, 100ms}, {Kind::Append, 0, 5, 0ms, 9s}}, 0, 1, 5},
                      Schedule{"WriteDelayed", {{Kind::WritesDelayed, 0, 20, 100ms, 0ms}, {Kind::Append, 0, 5, 0ms, 9s}}, 0, 1, 5},
                      Schedule{"HolderCutOffFromStore", {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::StoreSilent, 0, 0, 20s, 10s}}, 1, 2, 5},
                      Schedule{"HolderCutOffFromEntries", {{Kind::LinkCut, 0, 0, 30s, 20s}, {Kind::Append, 0, 5, 0ms, 5s}}, 0, 1, 5},
                      Schedule{"StoreRefusesTenMinutes", {{Kind::StoreDown, 0, 0, 600s, 300s}, {Kind::Append, 0, 5, 0ms, 310s}}, 0, 1, 5},
                      Schedule{"StoreSilentTenMinutes", {{Kind::StoreDown, 0, 1, 600s, 300s}, {Kind::Append, 0, 5, 0ms, 310s}}, 0, 1, 5},
                      Schedule{"RenamedBeforeOutage",
                               {{Kind::Rename, 0, 1, 0ms, 0ms}, {Kind::StoreDown, 0, 1, 60s, 30s}, {Kind::Append, 0, 5, 0ms, 40s}},
                               0,
                               1,
                               5},
                      Schedule{"HandOver", {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::HandOver, 0, 0, 0ms, 2s}}, 1, 2, 5},
                      Schedule{"HandOverAnswerLost",
                               {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::AnswersLost, 0, 0, 300ms, 0ms}, {Kind::HandOver, 0, 0, 0ms, 5s}},
                               1,
                               2,
                               5},
                      Schedule{"StaleReadsAtTakeover",
                               {{Kind::Append, 0, 5, 0ms, 1s}, {Kind::StaleReads, 1, 0, 20s, 0ms}, {Kind::Crash, 0, 0, 60s, 40s}},
                               2,
                               2,
                               5}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

/** The holder crashes at different times between two renewals, idle or while it appends records. */
TEST(Takeover, EndsWithinFiveSeconds)
{
    Duration worst(0);
    for (int n = 0; n < 60; n++) {
        ShardSimulation simulation(ShardLogSettings(), 3);
        simulation.run(3s + n * 50ms);
        for (int turn = 0; n % 2 == 0 && turn < 40; turn++) {
            simulation.perform({Kind::Append, 0, 1, 0ms, 20ms});
        }
        simulation.perform({Kind::Crash, 0, 0, 60s, 0ms});
        worst = std::max(worst, timeUntilHolder(simulation, 20s));
        EXPECT_THAT(simulation.violations(), ::testing::IsEmpty());
    }
    EXPECT_LT(worst, 5s);
    RecordProperty("worst_ms", std::to_string(worst.count() / 1000));
}

/** Settings that break the safety of leases; the checks of the simulation must detect this. */
struct UnsafeSettings
{
    const char *name;                      ///< Name of the case.
    ShardLogSettings settings;             ///< Unsafe settings.
    std::vector<SimulationAction> actions; ///< A schedule that leads to two holders.
};

std::ostream &operator<<(std::ostream &stream, const UnsafeSettings &it)
{
    return stream << it.name;
}

ShardLogSettings negativeMargin()
{
    ShardLogSettings settings;
    settings.leaseMargin = -1s;
    return settings;
}

ShardLogSettings orphansBeforeOutageEnds()
{
    ShardLogSettings settings;
    settings.orphanTime = 20s;
    settings.orphanScan = 2s;
    return settings;
}

class LeaseSafetyCheck : public ::testing::TestWithParam<UnsafeSettings>
{
};

TEST_P(LeaseSafetyCheck, DetectsTwoHolders)
{
    ShardSimulation simulation(GetParam().settings, 4);
    simulation.run(2s);
    for (const SimulationAction &it : GetParam().actions) {
        simulation.perform(it);
    }
    EXPECT_THAT(simulation.violations(), ::testing::Contains(::testing::HasSubstr("may order calls")));
}

INSTANTIATE_TEST_SUITE_P(Settings,
                         LeaseSafetyCheck,
                         ::testing::Values(UnsafeSettings{"NegativeMargin", negativeMargin(), {{Kind::StoreSilent, 0, 0, 20s, 10s}}},
                                           UnsafeSettings{"OrphanBeforeOutageEnds",
                                                          orphansBeforeOutageEnds(),
                                                          {{Kind::StoreSilent, 0, 0, 90s, 0ms},
                                                           {Kind::StoreSilent, 1, 0, 90s, 0ms},
                                                           {Kind::StoreSilent, 2, 0, 90s, 80s}}}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

} // namespace

} // namespace Vanillahall
