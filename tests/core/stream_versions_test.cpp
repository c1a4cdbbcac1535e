/** Record of the versions at which streams may have begun, and the origin of a resumed stream. */
#include "vanillahall/core/stream_versions_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

const SoftwareVersion first{"llm", "v1"};
const SoftwareVersion second{"llm", "v2"};
const TimePoint start = TimePoint() + 1h;

/** Two entries and the row that they share. */
struct SharedRecord
{
    /** Lets an entry read the row, see the listed servers and write what is due. @return True if it has written. */
    bool step(StreamVersions &entry, const std::vector<SoftwareVersion> &listed, Duration time, bool removesOld = false)
    {
        entry.onRowRead(row, start + time);
        entry.onListed(listed, start + time);
        auto written = entry.beginWrite(storeTime(time), removesOld, start + time);
        if (!written) {
            return false;
        }
        EXPECT_EQ(written->version, row.version);
        row = std::move(*written);
        row.version += 1;
        entry.onWritten(row.version);
        return true;
    }

    static std::chrono::milliseconds storeTime(Duration time)
    {
        return 5h + std::chrono::duration_cast<std::chrono::milliseconds>(time);
    }

    StreamVersionsRow row;
    StreamVersions one;
    StreamVersions other;
};

} // namespace

// After the loss of all entries, nobody knew that all servers had had the same version.
TEST(StreamVersions, NamesTheOnlyVersionToAnEntryThatHasJustStarted)
{
    SharedRecord record;
    EXPECT_FALSE(record.one.isRecorded(first));
    EXPECT_FALSE(record.one.isConfirmedSince(start));
    EXPECT_TRUE(record.step(record.one, {first}, 0s));
    EXPECT_FALSE(record.step(record.one, {first}, 1s));
    EXPECT_TRUE(record.one.isRecorded(first));
    record.other.onRowRead(record.row, start + 2s);
    EXPECT_TRUE(record.other.isConfirmedSince(start + 2s));
    EXPECT_FALSE(record.other.isConfirmedSince(start + 2001ms));
    EXPECT_EQ(record.other.possible(SharedRecord::storeTime(2s)), std::vector{first});
}

// Streams of a version that has left must not go on at another one.
TEST(StreamVersions, AVersionThatHasLeftCountsUntilItsStreamsHaveEnded)
{
    SharedRecord record;
    EXPECT_TRUE(record.step(record.one, {first, second}, 0s));
    EXPECT_FALSE(record.step(record.one, {second}, 1s, true));
    EXPECT_TRUE(record.step(record.one, {second}, 11s, true));
    EXPECT_FALSE(record.one.isRecorded(first));
    EXPECT_EQ(record.one.possible(SharedRecord::storeTime(130s)), (std::vector{first, second}));
    EXPECT_EQ(record.one.possible(SharedRecord::storeTime(132s)), std::vector{second});
    EXPECT_TRUE(record.step(record.one, {second}, 252s, true));
    EXPECT_EQ(record.row.versions.size(), 1U);
}

// An entry that saw no server of a version ended it for the others, whose streams still began there.
TEST(StreamVersions, AVersionThatIsListedElsewhereIsRecordedAgain)
{
    SharedRecord record;
    EXPECT_TRUE(record.step(record.one, {first, second}, 0s));
    EXPECT_FALSE(record.step(record.one, {second}, 1s, true));
    EXPECT_TRUE(record.step(record.one, {second}, 11s, true));
    EXPECT_TRUE(record.step(record.other, {first, second}, 12s));
    EXPECT_TRUE(record.other.isRecorded(first));
}

TEST(StreamVersions, ARefusedWriteLeadsToTheCurrentRow)
{
    SharedRecord record;
    record.one.onRowRead({}, start);
    record.one.onListed({first}, start);
    ASSERT_TRUE(record.one.beginWrite(1ms, false, start));
    EXPECT_FALSE(record.one.beginWrite(1ms, false, start));
    record.one.onConflict({{{second}}, 7});
    EXPECT_FALSE(record.one.isRecorded(first));
    EXPECT_TRUE(record.one.isRecorded(second));
    const auto again = record.one.beginWrite(1ms, false, start);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->version, 7U);
    EXPECT_EQ(again->versions.size(), 2U);
    record.one.onWriteFailed();
    EXPECT_FALSE(record.one.isRecorded(first));
}

