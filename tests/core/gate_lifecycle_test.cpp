#include "gate_fixture.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** Runs a model call of a program to its end. */
void runModel(GateFixture &gate, CallKey key, std::uint32_t tokens)
{
    gate.order(gate.run(key, modelBody(tokens)));
    CallResult result = callResult("x");
    result.promptTokens = tokens;
    gate.handle(ServerCallFinished{gate.all<StartServerCall>().back().call, result});
}

} // namespace

TEST(GateMemory, ProgramEndRetriesTheReleaseUntilConfirmed)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    runModel(gate, callKey(1), 100);
    gate.order(EndProgram{callKey(1).program, gate.fence()});
    EXPECT_EQ(gate.all<FreeMemory>().size(), 1U);
    EXPECT_TRUE(heldCalls(gate.state(), TestShard).empty());
    gate.handle(MemoryFreed{callKey(1).program, false});
    gate.advance(3500ms);
    EXPECT_EQ(gate.all<FreeMemory>().size(), 4U);
    EXPECT_EQ(pinnedPrograms(gate.state(), TestShard).size(), 1U);
    gate.handle(MemoryFreed{callKey(1).program, true});
    gate.advance(5s);
    EXPECT_EQ(gate.all<FreeMemory>().size(), 4U);
    EXPECT_TRUE(pinnedPrograms(gate.state(), TestShard).empty());
    gate.order(gate.run(callKey(1, 2), modelBody()));
    EXPECT_EQ(gate.sent<CallRefused>().at(0).error.code, ErrorCode::ProgramEnded);
}

TEST(GateMemory, ProgramEndCancelsModelCallsButNotANonRepeatableCall)
{
    GateFixture models(gateSettings(PoolKind::Model));
    models.order(models.run(callKey(1), modelBody()));
    models.order(EndProgram{callKey(1).program, models.fence()});
    EXPECT_EQ(models.all<CancelServerCall>().size(), 1U);
    EXPECT_EQ(models.all<FreeMemory>().size(), 1U);

    GateFixture bookings(gateSettings(PoolKind::Service));
    bookings.order(bookings.run(callKey(1), serviceBody(false)));
    bookings.order(EndProgram{callKey(1).program, bookings.fence()});
    EXPECT_TRUE(bookings.all<CancelServerCall>().empty());
    bookings.handle(ServerCallFinished{ServerCallId{1}, callResult("booked")});
    EXPECT_EQ(gateStatus(bookings.state(), 0, bookings.now()).running, 0U);
    EXPECT_EQ(gateCounters(bookings.state()).finished, 1U);
}

TEST(GateMemory, AbandonedShardIsReleased)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    runModel(gate, callKey(1), 100);
    gate.advance(24s);
    EXPECT_TRUE(gate.all<FreeMemory>().empty());
    gate.advance(3s);
    EXPECT_GE(gate.all<FreeMemory>().size(), 1U);
}

TEST(GateMemory, HolderReceivesPinnedPrograms)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    runModel(gate, callKey(1), 100);
    gate.order(AdoptShard{gate.fence(Epoch{2})}, LinkId{2});
    gate.advance(5s);
    EXPECT_TRUE(gate.sent<PinnedPrograms>(LinkId{1}).empty());
    ASSERT_EQ(gate.sent<PinnedPrograms>(LinkId{2}).size(), 2U);
    EXPECT_EQ(gate.sent<PinnedPrograms>(LinkId{2})[0].programs, std::vector<ProgramId>{callKey(1).program});
}

TEST(GateMemory, PausedProgramIsEvicted)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    gate.handle(ServerLoad{true, 0, 2, 0, 1000, {}, 1});
    runModel(gate, callKey(1), 600);
    gate.advance(1s);
    EXPECT_TRUE(gate.all<FreeMemory>().empty());
    gate.order(gate.run(callKey(2), modelBody(600)));
    gate.advance(1s);
    ASSERT_EQ(gate.all<FreeMemory>().size(), 1U);
    EXPECT_EQ(gate.all<FreeMemory>()[0].program, callKey(1).program);
    runModel(gate, callKey(1, 2), 700);
    EXPECT_EQ(gateCounters(gate.state()).cache.recomputedTokens, 600U);
}

