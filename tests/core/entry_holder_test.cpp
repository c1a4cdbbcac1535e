#include "entry_requests.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** Three entries, two model gates and two service gates. */
void addThreeEntries(EntryTestbed &testbed)
{
    testbed.addDefaultSetup();
    testbed.addEntry("b", 2);
    testbed.addEntry("c", 3);
    testbed.run(3s);
}

bool holds(const EntryTestbed &testbed, const std::string &entry, const ProgramId &program)
{
    const std::vector<ProgramView> programs = heldPrograms(testbed.state(entry));
    return std::any_of(programs.begin(), programs.end(), [&program](const ProgramView &it) {
        return it.program == program;
    });
}

TEST(EntryForwardTest, AnyEntryServesAnyProgram)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    const RequestId request = testbed.sendRequest("b", modelTurn(program, 1), true);
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(testbed.streams[request], "t1.0 t1.1 t1.2 ");
    const RequestId again = testbed.sendRequest("c", modelTurn(program, 1), true);
    EXPECT_TRUE(std::get<CallAnswered>(testbed.await(again)).replayed);
    EXPECT_EQ(testbed.streams[again], "t1.0 t1.1 t1.2 ");
    CreateProgram body;
    body.parent = program;
    EXPECT_EQ(std::get<ProgramAccepted>(testbed.await(testbed.sendRequest("b", body))).program.shard, program.shard);
    EXPECT_EQ(errorIn(testbed.await(testbed.sendRequest("b", modelTurn(program, 2), false, "larranaga"))).code, ErrorCode::NotFound);
    EXPECT_TRUE(std::holds_alternative<ProgramEndAccepted>(testbed.await(testbed.sendRequest("c", EndCommand{program}))));
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{1}}), 1);
}

/** A call that is in progress when the holder crashes. */
struct TakeOverCase
{
    const char *name;       ///< Name of the test.
    bool model;             ///< True for a model call, else a service call that runs at most once.
    Duration before;        ///< Time from submitting the turn to the crash.
    bool throughOtherEntry; ///< True if the request is forwarded by another entry.
};

class TakeOverTest : public ::testing::TestWithParam<TakeOverCase>
{
};

TEST_P(TakeOverTest, ResubmittedTurnGetsTheAnswerOfTheFirstRun)
{
    const TakeOverCase &it = GetParam();
    EntryTestbed testbed;
    addThreeEntries(testbed);
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 100ms;
    }
    const ProgramId program = createProgram(testbed, "a");
    testbed.await(testbed.sendRequest("a", modelTurn(program, 1)));
    testbed.run(500ms);
    const CallKey key{program, Turn{2}};
    const SubmitCall turn = it.model ? modelTurn(program, 2) : serviceTurn(program, 2, false);
    RequestId request = testbed.sendRequest(it.throughOtherEntry ? "b" : "a", turn, true);
    testbed.run(it.before);
    testbed.kill("a");
    const TimePoint crashedAt = testbed.now.steady;
    if (!it.throughOtherEntry) {
        request = testbed.sendRequest("b", turn, true);
    }
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t2.0 t2.1 t2.2 ");
    EXPECT_LT(testbed.now.steady - crashedAt, Duration(5s));
    EXPECT_EQ(testbed.streams[request], it.model ? "t2.0 t2.1 t2.2 " : "");
    EXPECT_EQ(testbed.runsOf(key), 1);
    EXPECT_TRUE(holds(testbed, "b", program) || holds(testbed, "c", program));
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest("c", HistoryQuery{program})));
    EXPECT_EQ(history.turns.size(), 2u);
    const auto view = std::get<ProgramView>(testbed.await(testbed.sendRequest("b", ProgramQuery{program})));
    EXPECT_EQ(view.spent.calls, 2u);
}

INSTANTIATE_TEST_SUITE_P(Takeover,
                         TakeOverTest,
                         ::testing::Values(TakeOverCase{"ModelBetweenTurns", true, 0ms, false},
                                           TakeOverCase{"ModelRunning", true, 150ms, false},
                                           TakeOverCase{"ModelRunningForwarded", true, 150ms, true},
                                           TakeOverCase{"ModelFinished", true, 1s, false},
                                           TakeOverCase{"OnceIntending", false, 10ms, false},
                                           TakeOverCase{"OnceRunning", false, 150ms, false},
                                           TakeOverCase{"OnceRunningForwarded", false, 150ms, true},
                                           TakeOverCase{"OnceFinished", false, 1s, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(EntryTakeOverTest, GateRestartDuringTakeoverLeavesTheOutcomeUnknown)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 1h;
    }
    const ProgramId program = createProgram(testbed, "a");
    const CallKey key{program, Turn{1}};
    testbed.sendRequest("a", serviceTurn(program, 1, false));
    testbed.run(200ms);
    const std::string gate = testbed.gateOf(key);
    testbed.kill("a");
    testbed.restartGate(gate);
    const Error error = errorIn(testbed.await(testbed.sendRequest("b", serviceTurn(program, 1, false))));
    EXPECT_EQ(error.run, RunState::Unknown);
    EXPECT_EQ(testbed.runsOf(key), 1);
}

TEST(EntryTakeOverTest, EndedProgramsMemoryIsReleasedByTheNextHolder)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    const auto answered = std::get<CallAnswered>(testbed.await(testbed.sendRequest("a", modelTurn(program, 1))));
    testbed.gate(answered.server.text).unresponsive = true;
    testbed.await(testbed.sendRequest("a", EndCommand{program}));
    testbed.kill("a");
    testbed.gate(answered.server.text).unresponsive = false;
    testbed.run(10s);
    EXPECT_TRUE(testbed.gate(answered.server.text).ended.contains(program));
}

