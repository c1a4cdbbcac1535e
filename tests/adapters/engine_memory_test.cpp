/** Tests of cancels, memory releases, load reports and the prefix cache of an engine. */
#include "engine_bench.h"

namespace Vanillahall {

TEST(EngineClient, CancelsAndReleasesInThatOrder)
{
    EngineBench bench(std::chrono::milliseconds(20));
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForTokens(1));
    EXPECT_EQ(bench.standin.cache().pins().size(), 1U);
    bench.setFault(R"({"kind":"reset","match":"/v1/requests/"})"); // The cancel arrives with its second attempt.
    client->cancel(CancelServerCall{Call});
    client->free(FreeMemory{Program});
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return !bench.otherEvents.empty();
    }));
    const auto &freed = std::get<MemoryFreed>(bench.otherEvents.front());
    EXPECT_EQ(freed.program, Program);
    EXPECT_TRUE(freed.done);
    EXPECT_EQ(bench.standin.running(), 0U);
    runFor(bench.loop, std::chrono::milliseconds(100));
    EXPECT_TRUE(bench.standin.cache().pins().empty());
    EXPECT_TRUE(bench.endEvents.empty());
    EXPECT_LT(bench.pieces.size(), Tokens);
}

// The request of the start is delayed, so that the engine receives it after the cancel and the release.
TEST(EngineClient, ReleasesMemoryOfAStartThatArrivesAfterTheCancel)
{
    EngineBench bench;
    bench.setFault(R"({"kind":"slow","ms":300,"match":"completions"})");
    const auto client = bench.makeClient();
    client->start(callOf());
    runFor(bench.loop, std::chrono::milliseconds(100));
    client->cancel(CancelServerCall{Call});
    client->free(FreeMemory{Program});
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.standin.runsOf(EngineRequestId) == 1;
    }));
    ASSERT_EQ(bench.standin.cache().pins().size(), 1U);
    client->pollLoad();
    EXPECT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.standin.cache().pins().empty();
    }));
}

TEST(EngineClient, ReportsAFailedRelease)
{
    EngineBench bench;
    bench.setFault(R"({"kind":"reset"})");
    const auto client = bench.makeClient();
    client->free(FreeMemory{Program});
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.otherEvents.size() == 1;
    }));
    EXPECT_FALSE(std::get<MemoryFreed>(bench.otherEvents.back()).done);
    client->free(FreeMemory{Program});
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.otherEvents.size() == 2;
    }));
    EXPECT_TRUE(std::get<MemoryFreed>(bench.otherEvents.back()).done) << "the engine holds no memory for the program";
}

TEST(EngineClient, RetriesReleaseOfAllMemoryWhenTheEngineResponds)
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForEnds());
    ASSERT_EQ(bench.standin.cache().pins().size(), 1U);
    bench.setFault(R"({"kind":"reset","match":"pins"})");
    client->freeAll();
    runFor(bench.loop, std::chrono::milliseconds(50));
    EXPECT_EQ(bench.standin.cache().pins().size(), 1U);
    client->pollLoad();
    EXPECT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.standin.cache().pins().empty();
    }));
}

TEST(EngineClient, ReportsLoadAndUnreachableEngine)
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->pollLoad();
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return !bench.otherEvents.empty();
    }));
    const auto &load = std::get<ServerLoad>(bench.otherEvents.front());
    EXPECT_TRUE(load.up);
    EXPECT_EQ(load.slots, 8U);
    EXPECT_EQ(load.models, std::vector<ModelName>{ModelName{"clapper"}});
    EXPECT_GT(load.serverRun, 0U);
    bench.setFault("absent");
    const auto other = bench.makeClient();
    other->pollLoad();
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.otherEvents.size() == 2;
    }));
    EXPECT_FALSE(std::get<ServerLoad>(bench.otherEvents.back()).up);
}

// The prompt of the second turn contains the first turn, whose tokens are in the prefix cache.
TEST(EngineClient, FindsEarlierTurnsInTheCache)
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->start(callOf());
    ASSERT_TRUE(bench.waitForEnds());
    const auto &first = std::get<ServerCallFinished>(bench.endEvents.front()).result;
    auto action = callOf();
    action.call = ServerCallId{6};
    auto &messages = std::get<ModelCall>(action.body).messages;
    messages.push_back(R"({"role":"assistant","content":")" + first.body + R"("})");
    messages.emplace_back(R"({"role":"user","content":"and then?"})");
    client->start(action);
    ASSERT_TRUE(bench.waitForEnds(2));
    const auto &second = std::get<ServerCallFinished>(bench.endEvents.back()).result;
    EXPECT_GT(second.cachedTokens, first.promptTokens);
    EXPECT_LT(second.cachedTokens, second.promptTokens);
}

} // namespace Vanillahall
