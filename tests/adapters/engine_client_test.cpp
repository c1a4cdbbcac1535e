/** Tests of calls at an engine: streams, faults, resumption. */
#include "engine_bench.h"

namespace Vanillahall {

TEST(EngineClient, ReportsTheTokensOfAStream)
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->start(callOf());
    EXPECT_EQ(bench.startedCount, 0) << "called before start() returned";
    ASSERT_TRUE(bench.waitForEnds());
    const auto &result = std::get<ServerCallFinished>(bench.endEvents.front()).result;
    EXPECT_EQ(bench.startedCount, 1);
    EXPECT_EQ(bench.pieces.size(), Tokens);
    EXPECT_EQ(result.body, joined(bench.pieces));
    EXPECT_EQ(result.status, 200U);
    EXPECT_EQ(result.finishReason, "stop");
    EXPECT_EQ(result.completionTokens, Tokens);
    EXPECT_EQ(result.cachedTokens, 0U);
    EXPECT_GT(result.promptTokens, 0U);
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), 1U);
}

struct EngineFaultCase
{
    const char *name;                     ///< Name of the case.
    const char *fault;                    ///< Fault of the stand-in.
    Duration idleTimeout;                 ///< Idle time-out of the client.
    std::optional<ServerFailure> failure; ///< The failure; nothing if the call works.
    std::uint64_t runs{};                 ///< How often the call ran.
    bool resumable{};                     ///< Whether the engine still has the call afterwards.
};

class EngineFaults : public ::testing::TestWithParam<EngineFaultCase>
{
};

TEST_P(EngineFaults, AreReportedByKindAndResumedWithoutASecondRun)
{
    const EngineFaultCase &it = GetParam();
    EngineBench bench;
    bench.setFault(it.fault);
    const auto client = bench.makeClient(it.idleTimeout);
    client->start(callOf());
    ASSERT_TRUE(bench.waitForEnds());
    runUntilFaultIsOver(bench.loop, bench.lastFault);
    ASSERT_EQ(bench.endEvents.size(), 1U);
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), it.runs);
    if (!it.failure) {
        EXPECT_TRUE(std::holds_alternative<ServerCallFinished>(bench.endEvents.front()));
        return;
    }
    const auto &failed = std::get<ServerCallFailed>(bench.endEvents.front());
    EXPECT_EQ(failed.call, Call);
    EXPECT_EQ(failed.failure, *it.failure) << failed.message;
    if (*it.failure == ServerFailure::NotSent || *it.failure == ServerFailure::Refused) {
        return;
    }
    client->resume(ResumeServerCall{Call, static_cast<std::uint32_t>(bench.pieces.size())});
    ASSERT_TRUE(bench.waitForEnds(2));
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), it.runs);
    if (it.resumable) {
        EXPECT_EQ(std::get<ServerCallFinished>(bench.endEvents.back()).result.body, expectedText());
        EXPECT_EQ(joined(bench.pieces), expectedText());
    } else {
        EXPECT_EQ(std::get<ServerCallFailed>(bench.endEvents.back()).failure, ServerFailure::Broken)
            << "it is unknown whether the call ran";
    }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    EngineFaults,
    ::testing::Values(EngineFaultCase{"Slow", SlowFault, ShortLimit, ServerFailure::Silent, 1, true},
                      EngineFaultCase{"Hang", R"({"kind":"hang"})", ShortLimit, ServerFailure::Silent, 0, false},
                      EngineFaultCase{"DropAnswer", R"({"kind":"drop_answer"})", LongLimit, ServerFailure::Broken, 1, true},
                      EngineFaultCase{"Reset", R"({"kind":"reset"})", LongLimit, ServerFailure::Broken, 0, false},
                      EngineFaultCase{"Silent", R"({"kind":"silent"})", ShortLimit, ServerFailure::Silent, 1, true},
                      EngineFaultCase{"Refuse", R"({"kind":"refuse"})", LongLimit, ServerFailure::Refused, 0, false},
                      EngineFaultCase{"Down", R"({"kind":"down","ms":60000})", LongLimit, ServerFailure::Refused, 0, false},
                      EngineFaultCase{"Crash", R"({"kind":"crash"})", LongLimit, ServerFailure::Broken, 0, false},
                      EngineFaultCase{"Absent", "absent", LongLimit, ServerFailure::NotSent, 0, false},
                      EngineFaultCase{"Stale", R"({"kind":"stale"})", LongLimit, {}, 1, true},
                      EngineFaultCase{"None", "", LongLimit, {}, 1, true}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

class ResumePoints : public ::testing::TestWithParam<std::uint32_t>
{
};

// A gate resumes a stream without progress while the old connection is still open, and may have stored fewer tokens than
// the client has received. The stand-in stops sending after two tokens.
TEST_P(ResumePoints, YieldTheSameText)
{
    EngineBench bench;
    bench.setFault(R"({"kind":"silent"})");
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForTokens(2));
    client->resume(ResumeServerCall{Call, GetParam()});
    ASSERT_TRUE(bench.waitForEnds());
    runFor(bench.loop, std::chrono::milliseconds(50));
    ASSERT_EQ(bench.endEvents.size(), 1U);
    const auto &result = std::get<ServerCallFinished>(bench.endEvents.front()).result;
    EXPECT_EQ(result.body, expectedText());
    EXPECT_EQ(result.completionTokens, Tokens);
    EXPECT_EQ(joined(bench.pieces), expectedText());
    EXPECT_EQ(bench.startedCount, 1);
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), 1U);
}

