#include "entry_requests.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

TEST(EntryTest, ModelTurnIsStreamedAndRecorded)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    const RequestId request = testbed.sendRequest("a", modelTurn(program, 1), true);
    const CallerAnswer answer = testbed.await(request);
    EXPECT_EQ(resultIn(answer).body, "t1.0 t1.1 t1.2 ");
    EXPECT_EQ(testbed.streams[request], "t1.0 t1.1 t1.2 ");
    testbed.run(100ms);
    const auto history = std::get<HistoryView>(testbed.await(testbed.sendRequest("a", HistoryQuery{program})));
    ASSERT_EQ(history.turns.size(), 1u);
    EXPECT_TRUE(history.turns[0].durable);
    const auto view = std::get<ProgramView>(testbed.await(testbed.sendRequest("a", ProgramQuery{program})));
    EXPECT_EQ(view.spent.tokens, 13u);
    EXPECT_EQ(view.spent.calls, 1u);
}

TEST(EntryTest, PromptContainsEarlierTurns)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    testbed.await(testbed.sendRequest("a", modelTurn(program, 1, "first")));
    testbed.await(testbed.sendRequest("a", serviceTurn(program, 2, true)));
    testbed.await(testbed.sendRequest("a", modelTurn(program, 3, "second")));
    std::vector<std::string> sent;
    for (const auto &[name, gate] : testbed.gates) {
        for (const RunCall &order : gate.orders) {
            if (order.key.turn == Turn{3}) {
                sent = std::get<ModelCall>(order.body).messages;
            }
        }
    }
    const std::vector<std::string> expected{R"({"role":"user","content":"first"})",
                                            R"({"content":"t1.0 t1.1 t1.2 ","role":"assistant"})",
                                            R"({"role":"user","content":"second"})"};
    EXPECT_EQ(sent, expected);
}

TEST(EntryTest, EndReleasesEngineMemoryAndRefusesTurns)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    const auto answered = std::get<CallAnswered>(testbed.await(testbed.sendRequest("a", modelTurn(program, 1))));
    EXPECT_TRUE(std::holds_alternative<ProgramEndAccepted>(testbed.await(testbed.sendRequest("a", EndCommand{program}))));
    EXPECT_TRUE(std::holds_alternative<ProgramEndAccepted>(testbed.await(testbed.sendRequest("a", EndCommand{program}))));
    testbed.run(1s);
    EXPECT_TRUE(testbed.gates.at(answered.server).ended.contains(program));
    EXPECT_EQ(errorIn(testbed.await(testbed.sendRequest("a", modelTurn(program, 2)))).code, ErrorCode::ProgramEnded);
}

TEST(EntryTest, ResultIsSettledAtTheGateOnlyWhenDurable)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    testbed.storeFault = StoreFault::Refused;
    const auto answered = std::get<CallAnswered>(testbed.await(testbed.sendRequest("a", modelTurn(program, 1)), 1s));
    const CallKey key{program, Turn{1}};
    testbed.run(1s);
    EXPECT_FALSE(testbed.gates.at(answered.server).settled.contains(key));
    testbed.storeFault = StoreFault::None;
    testbed.run(3s);
    EXPECT_TRUE(testbed.gates.at(answered.server).settled.contains(key));
}

} // namespace

} // namespace Vanillahall
