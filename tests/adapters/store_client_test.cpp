#include "vanillahall/adapters/store_client_base.h"

#include "adapter_bench.h"
#include "store_standin_base.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

QuarantineRow rowOf(std::uint64_t number)
{
    return QuarantineRow{ContentHash{number, 1}, {ServerName{"s1"}}, WallTime(std::chrono::milliseconds(5)), false};
}

StoreTransaction putOf(const std::string &key, std::uint64_t version, std::uint64_t number)
{
    return StoreTransaction{{RowCondition{RowKey{key}, RowVersion{version}}}, {RowPut{RowKey{key}, rowOf(number)}}, {}};
}

/** A store stand-in and its client. */
struct StoreBench : AdapterBench<StoreStandin>
{
    StoreAnswer sendAndWait(const StoreRequest &request, Duration limit = LongLimit)
    {
        StoreClient client(http, peer);
        std::vector<StoreAnswer> answers;
        client.send(request, limit, [&answers](StoreAnswer &&answer) {
            answers.push_back(std::move(answer));
        });
        EXPECT_TRUE(answers.empty()) << "called before send() returned";
        EXPECT_TRUE(runUntil(loop, [&answers] {
            return !answers.empty();
        }));
        runUntilFaultIsOver(loop, lastFault);
        EXPECT_EQ(answers.size(), 1U);
        return answers.empty() ? StoreAnswer(StoreFailed{}) : std::move(answers.front());
    }

    /** @return The number of the stored row, as given to rowOf(); nothing if there is no row. */
    std::optional<std::uint64_t> numberAt(const std::string &key)
    {
        const auto answer = sendAndWait(StoreGet{RowKey{key}});
        const auto *rows = std::get_if<StoreRows>(&answer);
        EXPECT_NE(rows, nullptr);
        if (rows == nullptr || rows->rows.empty()) {
            return std::nullopt;
        }
        return std::get<QuarantineRow>(rows->rows.front().value).content.high;
    }
};

} // namespace

struct StoreFaultCase
{
    const char *name;                 ///< Name of the case.
    const char *fault;                ///< Fault of the stand-in.
    Duration limit;                   ///< Time limit of the request.
    std::optional<ErrorCode> error;   ///< The error; nothing if the request works.
    RunState run = RunState::Unknown; ///< Expected run state of a failed write.
    bool written{};                   ///< Whether the write took effect.
};

class StoreFaults : public ::testing::TestWithParam<StoreFaultCase>
{
};

TEST_P(StoreFaults, FailedWritesReportTheirRunState)
{
    const StoreFaultCase &it = GetParam();
    StoreBench bench;
    const PlatformPeer healthy = bench.peer;
    bench.setFault(it.fault);
    const auto answer = bench.sendAndWait(putOf("k", 0, 7), it.limit);
    if (it.error) {
        const auto &error = std::get<StoreFailed>(answer).error;
        EXPECT_EQ(error.code, *it.error);
        EXPECT_EQ(error.run, it.run);
        EXPECT_EQ(error.peer, "peer");
    } else {
        EXPECT_TRUE(std::holds_alternative<StoreDone>(answer));
    }
    bench.peer = healthy;
    bench.clearFaults();
    EXPECT_EQ(bench.numberAt("k"), it.written ? std::optional<std::uint64_t>(7) : std::nullopt);
}

TEST_P(StoreFaults, FailedReadsReturnNoRows)
{
    const StoreFaultCase &it = GetParam();
    StoreBench bench;
    bench.sendAndWait(putOf("k", 0, 7));
    bench.sendAndWait(putOf("k", 1, 8));
    bench.setFault(it.fault);
    for (const StoreRequest &request : {StoreRequest(StoreGet{RowKey{"k"}}), StoreRequest(StoreScan{RowKey{"a"}, RowKey{"z"}, 10})}) {
        const auto answer = bench.sendAndWait(request, it.limit);
        if (it.error) {
            EXPECT_EQ(std::get<StoreFailed>(answer).error.code, *it.error);
        } else {
            EXPECT_EQ(std::get<StoreRows>(answer).rows.size(), 1U);
        }
    }
}

