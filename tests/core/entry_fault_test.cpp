#include "entry_requests.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A fault at a gate while a call is running, and the expected outcome. */
struct GateFaultCase
{
    const char *name;                                               ///< Name of the test.
    bool model;                                                     ///< True for a model call, else a service call.
    bool repeatable;                                                ///< Whether a service call is repeatable.
    std::function<void(EntryTestbed &, const std::string &)> fault; ///< Injects the fault at the gate that runs the call.
    bool answered;                                                  ///< True if the caller receives a result.
    int runs;                                                       ///< How often the call is started.
};

void noFault(EntryTestbed & /*testbed*/, const std::string & /*gate*/)
{
}

void breakLink(EntryTestbed &testbed, const std::string &gate)
{
    testbed.breakLinks(gate);
}

void breakTwice(EntryTestbed &testbed, const std::string &gate)
{
    testbed.breakLinks(gate);
    testbed.run(400ms);
    testbed.breakLinks(gate);
}

void makeUnresponsive(EntryTestbed &testbed, const std::string &gate)
{
    testbed.gate(gate).unresponsive = true;
    testbed.run(5s);
    testbed.gate(gate).unresponsive = false;
}

void loseReplies(EntryTestbed &testbed, const std::string &gate)
{
    testbed.gate(gate).dropsReplies = true;
    testbed.run(4s);
    testbed.gate(gate).dropsReplies = false;
}

void restart(EntryTestbed &testbed, const std::string &gate)
{
    testbed.restartGate(gate);
}

void crash(EntryTestbed &testbed, const std::string &gate)
{
    testbed.gate(gate).up = false;
    testbed.breakLinks(gate);
}

void failCalls(EntryTestbed &testbed, const std::string &gate)
{
    Error error;
    error.code = ErrorCode::ServerFailed;
    error.run = RunState::Unknown;
    testbed.gate(gate).failure = error;
}

class GateFaultTest : public ::testing::TestWithParam<GateFaultCase>
{
};

TEST_P(GateFaultTest, CallEndsAsExpected)
{
    const GateFaultCase &it = GetParam();
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 100ms;
    }
    const ProgramId program = createProgram(testbed);
    const CallKey key{program, Turn{1}};
    const RequestId request = testbed.sendRequest("a", it.model ? modelTurn(program, 1) : serviceTurn(program, 1, it.repeatable), true);
    testbed.run(150ms);
    const std::string gate = testbed.gateOf(key);
    ASSERT_FALSE(gate.empty());
    it.fault(testbed, gate);
    const CallerAnswer answer = testbed.await(request, 40s);
    EXPECT_EQ(testbed.runsOf(key), it.runs);
    if (it.answered) {
        EXPECT_EQ(resultIn(answer).body, "t1.0 t1.1 t1.2 ");
        EXPECT_EQ(testbed.streams[request], it.model ? "t1.0 t1.1 t1.2 " : "");
    } else {
        EXPECT_EQ(errorIn(answer).run, RunState::Unknown);
        EXPECT_EQ(callsWithUnknownOutcome(testbed.state("a")).size(), 1u);
    }
    testbed.run(5s);
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest("a", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 1u);
    EXPECT_TRUE(history.turns[0].durable);
    EXPECT_EQ(testbed.runsOf(key), it.runs);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         GateFaultTest,
                         ::testing::Values(GateFaultCase{"ModelNone", true, true, noFault, true, 1},
                                           GateFaultCase{"ModelLinkBreaks", true, true, breakLink, true, 1},
                                           GateFaultCase{"ModelLinkBreaksTwice", true, true, breakTwice, true, 1},
                                           GateFaultCase{"ModelSilent", true, true, makeUnresponsive, true, 1},
                                           GateFaultCase{"ModelAnswersLost", true, true, loseReplies, true, 1},
                                           GateFaultCase{"ModelGateRestarts", true, true, restart, true, 2},
                                           GateFaultCase{"ModelGateCrashes", true, true, crash, true, 2},
                                           GateFaultCase{"ModelServerFails", true, true, failCalls, true, 2},
                                           GateFaultCase{"RepeatableLinkBreaks", false, true, breakLink, true, 1},
                                           GateFaultCase{"RepeatableGateCrashes", false, true, crash, true, 2},
                                           GateFaultCase{"RepeatableServerFails", false, true, failCalls, true, 2},
                                           GateFaultCase{"OnceNone", false, false, noFault, true, 1},
                                           GateFaultCase{"OnceLinkBreaks", false, false, breakLink, true, 1},
                                           GateFaultCase{"OnceLinkBreaksTwice", false, false, breakTwice, true, 1},
                                           GateFaultCase{"OnceSilent", false, false, makeUnresponsive, true, 1},
                                           GateFaultCase{"OnceAnswersLost", false, false, loseReplies, true, 1},
                                           GateFaultCase{"OnceGateRestarts", false, false, restart, false, 1},
                                           GateFaultCase{"OnceGateCrashes", false, false, crash, false, 1},
                                           GateFaultCase{"OnceServerFails", false, false, failCalls, false, 1}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(EntryFaultTest, LostOrderRunsOnce)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    const CallKey key{program, Turn{1}};
    testbed.gate("s1").unresponsive = true;
    testbed.gate("s2").unresponsive = true;
    const RequestId request = testbed.sendRequest("a", serviceTurn(program, 1, false));
    testbed.run(100ms);
    EXPECT_EQ(testbed.runsOf(key), 0);
    testbed.gate("s1").unresponsive = false;
    testbed.gate("s2").unresponsive = false;
    testbed.breakLinks("s1");
    testbed.breakLinks("s2");
    EXPECT_EQ(resultIn(testbed.await(request)).status, 200u);
    EXPECT_EQ(testbed.runsOf(key), 1);
}

