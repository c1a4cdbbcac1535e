#include "entry_ask.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** Three entries, two model gates and two service gates. */
void addThree(EntryBench &bench)
{
    bench.addUsual();
    bench.addEntry("b", 2);
    bench.addEntry("c", 3);
    bench.run(3s);
}

bool holds(const EntryBench &bench, const std::string &entry, const ProgramId &program)
{
    const std::vector<ProgramView> programs = heldPrograms(bench.state(entry));
    return std::any_of(programs.begin(), programs.end(), [&program](const ProgramView &it) {
        return it.program == program;
    });
}

TEST(EntryForwardTest, AnyEntryAnswers)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    const RequestId request = bench.ask("b", modelTurn(program, 1), true);
    EXPECT_EQ(resultIn(bench.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(bench.streams[request], "t1.0 t1.1 t1.2 ");
    const RequestId again = bench.ask("c", modelTurn(program, 1), true);
    EXPECT_TRUE(std::get<CallAnswered>(bench.await(again)).replayed);
    EXPECT_EQ(bench.streams[again], "t1.0 t1.1 t1.2 ");
    CreateProgram body;
    body.parent = program;
    EXPECT_EQ(std::get<ProgramAccepted>(bench.await(bench.ask("b", body))).program.shard, program.shard);
    EXPECT_EQ(errorIn(bench.await(bench.ask("b", modelTurn(program, 2), false, "larranaga"))).code, ErrorCode::NotFound);
    EXPECT_TRUE(std::holds_alternative<ProgramEndAccepted>(bench.await(bench.ask("c", EndCommand{program}))));
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{1}}), 1);
}

/** What is under way when the holder dies. */
struct TakeOverCase
{
    const char *name;      ///< Of the test.
    bool model;            ///< True for a model call, else a service call that runs at most once.
    Duration before;       ///< Time from submitting the turn to the death.
    bool throughNeighbour; ///< True if the caller's request came through another entry.
};

class TakeOverTest : public ::testing::TestWithParam<TakeOverCase>
{
};

TEST_P(TakeOverTest, SameTurnGivesTheFirstRunsAnswer)
{
    const TakeOverCase &it = GetParam();
    EntryBench bench;
    addThree(bench);
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 100ms;
    }
    const ProgramId program = createdProgram(bench, "a");
    bench.await(bench.ask("a", modelTurn(program, 1)));
    bench.run(500ms);
    const CallKey key{program, Turn{2}};
    const SubmitCall turn = it.model ? modelTurn(program, 2) : serviceTurn(program, 2, false);
    RequestId request = bench.ask(it.throughNeighbour ? "b" : "a", turn, true);
    bench.run(it.before);
    bench.kill("a");
    const TimePoint death = bench.now.steady;
    if (!it.throughNeighbour) {
        request = bench.ask("b", turn, true);
    }
    EXPECT_EQ(resultIn(bench.await(request)).body, "t2.0 t2.1 t2.2 ");
    EXPECT_LT(bench.now.steady - death, Duration(5s));
    EXPECT_EQ(bench.streams[request], it.model ? "t2.0 t2.1 t2.2 " : "");
    EXPECT_EQ(bench.runsOf(key), 1);
    EXPECT_TRUE(holds(bench, "b", program) || holds(bench, "c", program));
    const auto history = std::get<HistoryView>(bench.await(bench.ask("c", HistoryQuery{program})));
    EXPECT_EQ(history.turns.size(), 2u);
    const auto view = std::get<ProgramView>(bench.await(bench.ask("b", ProgramQuery{program})));
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

TEST(EntryTakeOverTest, GateRestartedMeanwhileLeavesTheOutcomeUnknown)
{
    EntryBench bench;
    addThree(bench);
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 1h;
    }
    const ProgramId program = createdProgram(bench, "a");
    const CallKey key{program, Turn{1}};
    bench.ask("a", serviceTurn(program, 1, false));
    bench.run(200ms);
    const std::string gate = bench.gateOf(key);
    bench.kill("a");
    bench.restartGate(gate);
    const Error error = errorIn(bench.await(bench.ask("b", serviceTurn(program, 1, false))));
    EXPECT_EQ(error.run, RunState::Unknown);
    EXPECT_EQ(bench.runsOf(key), 1);
}

TEST(EntryTakeOverTest, EndedProgramsMemoryIsReleasedByTheNextHolder)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    const auto answered = std::get<CallAnswered>(bench.await(bench.ask("a", modelTurn(program, 1))));
    bench.gate(answered.server.text).silent = true;
    bench.await(bench.ask("a", EndCommand{program}));
    bench.kill("a");
    bench.gate(answered.server.text).silent = false;
    bench.run(10s);
    EXPECT_TRUE(bench.gate(answered.server.text).ended.contains(program));
}

TEST(EntryTakeOverTest, AGateThatMissedTheQuestionIsAskedAgain)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    bench.await(bench.ask("a", modelTurn(program, 1)));
    bench.run(500ms);
    bench.kill("a");
    // The gates are silent while the next holder asks what they keep; their connections last.
    for (int n = 0; n < 1000 && !holds(bench, "b", program) && !holds(bench, "c", program); n++) {
        bench.run(10ms);
        for (auto &[name, gate] : bench.gates) {
            gate.silent = n > 150;
        }
    }
    bench.run(100ms);
    for (auto &[name, gate] : bench.gates) {
        gate.silent = false;
    }
    // Turn 3 waits for turn 2 as long as a gate may still keep that; once all have answered, it is a gap.
    const CallerAnswer answer = bench.await(bench.ask("b", modelTurn(program, 3)));
    EXPECT_EQ(errorIn(answer).code, ErrorCode::TurnGap);
}