// A stream without a budget that had begun while there was one version went on at another one.
TEST(StreamVersions, StreamsBegunBeforeAnotherVersionJoinedAreOfTheFirst)
{
    SharedRecord record;
    EXPECT_TRUE(record.step(record.one, {first}, 0s));
    EXPECT_FALSE(record.one.hasSeveral());
    EXPECT_FALSE(record.one.unnamed(SharedRecord::storeTime(0s)));
    EXPECT_TRUE(record.step(record.one, {first, second}, 10s));
    EXPECT_TRUE(record.one.hasSeveral());
    EXPECT_EQ(record.one.unnamed(SharedRecord::storeTime(129s)), first);
    EXPECT_FALSE(record.one.unnamed(SharedRecord::storeTime(130s)));
}

TEST(StreamVersions, WithSeveralVersionsFromTheFirstAllStreamsAreNamed)
{
    SharedRecord record;
    EXPECT_TRUE(record.step(record.one, {first, second}, 0s));
    EXPECT_TRUE(record.one.hasSeveral());
    EXPECT_FALSE(record.one.unnamed(SharedRecord::storeTime(0s)));
    EXPECT_TRUE(record.step(record.one, {first, second, {"llm", "v3"}}, 10s));
    EXPECT_FALSE(record.one.unnamed(SharedRecord::storeTime(10s)));
}

struct OriginCase
{
    const char *name;
    OriginKnowledge known;
    StreamOrigin origin;
};

class StreamOriginOf : public ::testing::TestWithParam<OriginCase>
{
};

// Streams were refused although their version could be known, and joined from two versions if it could not.
TEST_P(StreamOriginOf, WhatIsKnown)
{
    const auto &param = GetParam();
    const auto origin = findStreamOrigin(param.known);
    EXPECT_EQ(origin.index(), param.origin.index());
    const auto *known = std::get_if<OriginKnown>(&origin);
    const auto *expected = std::get_if<OriginKnown>(&param.origin);
    if (known != nullptr && expected != nullptr) {
        EXPECT_EQ(known->software, expected->software);
    }
}

using Versions = std::vector<SoftwareVersion>;
const Versions none;
const Versions both{first, second};

INSTANTIATE_TEST_SUITE_P(
    All,
    StreamOriginOf,
    ::testing::Values(OriginCase{"nothing", {}, OriginNeedsRecord{}},
                      OriginCase{"oneVersionWithoutRow", {Versions{first}, false, {}, true, {}}, OriginKnown{first}},
                      OriginCase{"twoVersionsWithoutRow", {both, false, {}, true, {}}, OriginAmbiguous{}},
                      OriginCase{"noVersionWithoutRow", {none, false, {}, true, {}}, OriginAmbiguous{}},
                      OriginCase{"rowNotRead", {Versions{first}, true, {}, true, {}}, OriginNeedsRow{}},
                      OriginCase{"oneVersionThatTheRowNames", {Versions{first}, true, Versions{first}, true, {}}, OriginKnown{first}},
                      OriginCase{"oneVersionAndNoRow", {Versions{first}, true, none, true, {}}, OriginKnown{first}},
                      OriginCase{"rowNamesOneThatIsNotRecorded", {Versions{first}, true, Versions{second}, true, {}}, OriginNeedsOwner{}},
                      OriginCase{"twoVersionsOwnerNotAsked", {both, true, Versions{first}, true, {}}, OriginNeedsOwner{}},
                      OriginCase{"twoVersionsOwnerHasGrantedNone", {both, true, Versions{first}, true, none}, OriginKnown{first}},
                      OriginCase{
                          "twoVersionsOwnerHasGrantedAnother", {both, true, Versions{first}, true, Versions{second}}, OriginAmbiguous{}},
                      OriginCase{"twoVersionsOnlyTheOwnerKnows", {both, true, none, true, Versions{second}}, OriginKnown{second}},
                      OriginCase{"twoVersionsWithoutOwners", {both, true, Versions{second}, false, {}}, OriginKnown{second}},
                      OriginCase{"rowOfAnOlderRelease", {both, true, Versions{SoftwareVersion()}, false, {}}, OriginAmbiguous{}},
                      OriginCase{"streamRowNamesOne", {both, true, Versions{second}, false, {}, {}}, OriginKnown{second}},
                      OriginCase{"streamWithoutRowBeganBefore", {both, true, none, false, {}, first}, OriginKnown{first}},
                      OriginCase{"streamRowNamesTheFirst", {both, true, Versions{first}, false, {}, first}, OriginKnown{first}},
                      OriginCase{"streamRowNamesAnother", {both, true, Versions{second}, false, {}, first}, OriginAmbiguous{}},
                      OriginCase{"streamWithoutRow", {both, true, none, false, {}, {}}, OriginAmbiguous{}},
                      OriginCase{"rowNamesBoth", {both, true, both, false, {}}, OriginAmbiguous{}}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
