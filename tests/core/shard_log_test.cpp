#include "vanillahall/core/shard_log_base.h"

#include "fake_store.h"

#include "vanillahall/core/shard_log_func.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr ShardId TestShard{7};

JournalRecord record(std::uint64_t serial)
{
    ProgramEnded it;
    it.program = ProgramId{TestShard, serial};
    return it;
}

std::uint64_t serialOf(const JournalRecord &record)
{
    return std::get<ProgramEnded>(record).program.serial;
}

/** Runs shard logs with a fake store in simulated time. */
class ShardLogTest : public ::testing::Test
{
public:
    FakeStore store;
    StoreFault fault = StoreFault::None;
    ShardLogOutput out;
    Now now{TimePoint(100s), WallTime()};
    std::vector<std::uint64_t> recovered;
    std::uint64_t nextSerial = 1;

    ShardLogTest()
    {
        out.nextRequest.value = 1;
    }

    ShardLog makeLog(const char *name, ShardLogSettings settings = ShardLogSettings())
    {
        return {TestShard, EntryName{name}, Incarnation{1}, settings};
    }

    /** Advances the time in steps of 5 ms. */
    void run(ShardLog &log, Duration time)
    {
        for (const TimePoint end = now.steady + time; now.steady < end; now.steady += 5ms) {
            for (const FakeAnswer &it : store.advance(now.steady)) {
                log.onStoreReply(it.request, it.answer, now, out);
            }
            log.tick(now, out);
            drain();
        }
    }

    void drain()
    {
        for (const ShardStoreRequest &it : out.store) {
            store.submit(0, it.request, it.body, fault, now.steady);
        }
        out.store.clear();
        for (const JournalRecord &it : out.recovered) {
            recovered.push_back(serialOf(it));
        }
        out.recovered.clear();
    }

    void add(ShardLog &log, std::uint32_t count)
    {
        for (std::uint32_t n = 0; n < count; n++) {
            log.append(record(nextSerial++), now, out);
        }
    }

    void create(ShardLog &log)
    {
        log.create(now, out);
        drain();
        run(log, 50ms);
    }

    void takeOver(ShardLog &log)
    {
        recovered.clear();
        log.takeOver(*store.row(leaseKey(TestShard)), now, out);
        drain();
        run(log, 1s);
    }

    [[nodiscard]] const LeaseRow &row() const
    {
        return std::get<LeaseRow>(store.row(leaseKey(TestShard))->value);
    }

    /** @return The serials 1 to `count`. */
    static std::vector<std::uint64_t> serials(std::uint64_t count)
    {
        std::vector<std::uint64_t> list;
        for (std::uint64_t n = 1; n <= count; n++) {
            list.push_back(n);
        }
        return list;
    }
};

TEST_F(ShardLogTest, CreatesRenewsAndCommits)
{
    ShardLog log = makeLog("a");
    create(log);
    ASSERT_EQ(log.phase(), ShardPhase::Held);
    EXPECT_EQ(log.epoch(), Epoch{1});
    add(log, 3);
    run(log, 50ms);
    EXPECT_EQ(log.durable(), RecordNumber{3});
    run(log, 10s);
    EXPECT_TRUE(log.canOrder(now.steady));
    EXPECT_EQ(store.counters().writes, 12U); // Creation, one group commit, ten renewals.
}

TEST_F(ShardLogTest, NextHolderLoadsEveryRecordInOrder)
{
    ShardLog first = makeLog("a");
    create(first);
    for (int n = 0; n < 150; n++) {
        add(first, 2);
        run(first, 20ms);
    }
    run(first, 50ms);
    ShardLog second = makeLog("b");
    takeOver(second);
    EXPECT_EQ(second.phase(), ShardPhase::Held);
    EXPECT_EQ(second.epoch(), Epoch{2});
    EXPECT_EQ(recovered, serials(300));
    run(first, 2s);
    EXPECT_EQ(first.phase(), ShardPhase::Lost);
}

/** A fault of the store at the first commit. */
struct CommitFault
{
    const char *name;  ///< Name of the case.
    StoreFault fault;  ///< Fault of the store.
    Duration length{}; ///< Duration of the fault.
};

std::ostream &operator<<(std::ostream &stream, const CommitFault &it)
{
    return stream << it.name;
}

class ShardLogCommitFault : public ShardLogTest, public ::testing::WithParamInterface<CommitFault>
{
};