TEST(EntryTakeOverTest, AdoptionRequestIsRepeatedToAGateThatMissedIt)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    testbed.await(testbed.sendRequest("a", modelTurn(program, 1)));
    testbed.run(500ms);
    testbed.kill("a");
    // While the next holder asks the gates which calls they hold, the gates are unresponsive, but their connections stay open.
    for (int n = 0; n < 1000 && !holds(testbed, "b", program) && !holds(testbed, "c", program); n++) {
        testbed.run(10ms);
        for (auto &[name, gate] : testbed.gates) {
            gate.unresponsive = n > 150;
        }
    }
    testbed.run(100ms);
    for (auto &[name, gate] : testbed.gates) {
        gate.unresponsive = false;
    }
    // Turn 3 waits while a gate may still hold turn 2. Once all gates have reported that they don't, turn 3 is refused.
    const CallerAnswer answer = testbed.await(testbed.sendRequest("b", modelTurn(program, 3)));
    EXPECT_EQ(errorIn(answer).code, ErrorCode::TurnGap);
}

TEST(EntryTakeOverTest, PausedHolderIsRefusedByTheGate)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    testbed.await(testbed.sendRequest("a", modelTurn(program, 1)));
    testbed.run(500ms);
    testbed.pause("a");
    testbed.run(6s);
    EXPECT_TRUE(holds(testbed, "b", program) || holds(testbed, "c", program));
    const RequestId other = testbed.sendRequest("b", modelTurn(program, 2));
    const RequestId request = testbed.sendRequest("a", modelTurn(program, 2));
    testbed.resumeWithoutPeerMessages("a");
    EXPECT_EQ(resultIn(testbed.await(other)).body, "t2.0 t2.1 t2.2 ");
    const Error error = errorIn(testbed.await(request));
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_TRUE(error.retryAfter.has_value());
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("a", modelTurn(program, 2)))).body, "t2.0 t2.1 t2.2 ");
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{2}}), 1);
    EXPECT_FALSE(holds(testbed, "a", program));
}

TEST(EntryTakeOverTest, PausedHolderForwardsTheCallOnceItLearnsOfTheNewHolder)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    testbed.await(testbed.sendRequest("a", modelTurn(program, 1)));
    testbed.pause("a");
    testbed.run(6s);
    const RequestId request = testbed.sendRequest("a", modelTurn(program, 2));
    testbed.resume("a");
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t2.0 t2.1 t2.2 ");
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{2}}), 1);
    EXPECT_FALSE(holds(testbed, "a", program));
}

TEST(EntryTakeOverTest, ForwardedStreamContinuesWhenTheHolderStopsResponding)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 500ms;
    }
    const ProgramId program = createProgram(testbed, "a");
    const RequestId request = testbed.sendRequest("b", modelTurn(program, 1), true);
    testbed.run(700ms);
    testbed.pause("a");
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(testbed.streams[request], "t1.0 t1.1 t1.2 ");
    testbed.resume("a");
    testbed.run(5s);
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{1}}), 1);
    EXPECT_FALSE(holds(testbed, "a", program));
}

TEST(EntryOutageTest, ProgramsContinueDuringAStoreOutage)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    testbed.storeFault = StoreFault::Silent;
    for (std::uint32_t n = 1; n <= 10; n++) {
        EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("b", modelTurn(program, n)))).status, 200u);
        testbed.run(6s);
    }
    const Error error = errorIn(testbed.await(testbed.sendRequest("b", serviceTurn(program, 11, false))));
    EXPECT_EQ(error.code, ErrorCode::StoreUnavailable);
    EXPECT_EQ(error.run, RunState::NotRun);
    testbed.storeFault = StoreFault::None;
    testbed.run(10s);
    EXPECT_EQ(resultIn(testbed.await(testbed.sendRequest("b", serviceTurn(program, 11, false)))).status, 200u);
    testbed.run(1s);
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest("c", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 11u);
    for (const TurnView &turn : history.turns) {
        EXPECT_TRUE(turn.durable);
        EXPECT_EQ(testbed.runsOf(turn.key), 1);
    }
}

TEST(EntryStopTest, ShardsAreHandedOverAndNoCallIsInterrupted)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 300ms;
    }
    const RequestId request = testbed.sendRequest("a", modelTurn(program, 1), true);
    testbed.run(200ms);
    testbed.deliver("a", StopRequested());
    const RequestId next = testbed.sendRequest("a", modelTurn(program, 1), true);
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(resultIn(testbed.await(next)).body, "t1.0 t1.1 t1.2 ");
    const RequestId second = testbed.sendRequest("a", modelTurn(program, 2), true);
    EXPECT_EQ(resultIn(testbed.await(second)).body, "t2.0 t2.1 t2.2 ");
    testbed.run(3s);
    EXPECT_TRUE(testbed.stopped.contains(EntryName{"a"}));
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{1}}), 1);
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{2}}), 1);
}

TEST(EntryStopTest, LongCallMovesToTheNextHolder)
{
    EntryTestbed testbed;
    addThreeEntries(testbed);
    const ProgramId program = createProgram(testbed, "a");
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 4s;
    }
    const RequestId request = testbed.sendRequest("b", modelTurn(program, 1), true);
    testbed.run(5s);
    testbed.deliver("a", StopRequested());
    EXPECT_EQ(resultIn(testbed.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(testbed.streams[request], "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{1}}), 1);
    testbed.run(1s);
    EXPECT_TRUE(testbed.stopped.contains(EntryName{"a"}));
}

TEST(EntryStopTest, EmptyEntryStopsAtOnce)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    testbed.deliver("a", StopRequested());
    testbed.run(1s);
    EXPECT_TRUE(testbed.stopped.contains(EntryName{"a"}));
}

} // namespace

} // namespace Vanillahall
