#include "entry_ask.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A fault at a gate while a call is under way. */
struct GateFaultCase
{
    const char *name;                                             ///< Of the test.
    bool model;                                                   ///< True for a model call, else a service call.
    bool repeatable;                                              ///< Of a service call.
    std::function<void(EntryBench &, const std::string &)> fault; ///< Happens at the gate that runs the call.
    bool answered;                                                ///< True if the caller gets a result.
    int runs;                                                     ///< How often the call is begun.
};

void noFault(EntryBench & /*bench*/, const std::string & /*gate*/)
{
}

void breakLink(EntryBench &bench, const std::string &gate)
{
    bench.breakLinks(gate);
}

void breakTwice(EntryBench &bench, const std::string &gate)
{
    bench.breakLinks(gate);
    bench.run(400ms);
    bench.breakLinks(gate);
}

void goSilent(EntryBench &bench, const std::string &gate)
{
    bench.gate(gate).silent = true;
    bench.run(5s);
    bench.gate(gate).silent = false;
}

void loseAnswers(EntryBench &bench, const std::string &gate)
{
    bench.gate(gate).mute = true;
    bench.run(4s);
    bench.gate(gate).mute = false;
}

void restart(EntryBench &bench, const std::string &gate)
{
    bench.restartGate(gate);
}

void die(EntryBench &bench, const std::string &gate)
{
    bench.gate(gate).up = false;
    bench.breakLinks(gate);
}

void fail(EntryBench &bench, const std::string &gate)
{
    Error error;
    error.code = ErrorCode::ServerFailed;
    error.run = RunState::Unknown;
    bench.gate(gate).failure = error;
}

class GateFaultTest : public ::testing::TestWithParam<GateFaultCase>
{
};

