#include "vanillahall/core/holder_directory_base.h"

#include "vanillahall/core/shard_log_func.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr ShardId TestShard{7};
const EntryName entryA{"a"};
const EntryName entryB{"b"};

Now at(Duration time)
{
    return Now{TimePoint(100s + time), WallTime()};
}

StoredRow leaseRow(const EntryName &owner, std::uint64_t epoch, std::uint64_t version, bool retired = false)
{
    LeaseRow row;
    row.shard = TestShard;
    row.owner = owner;
    row.epoch.value = epoch;
    row.retired = retired;
    return StoredRow{leaseKey(TestShard), RowVersion{version}, row};
}

/** Events reported to the directory, and the expected result of a look-up. */
struct DirectoryCase
{
    const char *name;                  ///< Name of the case.
    void (*report)(HolderDirectory &); ///< Reports the events.
    Duration when{};                   ///< Time of the look-up.
    HolderKnowledge knowledge;         ///< Expected knowledge.
    EntryName owner;                   ///< Expected holder.
};

std::ostream &operator<<(std::ostream &stream, const DirectoryCase &it)
{
    return stream << it.name;
}

class HolderDirectoryLookup : public ::testing::TestWithParam<DirectoryCase>
{
};

TEST_P(HolderDirectoryLookup, GivesExpectedHolder)
{
    HolderDirectory directory{HolderDirectorySettings()};
    GetParam().report(directory);
    const HolderLookup found = directory.find(TestShard, at(GetParam().when));
    EXPECT_EQ(found.knowledge, GetParam().knowledge);
    EXPECT_EQ(found.holder.owner, GetParam().owner);
}

void nothing(HolderDirectory & /*it*/)
{
}

void heartbeatOfA(HolderDirectory &it)
{
    EntryStatus status;
    status.entry = entryA;
    status.leases.push_back(HeldLease{TestShard, Epoch{2}, RowVersion{20}, {}});
    it.onStatus(status, at(0s));
}

void rowOfNewHolder(HolderDirectory &it)
{
    heartbeatOfA(it);
    it.onRow(leaseRow(entryB, 3, 21), at(0s));
    heartbeatOfA(it);
}

void oldRow(HolderDirectory &it)
{
    heartbeatOfA(it);
    it.onRow(leaseRow(entryB, 1, 10), at(0s));
}

void refusedByA(HolderDirectory &it)
{
    heartbeatOfA(it);
    it.onNotHolder(TestShard, entryA, at(0s));
}

void refusedByOther(HolderDirectory &it)
{
    heartbeatOfA(it);
    it.onNotHolder(TestShard, entryB, at(0s));
}

void missing(HolderDirectory &it)
{
    it.beginRead(TestShard, at(0s));
    it.onMissing(TestShard, at(0s));
}

void retired(HolderDirectory &it)
{
    it.onRow(leaseRow(EntryName(), 3, 21, true), at(0s));
}

void reading(HolderDirectory &it)
{
    it.beginRead(TestShard, at(0s));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         HolderDirectoryLookup,
                         ::testing::Values(DirectoryCase{"Nothing", nothing, 0s, HolderKnowledge::Unknown, {}},
                                           DirectoryCase{"Heartbeat", heartbeatOfA, 1h, HolderKnowledge::Known, entryA},
                                           DirectoryCase{"NewHolder", rowOfNewHolder, 0s, HolderKnowledge::Known, entryB},
                                           DirectoryCase{"OldRow", oldRow, 0s, HolderKnowledge::Known, entryA},
                                           DirectoryCase{"Refused", refusedByA, 0s, HolderKnowledge::Unknown, entryA},
                                           DirectoryCase{"RefusedByOther", refusedByOther, 0s, HolderKnowledge::Known, entryA},
                                           DirectoryCase{"Missing", missing, 4900ms, HolderKnowledge::Missing, {}},
                                           DirectoryCase{"MissingExpired", missing, 5s, HolderKnowledge::Unknown, {}},
                                           DirectoryCase{"Retired", retired, 1s, HolderKnowledge::Missing, {}},
                                           DirectoryCase{"Reading", reading, 700ms, HolderKnowledge::Reading, {}},
                                           DirectoryCase{"ReadTimedOut", reading, 800ms, HolderKnowledge::Unknown, {}}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(HolderDirectoryRead, OnlyOneReadIsInProgress)
{
    HolderDirectory directory{HolderDirectorySettings()};
    EXPECT_TRUE(directory.beginRead(TestShard, at(0s)));
    EXPECT_FALSE(directory.beginRead(TestShard, at(100ms)));
    directory.onReadFailed(TestShard, at(200ms));
    EXPECT_FALSE(directory.beginRead(TestShard, at(300ms)));
    EXPECT_TRUE(directory.beginRead(TestShard, at(700ms)));
}

TEST(HolderDirectorySize, StaysBounded)
{
    HolderDirectorySettings settings;
    settings.maxShards = 100;
    HolderDirectory directory(settings);
    for (std::uint64_t n = 0; n < 1000; n++) {
        directory.onHeld(ShardId{n}, Holder{entryA, Epoch{1}, RowVersion{1}}, at(n * 1ms));
        EXPECT_LE(directory.size(), settings.maxShards);
    }
    EXPECT_EQ(directory.find(ShardId{999}, at(1s)).knowledge, HolderKnowledge::Known);
}

} // namespace

} // namespace Vanillahall
