#include "vanillahall/core/lease_monitor_base.h"

#include "vanillahall/core/shard_log_func.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr ShardId TestShard{7};
const EntryName entryB{"b"};
const EntryName entryC{"c"};

/** Information that entry "b" receives, and the expected start of its takeover. */
struct TakeOverCase
{
    const char *name;                     ///< Name of the case.
    std::vector<EntryName> successors;    ///< Successors named by the heartbeat of the holder.
    bool isStoreUnavailable;              ///< True if "b" can't reach the store.
    std::optional<Duration> promiseAt;    ///< When "b" receives a request for a promise, after the heartbeat.
    std::optional<Duration> newVersionAt; ///< When a heartbeat with a newer version arrives.
    std::optional<Duration> due;          ///< Expected start of the takeover, after the first heartbeat; nothing if there is none.
};

std::ostream &operator<<(std::ostream &stream, const TakeOverCase &it)
{
    return stream << it.name;
}

Now at(Duration time)
{
    return Now{TimePoint(100s + time), WallTime()};
}

EntryStatus heartbeat(std::uint64_t version, const std::vector<EntryName> &successors)
{
    EntryStatus status;
    status.entry = EntryName{"a"};
    status.leases.push_back(HeldLease{TestShard, Epoch{1}, RowVersion{version}, successors});
    return status;
}

StoredRow leaseRow(std::uint64_t version, const char *owner, const std::vector<EntryName> &successors)
{
    LeaseRow row;
    row.shard = TestShard;
    row.owner.text = owner;
    row.epoch.value = 1;
    row.successors = successors;
    return StoredRow{leaseKey(TestShard), RowVersion{version}, row};
}

LeaseMonitor makeMonitor()
{
    return {EntryName{"b"}, Incarnation{2}, ShardLogSettings(), 500ms};
}

class LeaseMonitorTakeOver : public ::testing::TestWithParam<TakeOverCase>
{
};

TEST_P(LeaseMonitorTakeOver, StartsAtTheExpectedTime)
{
    const TakeOverCase &given = GetParam();
    LeaseMonitor monitor = makeMonitor();
    monitor.onStatus(heartbeat(5, given.successors), at(0ms));
    std::optional<Duration> due;
    for (Duration time = 0ms; time < 20s && !due; time += 100ms) {
        if (given.promiseAt == time) {
            monitor.onPromiseRequest(PromiseRequest{TestShard, Epoch{1}, 1}, true, at(time));
        }
        if (given.newVersionAt == time) {
            monitor.onStatus(heartbeat(6, given.successors), at(time));
        }
        if (!monitor.tick(given.isStoreUnavailable, at(time)).takeOvers.empty()) {
            due = time;
        }
    }
    EXPECT_EQ(due, given.due);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         LeaseMonitorTakeOver,
                         ::testing::Values(TakeOverCase{"FirstSuccessor", {entryB, entryC}, false, {}, {}, 3300ms},
                                           TakeOverCase{"SecondSuccessor", {entryC, entryB}, false, {}, {}, 4300ms},
                                           TakeOverCase{"NotNamed", {entryC}, false, {}, {}, {}},
                                           TakeOverCase{"StoreUnavailable", {entryB}, true, {}, {}, {}},
                                           TakeOverCase{"Promised", {entryB}, false, 2000ms, {}, 5300ms},
                                           TakeOverCase{"NewVersion", {entryB}, false, {}, 3200ms, 6500ms}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(LeaseMonitorPromise, IsRefusedWhileTheStoreIsAvailableOrATakeoverIsInProgress)
{
    LeaseMonitor monitor = makeMonitor();
    const PromiseRequest request{TestShard, Epoch{1}, 9};
    EXPECT_FALSE(monitor.onPromiseRequest(request, false, at(0s)).granted);
    const PromiseAnswer answer = monitor.onPromiseRequest(request, true, at(1s));
    EXPECT_TRUE(answer.granted);
    EXPECT_EQ(answer.sequence, 9U);
    EXPECT_EQ(monitor.promisedUntil(TestShard), at(4300ms).steady);
    monitor.onTakeOverBegun(TestShard);
    EXPECT_FALSE(monitor.onPromiseRequest(request, true, at(2s)).granted);
    monitor.onTakeOverEnded(TestShard, false, std::nullopt, at(3s));
    EXPECT_TRUE(monitor.onPromiseRequest(request, true, at(3s)).granted);
}

TEST(LeaseMonitorRow, HandedOverShardIsTakenOverAtOnce)
{
    LeaseMonitor monitor = makeMonitor();
    monitor.onStatus(heartbeat(5, {entryC}), at(0s));
    EntryStatus without = heartbeat(6, {});
    without.leases.clear();
    monitor.onStatus(without, at(500ms));
    EXPECT_EQ(monitor.tick(false, at(500ms)).reads, std::vector<ShardId>{TestShard});
    monitor.onRow(leaseRow(7, "", {entryB}), at(510ms));
    const LeaseMonitorDue due = monitor.tick(false, at(510ms));
    ASSERT_EQ(due.takeOvers.size(), 1U);
    EXPECT_EQ(due.takeOvers.front().version, RowVersion{7});
}

TEST(LeaseMonitorRow, RowOfASilentHolderIsReadOnce)
{
    LeaseMonitor monitor = makeMonitor();
    monitor.onStatus(heartbeat(5, {entryB}), at(0s));
    EXPECT_TRUE(monitor.tick(false, at(900ms)).reads.empty());
    EXPECT_EQ(monitor.tick(false, at(1s)).reads.size(), 1U);
    monitor.onRow(leaseRow(9, "a", {entryB}), at(1010ms));
    for (Duration time = 1020ms; time < 4310ms; time += 10ms) {
        const LeaseMonitorDue due = monitor.tick(false, at(time));
        EXPECT_TRUE(due.reads.empty() && due.takeOvers.empty());
    }
    EXPECT_EQ(monitor.tick(false, at(4310ms)).takeOvers.size(), 1U);
}

TEST(LeaseMonitorRow, OrphanIsTakenOverAfterTheOrphanTime)
{
    LeaseMonitor monitor = makeMonitor();
    const ShardLogSettings settings;
    Duration taken(0);
    for (Duration time = 0s; time < 30min && taken == 0s; time += 60s) {
        monitor.onRow(leaseRow(5, "a", {entryC}), at(time));
        taken = monitor.tick(false, at(time)).takeOvers.empty() ? 0s : time;
    }
    EXPECT_EQ(taken, settings.orphanTime + 60s);
}

} // namespace

} // namespace Vanillahall