TEST_P(GateFaultTest, EndsRight)
{
    const GateFaultCase &it = GetParam();
    EntryBench bench;
    bench.addUsual();
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 100ms;
    }
    const ProgramId program = createdProgram(bench);
    const CallKey key{program, Turn{1}};
    const RequestId request = bench.ask("a", it.model ? modelTurn(program, 1) : serviceTurn(program, 1, it.repeatable), true);
    bench.run(150ms);
    const std::string gate = bench.gateOf(key);
    ASSERT_FALSE(gate.empty());
    it.fault(bench, gate);
    const CallerAnswer answer = bench.await(request, 40s);
    EXPECT_EQ(bench.runsOf(key), it.runs);
    if (it.answered) {
        EXPECT_EQ(resultIn(answer).body, "t1.0 t1.1 t1.2 ");
        EXPECT_EQ(bench.streams[request], it.model ? "t1.0 t1.1 t1.2 " : "");
    } else {
        EXPECT_EQ(errorIn(answer).run, RunState::Unknown);
        EXPECT_EQ(unknownCalls(bench.state("a")).size(), 1u);
    }
    bench.run(5s);
    const auto history = std::get<HistoryView>(bench.await(bench.ask("a", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 1u);
    EXPECT_TRUE(history.turns[0].durable);
    EXPECT_EQ(bench.runsOf(key), it.runs);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         GateFaultTest,
                         ::testing::Values(GateFaultCase{"ModelNone", true, true, noFault, true, 1},
                                           GateFaultCase{"ModelLinkBreaks", true, true, breakLink, true, 1},
                                           GateFaultCase{"ModelLinkBreaksTwice", true, true, breakTwice, true, 1},
                                           GateFaultCase{"ModelSilent", true, true, goSilent, true, 1},
                                           GateFaultCase{"ModelAnswersLost", true, true, loseAnswers, true, 1},
                                           GateFaultCase{"ModelGateRestarts", true, true, restart, true, 2},
                                           GateFaultCase{"ModelGateDies", true, true, die, true, 2},
                                           GateFaultCase{"ModelServerFails", true, true, fail, true, 2},
                                           GateFaultCase{"RepeatableLinkBreaks", false, true, breakLink, true, 1},
                                           GateFaultCase{"RepeatableGateDies", false, true, die, true, 2},
                                           GateFaultCase{"RepeatableServerFails", false, true, fail, true, 2},
                                           GateFaultCase{"OnceNone", false, false, noFault, true, 1},
                                           GateFaultCase{"OnceLinkBreaks", false, false, breakLink, true, 1},
                                           GateFaultCase{"OnceLinkBreaksTwice", false, false, breakTwice, true, 1},
                                           GateFaultCase{"OnceSilent", false, false, goSilent, true, 1},
                                           GateFaultCase{"OnceAnswersLost", false, false, loseAnswers, true, 1},
                                           GateFaultCase{"OnceGateRestarts", false, false, restart, false, 1},
                                           GateFaultCase{"OnceGateDies", false, false, die, false, 1},
                                           GateFaultCase{"OnceServerFails", false, false, fail, false, 1}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(EntryFaultTest, OrderThatWasLostOnTheWayRunsOnce)
{
    EntryBench bench;
    bench.addUsual();
    const ProgramId program = createdProgram(bench);
    const CallKey key{program, Turn{1}};
    bench.gate("s1").silent = true;
    bench.gate("s2").silent = true;
    const RequestId request = bench.ask("a", serviceTurn(program, 1, false));
    bench.run(100ms);
    EXPECT_EQ(bench.runsOf(key), 0);
    bench.gate("s1").silent = false;
    bench.gate("s2").silent = false;
    bench.breakLinks("s1");
    bench.breakLinks("s2");
    EXPECT_EQ(resultIn(bench.await(request)).status, 200u);
    EXPECT_EQ(bench.runsOf(key), 1);
}

TEST(EntryFaultTest, RefusedOrderGoesElsewhereWithANewIntent)
{
    EntryBench bench;
    bench.addUsual();
    const ProgramId program = createdProgram(bench);
    Error refusal;
    refusal.code = ErrorCode::Overloaded;
    bench.gate("s1").refusal = refusal;
    const auto answered = std::get<CallAnswered>(bench.await(bench.ask("a", serviceTurn(program, 1, false))));
    EXPECT_EQ(answered.server, ServerName{"s2"});
    bench.gate("s2").refusal = refusal;
    const Error error = errorIn(bench.await(bench.ask("a", serviceTurn(program, 2, false))));
    EXPECT_EQ(error.code, ErrorCode::Overloaded);
    EXPECT_EQ(error.run, RunState::NotRun);
    bench.gate("s2").refusal.reset();
    EXPECT_EQ(resultIn(bench.await(bench.ask("a", serviceTurn(program, 2, false, "other")))).status, 200u);
}

TEST(EntryFaultTest, DoubledAndCrossedAnswersAreDropped)
{
    EntryBench bench;
    bench.addUsual();
    bench.gate("m1").tokenTime = 1h;
    bench.gate("m2").tokenTime = 1h;
    const ProgramId program = createdProgram(bench);
    const CallKey key{program, Turn{1}};
    const RequestId request = bench.ask("a", modelTurn(program, 1), true);
    bench.run(100ms);
    const ServerName right{bench.gateOf(key)};
    const ServerName wrong{right.text == "m1" ? "m2" : "m1"};
    CallResult result;
    result.body = "wrong";
    bench.tell("a", GateMessageReceived{wrong, CallFinished{key, Attempt{1}, result}});
    bench.tell("a", GateMessageReceived{right, CallFinished{key, Attempt{9}, result}});
    bench.tell("a", GateMessageReceived{right, CallFinished{CallKey{program, Turn{2}}, Attempt{1}, result}});
    EXPECT_FALSE(bench.answers.contains(request));
    bench.tell("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 0, {"x", "y"}}});
    bench.tell("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 0, {"x", "y"}}});
    bench.tell("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 1, {"y", "z"}}});
    result.body = "xyz";
    bench.tell("a", GateMessageReceived{right, CallFinished{key, Attempt{1}, result}});
    bench.tell("a", GateMessageReceived{right, CallFinished{key, Attempt{1}, result}});
    EXPECT_EQ(resultIn(bench.answers.at(request)).body, "xyz");
    EXPECT_EQ(bench.streams[request], "xyz");
}

TEST(EntryFaultTest, OperatorSettlesAnUnknownOutcome)
{
    EntryBench bench;
    bench.addUsual();
    bench.gate("s1").tokenTime = 1h;
    bench.gate("s2").tokenTime = 1h;
    const ProgramId program = createdProgram(bench);
    const CallKey key{program, Turn{1}};
    const RequestId request = bench.ask("a", serviceTurn(program, 1, false));
    bench.run(100ms);
    bench.restartGate(bench.gateOf(key));
    EXPECT_EQ(errorIn(bench.await(request)).run, RunState::Unknown);
    const CallerAnswer answer = bench.await(bench.ask("a", SettleOutcome{key, true, "operator"}));
    EXPECT_TRUE(std::holds_alternative<OutcomeAccepted>(answer));
    EXPECT_TRUE(unknownCalls(bench.state("a")).empty());
    EXPECT_EQ(errorIn(bench.await(bench.ask("a", serviceTurn(program, 1, false)))).run, RunState::Ran);
    EXPECT_EQ(bench.runsOf(key), 1);
}

TEST(EntryFaultTest, StoreOutageLosesNoTurn)
{
    EntryBench bench;
    bench.addUsual();
    const ProgramId program = createdProgram(bench);
    bench.storeFault = StoreFault::AnswerLost;
    EXPECT_EQ(resultIn(bench.await(bench.ask("a", modelTurn(program, 1)), 1s)).status, 200u);
    bench.storeFault = StoreFault::None;
    bench.run(5s);
    EXPECT_EQ(resultIn(bench.await(bench.ask("a", modelTurn(program, 2)))).status, 200u);
    bench.run(1s);
    const auto history = std::get<HistoryView>(bench.await(bench.ask("a", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 2u);
    EXPECT_TRUE(history.turns[0].durable && history.turns[1].durable);
}

/** What happens to the only gate that keeps an answered turn, between the holder's standstill and its return. */
struct UnstoredTurnCase
{
    const char *name;   ///< Of the test.
    bool model;         ///< True for a model call, else a repeatable service call.
    bool successorDies; ///< True if the first successor dies too, so that a third entry holds the shard in the end.
};

bool holds(const EntryBench &bench, const std::string &entry, ShardId shard)
{
    const std::vector<ShardView> shards = entryView(bench.state(entry)).shards;
    return std::any_of(shards.begin(), shards.end(), [shard](const ShardView &it) {
        return it.shard == shard;
    });
}

class UnstoredTurnTest : public ::testing::TestWithParam<UnstoredTurnCase>
{
};

TEST_P(UnstoredTurnTest, IsHandedToTheNextHolder)
{
    const UnstoredTurnCase &it = GetParam();
    EntryBench bench;
    bench.addUsual();
    bench.addEntry("b", 2);
    bench.addEntry("c", 3);
    bench.run(3s);
    const ProgramId program = createdProgram(bench);
    const CallKey key{program, Turn{1}};
    bench.run(2s);
    bench.storeFault = StoreFault::Refused;
    const SubmitCall first = it.model ? modelTurn(program, 1) : serviceTurn(program, 1, true);
    EXPECT_EQ(resultIn(bench.await(bench.ask("a", first))).status, 200u);
    const std::string gate = bench.gateOf(key);
    bench.pause("a");
    bench.run(100ms);
    bench.restartGate(gate);
    bench.storeFault = StoreFault::None;
    bench.run(10s);
    if (it.successorDies) {
        bench.kill(holds(bench, "b", program.shard) ? "b" : "c");
        bench.run(10s);
    }
    bench.resume("a");
    bench.run(5s);
    const std::string asked = it.successorDies ? "a" : "b";
    EXPECT_EQ(resultIn(bench.await(bench.ask(asked, modelTurn(program, 2)))).status, 200u);
    bench.run(2s);
    const auto history = std::get<HistoryView>(bench.await(bench.ask(asked, HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 2u);
    EXPECT_TRUE(history.turns[0].durable && history.turns[1].durable);
    EXPECT_EQ(bench.runsOf(key), 1);
    EXPECT_EQ(entryView(bench.state("a")).unstoredTurns, 0u);
}

INSTANTIATE_TEST_SUITE_P(Turns,
                         UnstoredTurnTest,
                         ::testing::Values(UnstoredTurnCase{"Model", true, false},
                                           UnstoredTurnCase{"Repeatable", false, false},
                                           UnstoredTurnCase{"ModelSecondHolderDies", true, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace

} // namespace Vanillahall