TEST(EntryTakeOverTest, PausedHolderIsRefusedByTheGate)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    bench.await(bench.ask("a", modelTurn(program, 1)));
    bench.run(500ms);
    bench.pause("a");
    bench.run(6s);
    EXPECT_TRUE(holds(bench, "b", program) || holds(bench, "c", program));
    const RequestId other = bench.ask("b", modelTurn(program, 2));
    const RequestId request = bench.ask("a", modelTurn(program, 2));
    bench.resumeUninformed("a");
    EXPECT_EQ(resultIn(bench.await(other)).body, "t2.0 t2.1 t2.2 ");
    const Error error = errorIn(bench.await(request));
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_TRUE(error.retryAfter.has_value());
    EXPECT_EQ(resultIn(bench.await(bench.ask("a", modelTurn(program, 2)))).body, "t2.0 t2.1 t2.2 ");
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{2}}), 1);
    EXPECT_FALSE(holds(bench, "a", program));
}

TEST(EntryTakeOverTest, PausedHolderThatHearsOfTheNextOnePassesTheCallOn)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    bench.await(bench.ask("a", modelTurn(program, 1)));
    bench.pause("a");
    bench.run(6s);
    const RequestId request = bench.ask("a", modelTurn(program, 2));
    bench.resume("a");
    EXPECT_EQ(resultIn(bench.await(request)).body, "t2.0 t2.1 t2.2 ");
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{2}}), 1);
    EXPECT_FALSE(holds(bench, "a", program));
}

TEST(EntryTakeOverTest, ForwardedStreamGoesOnWhenTheHolderFallsSilent)
{
    EntryBench bench;
    addThree(bench);
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 500ms;
    }
    const ProgramId program = createdProgram(bench, "a");
    const RequestId request = bench.ask("b", modelTurn(program, 1), true);
    bench.run(700ms);
    bench.pause("a");
    EXPECT_EQ(resultIn(bench.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(bench.streams[request], "t1.0 t1.1 t1.2 ");
    bench.resume("a");
    bench.run(5s);
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{1}}), 1);
    EXPECT_FALSE(holds(bench, "a", program));
}

TEST(EntryOutageTest, ProgramsGoOnWhileTheStoreIsAway)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    bench.storeFault = StoreFault::Silent;
    for (std::uint32_t n = 1; n <= 10; n++) {
        EXPECT_EQ(resultIn(bench.await(bench.ask("b", modelTurn(program, n)))).status, 200u);
        bench.run(6s);
    }
    const Error error = errorIn(bench.await(bench.ask("b", serviceTurn(program, 11, false))));
    EXPECT_EQ(error.code, ErrorCode::StoreUnavailable);
    EXPECT_EQ(error.run, RunState::NotRun);
    bench.storeFault = StoreFault::None;
    bench.run(10s);
    EXPECT_EQ(resultIn(bench.await(bench.ask("b", serviceTurn(program, 11, false)))).status, 200u);
    bench.run(1s);
    const auto history = std::get<HistoryView>(bench.await(bench.ask("c", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 11u);
    for (const TurnView &turn : history.turns) {
        EXPECT_TRUE(turn.durable);
        EXPECT_EQ(bench.runsOf(turn.key), 1);
    }
}

TEST(EntryStopTest, ShardsAreHandedOverAndNoCallIsCut)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 300ms;
    }
    const RequestId request = bench.ask("a", modelTurn(program, 1), true);
    bench.run(200ms);
    bench.tell("a", StopRequested());
    const RequestId next = bench.ask("a", modelTurn(program, 1), true);
    EXPECT_EQ(resultIn(bench.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(resultIn(bench.await(next)).body, "t1.0 t1.1 t1.2 ");
    const RequestId second = bench.ask("a", modelTurn(program, 2), true);
    EXPECT_EQ(resultIn(bench.await(second)).body, "t2.0 t2.1 t2.2 ");
    bench.run(3s);
    EXPECT_TRUE(bench.stopped.contains(EntryName{"a"}));
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{1}}), 1);
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{2}}), 1);
}

TEST(EntryStopTest, LongCallMovesToTheNextHolder)
{
    EntryBench bench;
    addThree(bench);
    const ProgramId program = createdProgram(bench, "a");
    for (auto &[name, gate] : bench.gates) {
        gate.tokenTime = 4s;
    }
    const RequestId request = bench.ask("b", modelTurn(program, 1), true);
    bench.run(5s);
    bench.tell("a", StopRequested());
    EXPECT_EQ(resultIn(bench.await(request)).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(bench.streams[request], "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(bench.runsOf(CallKey{program, Turn{1}}), 1);
    bench.run(1s);
    EXPECT_TRUE(bench.stopped.contains(EntryName{"a"}));
}

TEST(EntryStopTest, EmptyEntryStopsAtOnce)
{
    EntryBench bench;
    bench.addUsual();
    bench.tell("a", StopRequested());
    bench.run(1s);
    EXPECT_TRUE(bench.stopped.contains(EntryName{"a"}));
}

} // namespace

} // namespace Vanillahall