TEST_P(ShardLogCommitFault, EveryRecordIsStoredOnceInOrder)
{
    ShardLog log = makeLog("a");
    create(log);
    fault = GetParam().fault;
    add(log, 3);
    run(log, GetParam().length);
    EXPECT_EQ(log.durable(), RecordNumber{0});
    add(log, 4);
    fault = StoreFault::None;
    run(log, 3s);
    EXPECT_TRUE(log.canOrder(now.steady));
    EXPECT_FALSE(log.isStoreUnavailable());
    EXPECT_EQ(log.durable(), RecordNumber{7});
    ShardLog nextHolder = makeLog("b");
    takeOver(nextHolder);
    EXPECT_EQ(recovered, serials(7));
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         ShardLogCommitFault,
                         ::testing::Values(CommitFault{"Refused", StoreFault::Refused, 2s},
                                           CommitFault{"Silent", StoreFault::Silent, 2s},
                                           CommitFault{"AnswerLost", StoreFault::AnswerLost, 700ms},
                                           CommitFault{"TwoAnswersLost", StoreFault::AnswerLost, 1500ms},
                                           CommitFault{"RefusedTenMinutes", StoreFault::Refused, 600s},
                                           CommitFault{"SilentTenMinutes", StoreFault::Silent, 600s}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST_F(ShardLogTest, RecordsAppendedDuringAnOutageAreSplitIntoSegments)
{
    ShardLogSettings settings;
    settings.segmentBytes = 2000;
    ShardLog log = makeLog("a", settings);
    create(log);
    fault = StoreFault::Refused;
    run(log, 2s);
    add(log, 500);
    run(log, 60s);
    fault = StoreFault::None;
    run(log, 3s);
    EXPECT_EQ(log.durable(), RecordNumber{500});
    EXPECT_EQ(row().lastSegment, SegmentNumber{42}); // 12 records of 160 bytes fit into 2000 bytes.
    ShardLog nextHolder = makeLog("b", settings);
    takeOver(nextHolder);
    EXPECT_EQ(recovered, serials(500));
}

TEST_F(ShardLogTest, LeaseExpiresAtTheOutageLimit)
{
    ShardLogSettings settings;
    ShardLog log = makeLog("a", settings);
    create(log);
    const TimePoint renewed = log.validUntil() - settings.leaseTime;
    fault = StoreFault::Silent;
    run(log, settings.outageLimit - 5s);
    EXPECT_TRUE(log.canOrder(now.steady));
    run(log, 10s);
    EXPECT_EQ(log.phase(), ShardPhase::Lapsed);
    EXPECT_LE(log.validUntil(), renewed + settings.outageLimit + settings.renewInterval);
    fault = StoreFault::None;
    run(log, 3s);
    EXPECT_TRUE(log.canOrder(now.steady));
}

TEST_F(ShardLogTest, SnapshotReplacesSegments)
{
    ShardLogSettings settings;
    settings.snapshotSegments = 10;
    ShardLog log = makeLog("a", settings);
    create(log);
    for (int n = 0; n < 45; n++) {
        add(log, 1);
        if (log.isSnapshotDue()) {
            std::vector<JournalRecord> live;
            for (const std::uint64_t serial : serials(nextSerial - 1)) {
                live.push_back(record(serial));
            }
            log.writeSnapshot(live, now, out);
        }
        run(log, 50ms);
    }
    run(log, 5s);
    EXPECT_GE(row().snapshotSegment, SegmentNumber{33});
    EXPECT_EQ(store.objectCount(), 1U);
    EXPECT_EQ(store.rows().size(), 1 + row().lastSegment.value - row().snapshotSegment.value);
    ShardLog nextHolder = makeLog("b", settings);
    takeOver(nextHolder);
    EXPECT_EQ(recovered, serials(45));
}

TEST_F(ShardLogTest, RetiredShardKeepsOnlyItsLeaseRow)
{
    ShardLogSettings settings;
    settings.snapshotSegments = 20;
    ShardLog log = makeLog("a", settings);
    create(log);
    for (int n = 0; n < 90; n++) {
        add(log, 1);
        run(log, 50ms);
        if (log.isSnapshotDue() && n < 40) {
            log.writeSnapshot({record(1)}, now, out);
        }
    }
    run(log, 5s);
    log.handOver(EntryName(), now, out);
    drain();
    run(log, 10s);
    EXPECT_EQ(log.phase(), ShardPhase::Lost);
    EXPECT_TRUE(row().retired);
    EXPECT_EQ(store.rows().size(), 1U);
    EXPECT_EQ(store.objectCount(), 0U);
}

TEST_F(ShardLogTest, NoCallMayBeOrderedOnceTheHandOverIsSent)
{
    ShardLog log = makeLog("a");
    create(log);
    add(log, 5);
    fault = StoreFault::AnswerLost;
    run(log, 20ms);
    log.handOver(EntryName{"b"}, now, out);
    drain();
    EXPECT_TRUE(log.canOrder(now.steady)); // A commit is in progress; the hand-over is sent after it.
    run(log, 600ms);
    fault = StoreFault::None;
    run(log, 300ms);
    EXPECT_FALSE(log.canOrder(now.steady));
    run(log, 1s);
    EXPECT_EQ(log.phase(), ShardPhase::Lost);
    EXPECT_TRUE(row().owner.empty());
    EXPECT_EQ(row().lastRecord, RecordNumber{5});
    ShardLog nextHolder = makeLog("b");
    nextHolder.takeOverVersion(RowVersion{0}, now, out);
    drain();
    run(nextHolder, 100ms);
    EXPECT_EQ(nextHolder.phase(), ShardPhase::Held);
    EXPECT_EQ(recovered, serials(5));
}

TEST_F(ShardLogTest, PromiseDoesNotExtendAnExpiredLease)
{
    const EntryName successor{"b"};
    ShardLog log = makeLog("a");
    log.setSuccessors({successor});
    create(log);
    fault = StoreFault::Silent;
    run(log, 5s);
    ASSERT_EQ(log.phase(), ShardPhase::Lapsed);
    ASSERT_FALSE(out.promises.empty());
    const PromiseRequest request = out.promises.back().message;
    log.onPromise(successor, PromiseAnswer{request.shard, request.epoch, request.sequence, true}, now);
    log.tick(now, out);
    EXPECT_FALSE(log.canOrder(now.steady));
}

TEST_F(ShardLogTest, OutdatedRowAfterAConflictIsIgnored)
{
    ShardLog log = makeLog("a");
    create(log);
    run(log, 2s);
    add(log, 3);
    fault = StoreFault::AnswerLost;
    run(log, 700ms);
    fault = StoreFault::Stale;
    run(log, 800ms);
    EXPECT_EQ(log.phase(), ShardPhase::Held);
    EXPECT_EQ(log.durable(), RecordNumber{0});
    fault = StoreFault::None;
    run(log, 1s);
    EXPECT_TRUE(log.canOrder(now.steady));
    EXPECT_EQ(log.durable(), RecordNumber{3});
}

TEST_F(ShardLogTest, JournalWithAGapIsReadAgain)
{
    ShardLog first = makeLog("a");
    create(first);
    for (int n = 0; n < 10; n++) {
        add(first, 1);
        run(first, 50ms);
    }
    ShardLog second = makeLog("b");
    fault = StoreFault::Stale;
    takeOver(second);
    EXPECT_EQ(second.phase(), ShardPhase::Loading);
    fault = StoreFault::None;
    run(second, 1s);
    EXPECT_EQ(recovered, serials(10));
}

TEST_F(ShardLogTest, TakeoverIsGivenUpIfTheRowHasAnotherVersion)
{
    ShardLog first = makeLog("a");
    create(first);
    const RowVersion old = store.row(leaseKey(TestShard))->version;
    run(first, 2s);
    ShardLog second = makeLog("b");
    second.takeOverVersion(old, now, out);
    drain();
    run(second, 100ms);
    EXPECT_EQ(second.phase(), ShardPhase::Lost);
    ASSERT_TRUE(second.conflictingRow().has_value());
    EXPECT_GT(second.conflictingRow()->version, old);
    EXPECT_EQ(row().owner, EntryName{"a"});
}

TEST_F(ShardLogTest, LeaseWithoutSuccessorsIsRenewedAsSoonAsASuccessorIsKnown)
{
    ShardLog log = makeLog("a");
    create(log);
    ASSERT_TRUE(row().successors.empty());
    log.setSuccessors({EntryName{"b"}});
    run(log, 100ms);
    ASSERT_EQ(row().successors.size(), 1U);
    EXPECT_EQ(row().successors.front(), EntryName{"b"});
    EXPECT_EQ(store.counters().writes, 2U);
}

} // namespace

} // namespace Vanillahall