TEST(EntryFaultTest, RefusedOrderIsRetriedElsewhereWithANewIntent)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    Error refusal;
    refusal.code = ErrorCode::Overloaded;
    testbed.gate("s1").refusal = refusal;
    const auto answered = std::get<CallAnswered>(testbed.await(testbed.sendRequest("a", serviceTurn(program, 1, false))));
    EXPECT_EQ(answered.server, ServerName{"s2"});
    testbed.gate("s2").refusal = refusal;
    const Error error = errorIn(testbed.await(testbed.sendRequest("a", serviceTurn(program, 2, false))));
    EXPECT_EQ(error.code, ErrorCode::Overloaded);
    EXPECT_EQ(error.run, RunState::NotRun);
    testbed.gate("s2").refusal.reset();
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("a", serviceTurn(program, 2, false, "other")))).status, 200u);
}

TEST(EntryFaultTest, DuplicateAndMismatchedMessagesAreIgnored)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    testbed.gate("m1").tokenInterval = 1h;
    testbed.gate("m2").tokenInterval = 1h;
    const ProgramId program = createProgram(testbed);
    const CallKey key{program, Turn{1}};
    const RequestId request = testbed.sendRequest("a", modelTurn(program, 1), true);
    testbed.run(100ms);
    const ServerName right{testbed.gateOf(key)};
    const ServerName wrong{right.text == "m1" ? "m2" : "m1"};
    CallResult result;
    result.body = "wrong";
    testbed.deliver("a", GateMessageReceived{wrong, CallFinished{key, Attempt{1}, result}});
    testbed.deliver("a", GateMessageReceived{right, CallFinished{key, Attempt{9}, result}});
    testbed.deliver("a", GateMessageReceived{right, CallFinished{CallKey{program, Turn{2}}, Attempt{1}, result}});
    EXPECT_FALSE(testbed.answers.contains(request));
    testbed.deliver("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 0, {"x", "y"}}});
    testbed.deliver("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 0, {"x", "y"}}});
    testbed.deliver("a", GateMessageReceived{right, CallTokens{key, Attempt{1}, 1, {"y", "z"}}});
    result.body = "xyz";
    testbed.deliver("a", GateMessageReceived{right, CallFinished{key, Attempt{1}, result}});
    testbed.deliver("a", GateMessageReceived{right, CallFinished{key, Attempt{1}, result}});
    EXPECT_EQ(resultIn(testbed.answers.at(request)).body, "xyz");
    EXPECT_EQ(testbed.streams[request], "xyz");
}

TEST(EntryFaultTest, OperatorSettlesAnUnknownOutcome)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    testbed.gate("s1").tokenInterval = 1h;
    testbed.gate("s2").tokenInterval = 1h;
    const ProgramId program = createProgram(testbed);
    const CallKey key{program, Turn{1}};
    const RequestId request = testbed.sendRequest("a", serviceTurn(program, 1, false));
    testbed.run(100ms);
    testbed.restartGate(testbed.gateOf(key));
    EXPECT_EQ(errorIn(testbed.await(request)).run, RunState::Unknown);
    const CallerAnswer answer = testbed.await(testbed.sendRequest("a", SettleOutcome{key, true, "operator"}));
    EXPECT_TRUE(std::holds_alternative<OutcomeAccepted>(answer));
    EXPECT_TRUE(callsWithUnknownOutcome(testbed.state("a")).empty());
    EXPECT_EQ(errorIn(testbed.await(testbed.sendRequest("a", serviceTurn(program, 1, false)))).run, RunState::Ran);
    EXPECT_EQ(testbed.runsOf(key), 1);
}