TEST_P(StoreFaults, FailedObjectWritesReportTheirRunState)
{
    const StoreFaultCase &it = GetParam();
    StoreBench bench;
    const PlatformPeer healthy = bench.peer;
    bench.setFault(it.fault);
    const auto answer = bench.sendAndWait(ObjectPut{ObjectKey{"o"}, ShardSnapshot{SegmentNumber{3}, RecordNumber{4}, {}}}, it.limit);
    if (it.error) {
        EXPECT_EQ(std::get<StoreFailed>(answer).error.run, it.run);
    } else {
        EXPECT_TRUE(std::holds_alternative<StoreDone>(answer));
    }
    bench.peer = healthy;
    bench.clearFaults();
    EXPECT_EQ(std::get<StoreObject>(bench.sendAndWait(ObjectGet{ObjectKey{"o"}})).snapshot.has_value(), it.written);
}

// Each fault applies to several requests, so that both reads of a case are affected.
INSTANTIATE_TEST_SUITE_P(
    Kinds,
    StoreFaults,
    ::testing::Values(
        StoreFaultCase{"Slow", R"({"kind":"slow","ms":700,"count":9})", ShortLimit, ErrorCode::Timeout, RunState::Unknown, true},
        StoreFaultCase{"Hang", R"({"kind":"hang","count":9})", ShortLimit, ErrorCode::Timeout, RunState::Unknown, false},
        StoreFaultCase{
            "DropAnswer", R"({"kind":"drop_answer","count":9})", LongLimit, ErrorCode::StoreUnavailable, RunState::Unknown, true},
        StoreFaultCase{"Reset", R"({"kind":"reset","count":9})", LongLimit, ErrorCode::StoreUnavailable, RunState::Unknown, false},
        StoreFaultCase{"Silent", R"({"kind":"silent","count":9})", ShortLimit, ErrorCode::Timeout, RunState::Unknown, true},
        StoreFaultCase{"Refuse", R"({"kind":"refuse","count":9})", LongLimit, ErrorCode::StoreUnavailable, RunState::NotRun, false},
        StoreFaultCase{"Down", R"({"kind":"down","ms":60000})", LongLimit, ErrorCode::StoreUnavailable, RunState::Unknown, false},
        StoreFaultCase{"Crash", R"({"kind":"crash","count":9})", LongLimit, ErrorCode::StoreUnavailable, RunState::Unknown, false},
        StoreFaultCase{"Absent", "absent", LongLimit, ErrorCode::StoreUnavailable, RunState::NotRun, false},
        StoreFaultCase{"Stale", R"({"kind":"stale","count":9})", LongLimit, {}, RunState::Ran, true},
        StoreFaultCase{"None", "", LongLimit, {}, RunState::Ran, true}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

TEST(StoreClient, StaleReadReturnsAnOlderVersion)
{
    StoreBench bench;
    bench.sendAndWait(putOf("k", 0, 7));
    bench.sendAndWait(putOf("k", 1, 8));
    bench.setFault(R"({"kind":"stale"})");
    EXPECT_EQ(bench.numberAt("k"), 7U);
    EXPECT_EQ(bench.numberAt("k"), 8U);
}

TEST(StoreClient, WriteWithOutdatedVersionIsAConflict)
{
    StoreBench bench;
    EXPECT_EQ(std::get<StoreDone>(bench.sendAndWait(putOf("k", 0, 7))).version, RowVersion{1});
    EXPECT_TRUE(std::holds_alternative<StoreConflict>(bench.sendAndWait(putOf("k", 0, 8))));
    EXPECT_EQ(bench.numberAt("k"), 7U);
    EXPECT_EQ(std::get<StoreDone>(bench.sendAndWait(putOf("k", 1, 9))).version, RowVersion{2});
}

TEST(StoreClient, ScansInKeyOrderUpToTheLimit)
{
    StoreBench bench;
    for (const char *key : {"b/2", "b/1 ü&", "c", "a"}) {
        bench.sendAndWait(putOf(key, 0, 1));
    }
    const auto answer = bench.sendAndWait(StoreScan{RowKey{"b/1 ü&"}, RowKey{"c"}, 10});
    const auto &rows = std::get<StoreRows>(answer);
    ASSERT_EQ(rows.rows.size(), 2U);
    EXPECT_EQ(rows.rows[0].key.text, "b/1 ü&");
    EXPECT_EQ(rows.rows[1].key.text, "b/2");
    EXPECT_FALSE(rows.more);
    EXPECT_TRUE(std::get<StoreRows>(bench.sendAndWait(StoreScan{RowKey{"a"}, RowKey{"z"}, 3})).more);
}

TEST(StoreClient, RemovedRowsAndObjectsAreNotFound)
{
    StoreBench bench;
    bench.sendAndWait(putOf("k", 0, 7));
    bench.sendAndWait(ObjectPut{ObjectKey{"o"}, ShardSnapshot{}});
    EXPECT_TRUE(std::holds_alternative<StoreDone>(bench.sendAndWait(StoreTransaction{{}, {}, {RowKey{"k"}}})));
    for (int n = 0; n < 2; n++) {
        EXPECT_TRUE(std::holds_alternative<StoreDone>(bench.sendAndWait(ObjectRemove{ObjectKey{"o"}})));
    }
    EXPECT_EQ(bench.numberAt("k"), std::nullopt);
    EXPECT_FALSE(std::get<StoreObject>(bench.sendAndWait(ObjectGet{ObjectKey{"o"}})).snapshot.has_value());
}

TEST(StoreClient, NoCallbackAfterDestruction)
{
    StoreBench bench;
    int n = 0;
    {
        StoreClient client(bench.http, bench.peer);
        client.send(StoreGet{RowKey{"k"}}, LongLimit, [&n](StoreAnswer && /*answer*/) {
            n++;
        });
    }
    runFor(bench.loop, std::chrono::milliseconds(50));
    EXPECT_EQ(n, 0);
}

struct WrongAnswerCase
{
    std::uint32_t status; ///< Status of the response.
    const char *body;     ///< Body of the response.
    RunState run;         ///< Expected run state of the failed write.
};

class WrongAnswers : public ::testing::TestWithParam<WrongAnswerCase>
{
};

TEST_P(WrongAnswers, LeaveAWriteUnknownUnlessTheStoreSaysNotRun)
{
    AdapterBench<FixedServer> bench(GetParam().status, std::string(GetParam().body));
    StoreClient client(bench.http, bench.peer);
    std::optional<StoreAnswer> answer;
    client.send(putOf("k", 0, 7), LongLimit, [&answer](StoreAnswer &&it) {
        answer = std::move(it);
    });
    ASSERT_TRUE(runUntil(bench.loop, [&answer] {
        return answer.has_value();
    }));
    ASSERT_TRUE(std::holds_alternative<StoreFailed>(*answer));
    EXPECT_EQ(std::get<StoreFailed>(*answer).error.run, GetParam().run);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         WrongAnswers,
                         ::testing::Values(WrongAnswerCase{200, "", RunState::Unknown},
                                           WrongAnswerCase{200, "{}", RunState::Unknown},
                                           WrongAnswerCase{200, R"({"version":"1"})", RunState::Unknown},
                                           WrongAnswerCase{200, R"({"run":"not_run"})", RunState::Unknown},
                                           WrongAnswerCase{409, "{}", RunState::Unknown},
                                           WrongAnswerCase{500, "[]", RunState::Unknown},
                                           WrongAnswerCase{503, "busy", RunState::Unknown},
                                           WrongAnswerCase{503, R"({"run":"not_run"})", RunState::NotRun},
                                           WrongAnswerCase{404, R"({"run":"ran"})", RunState::Unknown}));

} // namespace Vanillahall
