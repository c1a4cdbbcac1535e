#include "shard_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr unsigned MaxRecords = 20; ///< Most records appended at once.
constexpr unsigned Kinds = static_cast<unsigned>(SimulationActionKind::Rename) + 1;
constexpr int FullRange = 100;         ///< Size at which RapidCheck uses the whole of each range.
constexpr Duration MaxRecovery = 100s; ///< Time for recovery after the last fault; longer than `orphanTime` below.

constexpr Duration SettlingTime = 6s; ///< Time in which a second holder would be detected.

/** Settings with short time limits, so that takeovers of orphans and snapshots occur often. */
ShardLogSettings shortSettings()
{
    ShardLogSettings settings;
    settings.outageLimit = 40s;
    settings.orphanTime = 60s;
    settings.orphanScan = 5s;
    settings.snapshotSegments = 6;
    return settings;
}

/** Generates kinds of actions; about every second one appends records. */
rc::Gen<SimulationActionKind> anyKind()
{
    return rc::gen::map(rc::gen::inRange(0U, 2 * Kinds), [](unsigned n) {
        return n < Kinds ? static_cast<SimulationActionKind>(n) : SimulationActionKind::Append;
    });
}

rc::Gen<SimulationAction> anyAction()
{
    const auto centiseconds = [](int most) {
        return rc::gen::map(rc::gen::inRange(0, most), [](int n) {
            return std::chrono::milliseconds(n * 10);
        });
    };
    return rc::gen::build<SimulationAction>(rc::gen::set(&SimulationAction::kind, anyKind()),
                                            rc::gen::set(&SimulationAction::entry, rc::gen::inRange(0U, 4U)),
                                            rc::gen::set(&SimulationAction::amount, rc::gen::inRange(0U, MaxRecords)),
                                            rc::gen::set(&SimulationAction::length, centiseconds(1200)),
                                            rc::gen::set(&SimulationAction::after, centiseconds(400)));
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &it : lines) {
        text += it + "\n";
    }
    return text;
}

/** Runs a schedule, ends all faults and checks that an entry holds the shard again with all its records. */
void checkSchedule(unsigned entries, const std::vector<SimulationAction> &actions)
{
    ShardSimulation simulation(shortSettings(), entries);
    simulation.run(1s);
    for (const SimulationAction &it : actions) {
        simulation.perform(it);
        RC_ASSERT(joined(simulation.violations()) == "");
    }
    simulation.endFaults();
    const TimePoint end = simulation.trueTime() + MaxRecovery;
    while (simulation.violations().empty() && simulation.trueTime() < end && !simulation.holderOf(ShardSimulation::shard())) {
        simulation.run(1s);
    }
    simulation.run(SettlingTime);
    RC_ASSERT(joined(simulation.violations()) == "");
    const auto holder = simulation.holderOf(ShardSimulation::shard());
    RC_ASSERT(holder.has_value());
    RC_CLASSIFY(simulation.durableCount() > 0, "has records");
    RC_CLASSIFY(simulation.entries[*holder].logs.at(ShardSimulation::shard())->epoch().value > 1, "taken over");
}

RC_GTEST_PROP(ShardSimulationProperty, NeverTwoHoldersAndNoRecordLost, ())
{
    const auto entries = *rc::gen::inRange(2U, 5U);
    const auto actions = *rc::gen::container<std::vector<SimulationAction>>(rc::gen::resize(FullRange, anyAction()));
    checkSchedule(entries, actions);
}

} // namespace

} // namespace Vanillahall