TEST(EntryFaultTest, StoreOutageLosesNoTurn)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    testbed.storeFault = StoreFault::AnswerLost;
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("a", modelTurn(program, 1)), 1s)).status, 200u);
    testbed.storeFault = StoreFault::None;
    testbed.run(5s);
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("a", modelTurn(program, 2)))).status, 200u);
    testbed.run(1s);
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest("a", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 2u);
    EXPECT_TRUE(history.turns[0].durable && history.turns[1].durable);
}

/**
 * Variant of this scenario: the holder answers a turn during a store outage and is suspended before the turn is durable; the only
 * gate that holds the result restarts, and another entry takes over. On resuming, the earlier holder must hand the turn to the
 * current one.
 */
struct UnstoredTurnCase
{
    const char *name;      ///< Name of the test.
    bool model;            ///< True for a model call, else a repeatable service call.
    bool successorCrashes; ///< True if the first successor crashes too, so that a third entry holds the shard in the end.
};

bool holds(const EntryTestbed &testbed, const std::string &entry, ShardId shard)
{
    const std::vector<ShardView> shards = entryView(testbed.state(entry)).shards;
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
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    testbed.addEntry("b", 2);
    testbed.addEntry("c", 3);
    testbed.run(3s);
    const ProgramId program = createProgram(testbed);
    const CallKey key{program, Turn{1}};
    testbed.run(2s);
    testbed.storeFault = StoreFault::Refused;
    const SubmitCall first = it.model ? modelTurn(program, 1) : serviceTurn(program, 1, true);
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("a", first))).status, 200u);
    const std::string gate = testbed.gateOf(key);
    testbed.pause("a");
    testbed.run(100ms);
    testbed.restartGate(gate);
    testbed.storeFault = StoreFault::None;
    testbed.run(10s);
    if (it.successorCrashes) {
        testbed.kill(holds(testbed, "b", program.shard) ? "b" : "c");
        testbed.run(10s);
    }
    testbed.resume("a");
    testbed.run(5s);
    const std::string asked = it.successorCrashes ? "a" : "b";
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest(asked, modelTurn(program, 2)))).status, 200u);
    testbed.run(2s);
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest(asked, HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 2u);
    EXPECT_TRUE(history.turns[0].durable && history.turns[1].durable);
    EXPECT_EQ(testbed.runsOf(key), 1);
    EXPECT_EQ(entryView(testbed.state("a")).unstoredTurns, 0u);
}

INSTANTIATE_TEST_SUITE_P(Turns,
                         UnstoredTurnTest,
                         ::testing::Values(UnstoredTurnCase{"Model", true, false},
                                           UnstoredTurnCase{"Repeatable", false, false},
                                           UnstoredTurnCase{"ModelSecondHolderCrashes", true, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace

} // namespace Vanillahall
