#include "shard_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr unsigned MaxRecords = 20; ///< Most records appended at once.
constexpr unsigned Kinds = static_cast<unsigned>(SimulationActionKind::Rename) + 1;
constexpr int FullRange = 100;             ///< Size at which RapidCheck uses the whole of each range.
constexpr Duration LongestRecovery = 100s; ///< After the last fault; longer than the orphan time.

constexpr Duration Settling = 6s; ///< Time for a second holder to show itself.

/** Settings with short outages, so that the paths through orphans and snapshots are taken often. */
ShardLogSettings shortSettings()
{
    ShardLogSettings settings;
    settings.outageLimit = 40s;
    settings.orphanTime = 60s;
    settings.orphanScan = 5s;
    settings.snapshotSegments = 6;
    return settings;
}

/** Every second action appends records. */
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

/** Runs a schedule, ends all faults, and checks that the shard is held again with all its records. */
void checkSchedule(unsigned entries, const std::vector<SimulationAction> &actions)
{
    ShardSimulation world(shortSettings(), entries);
    world.run(1s);
    for (const SimulationAction &it : actions) {
        world.act(it);
        RC_ASSERT(joined(world.violations()) == "");
    }
    world.heal();
    const TimePoint end = world.trueTime() + LongestRecovery;
    while (world.violations().empty() && world.trueTime() < end && !world.holderOf(ShardSimulation::shard())) {
        world.run(1s);
    }
    world.run(Settling);
    RC_ASSERT(joined(world.violations()) == "");
    const auto holder = world.holderOf(ShardSimulation::shard());
    RC_ASSERT(holder.has_value());
    RC_CLASSIFY(world.durableCount() > 0, "has records");
    RC_CLASSIFY(world.entries[*holder].logs.at(ShardSimulation::shard())->epoch().value > 1, "taken over");
}

RC_GTEST_PROP(ShardSimulationProperty, NeverTwoHoldersAndNoRecordLost, ())
{
    const auto entries = *rc::gen::inRange(2U, 5U);
    const auto actions = *rc::gen::container<std::vector<SimulationAction>>(rc::gen::resize(FullRange, anyAction()));
    checkSchedule(entries, actions);
}

} // namespace

} // namespace Vanillahall