TEST(GateStop, WaitsForCallsAndTheirOutcomes)
{
    GateSettings settings = gateSettings(PoolKind::Service);
    settings.slots = 1;
    GateFixture gate(settings);
    gate.order(gate.run(callKey(1), serviceBody(false)));
    gate.order(gate.run(callKey(2), serviceBody(false)));
    gate.handle(StopRequested{});
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("x")});
    EXPECT_EQ(gate.all<StartServerCall>().size(), 2U);
    gate.handle(ServerCallFinished{ServerCallId{2}, callResult("x")});
    gate.order(SettleCalls{gate.fence(), {callKey(1)}});
    EXPECT_TRUE(gate.all<StopFinished>().empty());
    gate.order(FetchCall{callKey(2), Attempt{1}, gate.fence(), 0});
    gate.advance(1s);
    EXPECT_EQ(gate.all<StopFinished>().size(), 1U);
}

TEST(GateStop, WaitsForARunningCallButBoundsTheWaitForOutcomes)
{
    GateSettings settings = gateSettings(PoolKind::Service);
    settings.stopLimit = 10s;
    GateFixture gate(settings);
    gate.order(gate.run(callKey(1), serviceBody(false)));
    gate.handle(StopRequested{});
    gate.advance(20s);
    EXPECT_TRUE(gate.all<StopFinished>().empty());
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("x")});
    EXPECT_TRUE(gate.all<StopFinished>().empty());
    gate.advance(3s);
    EXPECT_EQ(gate.all<StopFinished>().size(), 1U);
}

TEST(GateStatusReport, ReportsLoadSpeedAndConfiguration)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    gate.handle(ServerLoad{true, 0, 1, 50, 1000, {ModelName{"m"}}, 1});
    ConfigUpdate update;
    update.config.version = ConfigVersion{4};
    gate.order(update);
    update.config.version = ConfigVersion{3};
    update.config.servers = {ServerDeclaration{ServerName{"g1"}, ServerState::Leaving}};
    gate.order(update);
    gate.order(gate.run(callKey(1), modelBody()));
    CallResult result = callResult("x");
    result.promptTokens = 100;
    result.cachedTokens = 50;
    result.completionTokens = 11;
    result.prefill = 100ms;
    result.decode = 200ms;
    gate.handle(ServerCallFinished{ServerCallId{1}, result});
    gate.order(gate.run(callKey(2), modelBody()));
    gate.order(gate.run(callKey(3), modelBody()));
    gate.order(Probe{8});
    const GateStatus status = gate.sent<GateStatus>().back();
    EXPECT_EQ(status.sequence, 8U);
    EXPECT_EQ(status.clock.time_since_epoch(), gate.now().steady.time_since_epoch());
    EXPECT_EQ(status.config, ConfigVersion{4});
    EXPECT_FALSE(status.leaving);
    EXPECT_EQ(status.running, 1U);
    EXPECT_EQ(status.waiting, 1U);
    EXPECT_EQ(status.slots, 1U);
    EXPECT_EQ(status.prefillPerToken, 2ms);
    EXPECT_EQ(status.tokenInterval, 20ms);
    EXPECT_GT(status.expectedWait, Duration{});
    const std::size_t before = gate.sent<GateStatus>().size();
    gate.advance(1s);
    EXPECT_EQ(gate.sent<GateStatus>().size(), before + 2);
}

TEST(GateHeldOutcome, IsDroppedAfterItsRetentionButNotRunAgain)
{
    GateSettings settings = gateSettings(PoolKind::Service);
    settings.outcomeRetention = 60s;
    GateFixture gate(settings);
    gate.order(gate.run(callKey(1), serviceBody(false)));
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("booked")});
    gate.order(gate.run(callKey(2), serviceBody(true)));
    gate.handle(ServerCallFinished{ServerCallId{2}, callResult("read")});
    gate.advance(62s, 1s);
    EXPECT_EQ(heldCalls(gate.state(), TestShard).size(), 1U);
    gate.actions.clear();
    gate.order(gate.run(callKey(1), serviceBody(false), Attempt{2}));
    EXPECT_TRUE(gate.all<StartServerCall>().empty());
    ASSERT_EQ(gate.sent<CallFinished>().size(), 1U);
    EXPECT_EQ(outcomeError(gate.sent<CallFinished>()[0].outcome).run, RunState::Ran);
}

} // namespace Vanillahall