INSTANTIATE_TEST_SUITE_P(Tokens, ResumePoints, ::testing::Values(0U, 1U, 2U));

TEST(EngineClient, ResumesACallThatAnotherClientStarted)
{
    EngineBench bench;
    const auto first = bench.makeClient();
    first->start(callOf());
    ASSERT_TRUE(bench.waitForTokens(2));
    const auto second = bench.makeClient();
    second->resume(ResumeServerCall{Call, 2});
    ASSERT_TRUE(bench.waitForEnds(2));
    for (const auto &it : bench.endEvents) {
        EXPECT_EQ(std::get<ServerCallFinished>(it).result.body, expectedText());
    }
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), 1U);
}

// Once a request may have reached the engine, no later failure may report that the call did not run.
TEST(EngineClient, RefusedResumeIsNotReportedAsRefusedCall)
{
    EngineBench bench;
    bench.setFault(R"({"kind":"drop_answer"})");
    bench.setFault(R"({"kind":"refuse"})");
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForEnds());
    client->resume(ResumeServerCall{Call, 0});
    ASSERT_TRUE(bench.waitForEnds(2));
    EXPECT_EQ(std::get<ServerCallFailed>(bench.endEvents.back()).failure, ServerFailure::Broken);
}

TEST(EngineClient, ResumeWithoutConnectionIsNotReportedAsUnsentCall)
{
    EngineBench bench;
    bench.setFault(R"({"kind":"drop_answer"})");
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForEnds());
    bench.standin.server().http().stopListening();
    client->resume(ResumeServerCall{Call, 0});
    ASSERT_TRUE(bench.waitForEnds(2));
    EXPECT_EQ(std::get<ServerCallFailed>(bench.endEvents.back()).failure, ServerFailure::Broken);
}

TEST(EngineClient, ClientErrorIsReportedAsResult)
{
    EngineBench bench;
    const auto client = bench.makeClient();
    auto action = callOf();
    std::get<ModelCall>(action.body).model = ModelName{"unknown"};
    client->start(action);
    ASSERT_TRUE(bench.waitForEnds());
    EXPECT_EQ(std::get<ServerCallFinished>(bench.endEvents.front()).result.status, 404U);
    EXPECT_EQ(bench.standin.runsOf(EngineRequestId), 0U);
}

struct StreamCase
{
    const char *name;                     ///< Name of the case.
    const char *stream;                   ///< Bytes that the engine sends.
    std::optional<ServerFailure> failure; ///< The failure; nothing if the call works.
    const char *text;                     ///< Text reported to the gate.
};

class EngineStreams : public ::testing::TestWithParam<StreamCase>
{
};

TEST_P(EngineStreams, AreDecodedOrFail)
{
    AdapterBench<FixedServer> bench(200U, std::string(GetParam().stream));
    std::string text;
    std::vector<GateEvent> endEvents;
    EngineClient client(bench.http, EngineClientSettings{bench.peer, Incarnation{1}}, [&](GateEvent &&event) {
        if (const auto *tokens = std::get_if<ServerTokensReceived>(&event)) {
            text += joined(tokens->pieces);
        } else if (!std::holds_alternative<ServerCallStarted>(event)) {
            endEvents.push_back(std::move(event));
        }
    });
    client.start(callOf());
    ASSERT_TRUE(runUntil(bench.loop, [&endEvents] {
        return !endEvents.empty();
    }));
    EXPECT_EQ(text, GetParam().text);
    if (GetParam().failure) {
        EXPECT_EQ(std::get<ServerCallFailed>(endEvents.front()).failure, *GetParam().failure);
    } else {
        EXPECT_EQ(std::get<ServerCallFinished>(endEvents.front()).result.body, GetParam().text);
    }
}

// An engine may omit the token index.
#define TOKEN(text) "data: {\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"
#define NUMBERED(number, text) "data: {\"index\":" number ",\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"

INSTANTIATE_TEST_SUITE_P(
    Streams,
    EngineStreams,
    ::testing::Values(StreamCase{"Plain", TOKEN("a") TOKEN("") TOKEN("b") "data: [DONE]\n\n", {}, "ab"},
                      StreamCase{"Numbered", NUMBERED("0", "a") NUMBERED("1", "b") "data: [DONE]\n\n", {}, "ab"},
                      StreamCase{"AfterTheEnd", TOKEN("a") "data: [DONE]\n\n" TOKEN("b"), {}, "a"},
                      StreamCase{"Gap", NUMBERED("0", "a") NUMBERED("2", "c") "data: [DONE]\n\n", ServerFailure::Unreadable, "a"},
                      StreamCase{"Doubled", NUMBERED("0", "a") NUMBERED("0", "a") "data: [DONE]\n\n", ServerFailure::Unreadable, "a"},
                      StreamCase{"Garbage", TOKEN("a") "data: {\"choices\"\n\n", ServerFailure::Unreadable, "a"},
                      StreamCase{"Failure", TOKEN("a") "data: {\"error\":{}}\n\n", ServerFailure::Broken, "a"},
                      StreamCase{"Short", TOKEN("a"), ServerFailure::Broken, "a"},
                      StreamCase{"NoStream", "<html>", ServerFailure::Broken, ""}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

#undef TOKEN
#undef NUMBERED

} // namespace Vanillahall
