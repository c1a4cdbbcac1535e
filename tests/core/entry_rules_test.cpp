#include "entry_requests.h"

#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A request that must be refused without side effects. */
struct RefusalCase
{
    const char *name;                                                   ///< Name of the test.
    std::function<CallerAnswer(EntryTestbed &, const ProgramId &)> act; ///< Sends the request, after turn 1 has ended.
    ErrorCode code;                                                     ///< Expected code.
};

CallerAnswer submit(EntryTestbed &testbed, const SubmitCall &call, const std::string &customer = "klokwerk")
{
    return testbed.await(testbed.sendRequest("a", call, false, customer));
}

CreateProgram createRequestOfClass(const char *name)
{
    CreateProgram body = createRequest();
    body.className = ClassName{name};
    return body;
}

CreateProgram subAgentOf(const ProgramId &parent)
{
    CreateProgram body;
    body.parent = parent;
    return body;
}

class RefusalTest : public ::testing::TestWithParam<RefusalCase>
{
};

TEST_P(RefusalTest, NothingRuns)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    submit(testbed, modelTurn(program, 1, "one"));
    const Error error = errorIn(GetParam().act(testbed, program));
    EXPECT_EQ(error.code, GetParam().code);
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_EQ(error.peer, "a");
    std::size_t runs = 0;
    for (const auto &[name, gate] : testbed.gates) {
        runs += gate.runs.size();
    }
    EXPECT_EQ(runs, 1u);
    const auto view = std::get<ProgramView>(testbed.await(testbed.sendRequest("a", ProgramQuery{program})));
    EXPECT_EQ(view.spent.calls, 1u);
    EXPECT_EQ(view.lastTurn, Turn{1});
}

INSTANTIATE_TEST_SUITE_P(Rules,
                         RefusalTest,
                         ::testing::Values(RefusalCase{"UnknownClass",
                                                       [](EntryTestbed &testbed, const ProgramId &) {
                                                           return testbed.await(testbed.sendRequest("a", createRequestOfClass("none")));
                                                       },
                                                       ErrorCode::NotFound},
                                           RefusalCase{"UnknownProgram",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return submit(testbed, modelTurn(ProgramId{it.shard, 3}, 1));
                                                       },
                                                       ErrorCode::NotFound},
                                           RefusalCase{"UnknownShard",
                                                       [](EntryTestbed &testbed, const ProgramId &) {
                                                           return submit(testbed, modelTurn(ProgramId{ShardId{77}, 3}, 1));
                                                       },
                                                       ErrorCode::NotFound},
                                           RefusalCase{"OtherCustomer",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return submit(testbed, modelTurn(it, 2), "larranaga");
                                                       },
                                                       ErrorCode::NotFound},
                                           RefusalCase{"OtherCustomersParent",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return testbed.await(
                                                               testbed.sendRequest("a", subAgentOf(it), false, "larranaga"));
                                                       },
                                                       ErrorCode::NotFound},
                                           RefusalCase{"OtherContent",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return submit(testbed, modelTurn(it, 1, "two"));
                                                       },
                                                       ErrorCode::Conflict},
                                           RefusalCase{"TurnZero",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return submit(testbed, modelTurn(it, 0));
                                                       },
                                                       ErrorCode::BadRequest},
                                           RefusalCase{"Gap",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           return submit(testbed, modelTurn(it, 3));
                                                       },
                                                       ErrorCode::TurnGap},
                                           RefusalCase{"TooManyTokens",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           SubmitCall call = modelTurn(it, 2);
                                                           std::get<ModelInput>(call.input).maxTokens = 200000;
                                                           return submit(testbed, call);
                                                       },
                                                       ErrorCode::BudgetExceeded},
                                           RefusalCase{"NoSuchModel",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           SubmitCall call = modelTurn(it, 2);
                                                           std::get<ModelInput>(call.input).model = ModelName{"none"};
                                                           return submit(testbed, call);
                                                       },
                                                       ErrorCode::NoServer},
                                           RefusalCase{"ParentEnded",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           testbed.await(testbed.sendRequest("a", EndCommand{it}));
                                                           return testbed.await(testbed.sendRequest("a", subAgentOf(it)));
                                                       },
                                                       ErrorCode::ProgramEnded},
                                           RefusalCase{"StoreUnavailableCreate",
                                                       [](EntryTestbed &testbed, const ProgramId &) {
                                                           testbed.storeFault = StoreFault::Refused;
                                                           testbed.run(1500ms);
                                                           return testbed.await(testbed.sendRequest("a", createRequest()));
                                                       },
                                                       ErrorCode::StoreUnavailable},
                                           RefusalCase{"StoreUnavailableNonRepeatable",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           testbed.storeFault = StoreFault::Refused;
                                                           testbed.run(1500ms);
                                                           return submit(testbed, serviceTurn(it, 2, false));
                                                       },
                                                       ErrorCode::StoreUnavailable},
                                           RefusalCase{"LeaseExpired",
                                                       [](EntryTestbed &testbed, const ProgramId &it) {
                                                           testbed.addEntry("b", 2);
                                                           testbed.run(3s);
                                                           testbed.storeFault = StoreFault::Refused;
                                                           testbed.kill("b");
                                                           testbed.run(5s);
                                                           return submit(testbed, modelTurn(it, 2));
                                                       },
                                                       ErrorCode::StoreUnavailable},
                                           RefusalCase{"Stopping",
                                                       [](EntryTestbed &testbed, const ProgramId &) {
                                                           testbed.deliver("a", StopRequested());
                                                           return testbed.await(testbed.sendRequest("a", createRequest()));
                                                       },
                                                       ErrorCode::Stopping}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(EntryRulesTest, NothingIsAcceptedBeforeTheConfigurationIsRead)
{
    EntryTestbed testbed;
    testbed.storeFault = StoreFault::Refused;
    testbed.addDefaultSetup();
    const Error error = errorIn(testbed.await(testbed.sendRequest("a", createRequest())));
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_TRUE(error.retryAfter.has_value());
    testbed.storeFault = StoreFault::None;
    testbed.run(5s);
    EXPECT_NE(createProgram(testbed), ProgramId());
}

TEST(EntryRulesTest, RepeatedTurnRunsOnceAndAnswersEveryRequester)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId program = createProgram(testbed);
    const RequestId first = testbed.sendRequest("a", modelTurn(program, 1), true);
    testbed.run(30ms);
    const RequestId second = testbed.sendRequest("a", modelTurn(program, 1), true);
    EXPECT_EQ(errorIn(testbed.await(testbed.sendRequest("a", modelTurn(program, 2)))).code, ErrorCode::TurnBusy);
    testbed.await(first);
    testbed.await(second);
    const RequestId third = testbed.sendRequest("a", modelTurn(program, 1), true);
    EXPECT_TRUE(std::get<CallAnswered>(testbed.await(third)).replayed);
    for (const RequestId id : {first, second, third}) {
        EXPECT_EQ(testbed.streams[id], "t1.0 t1.1 t1.2 ");
    }
    EXPECT_EQ(testbed.runsOf(CallKey{program, Turn{1}}), 1);
}

TEST(EntryRulesTest, EqualIdempotencyKeyCreatesOneProgram)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    CreateProgram body = createRequest();
    body.idempotencyKey = contentHash("key");
    const RequestId first = testbed.sendRequest("a", body);
    const RequestId second = testbed.sendRequest("a", body);
    const auto program = std::get<ProgramAccepted>(testbed.await(first)).program;
    EXPECT_EQ(std::get<ProgramAccepted>(testbed.await(second)).program, program);
    EXPECT_EQ(std::get<ProgramAccepted>(testbed.await(testbed.sendRequest("a", body))).program, program);
    EXPECT_NE(std::get<ProgramAccepted>(testbed.await(testbed.sendRequest("a", body, false, "larranaga"))).program, program);
}

TEST(EntryRulesTest, SubAgentsShareBudgetAndEnd)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    const ProgramId root = createProgram(testbed, "a", Budget{100000, 2, 1h});
    const auto child = std::get<ProgramAccepted>(testbed.await(testbed.sendRequest("a", subAgentOf(root)))).program;
    EXPECT_EQ(child.shard, root.shard);
    const RequestId first = testbed.sendRequest("a", modelTurn(root, 1));
    const RequestId second = testbed.sendRequest("a", modelTurn(child, 1));
    testbed.await(first);
    testbed.await(second);
    EXPECT_EQ(errorIn(submit(testbed, modelTurn(child, 2))).code, ErrorCode::BudgetExceeded);
    testbed.await(testbed.sendRequest("a", EndCommand{root}));
    EXPECT_EQ(errorIn(submit(testbed, modelTurn(child, 2))).code, ErrorCode::ProgramEnded);
    testbed.run(1s);
    std::size_t released = 0;
    for (const auto &[name, gate] : testbed.gates) {
        released += gate.ended.count(root) + gate.ended.count(child);
    }
    EXPECT_EQ(released, 2u);
}

TEST(EntryRulesTest, CallEndsWhenTheTimeBudgetIsExhausted)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    for (auto &[name, gate] : testbed.gates) {
        gate.tokenInterval = 1h;
    }
    const ProgramId program = createProgram(testbed, "a", Budget{100000, 10, 3s});
    const Error error = errorIn(submit(testbed, modelTurn(program, 1)));
    EXPECT_EQ(error.code, ErrorCode::BudgetExceeded);
    EXPECT_NE(error.run, RunState::NotRun);
}

TEST(EntryRulesTest, NewConfigurationReachesGatesAndNeverReverts)
{
    EntryTestbed testbed;
    testbed.addDefaultSetup();
    ConfigRow config;
    config.version = ConfigVersion{2};
    config.classes = {ClassTarget{ClassName{"weekly"}, 1h}};
    testbed.store.apply(StoreTransaction{{}, {RowPut{configKey(), config}}, {}});
    testbed.run(4s);
    EXPECT_EQ(testbed.gate("m1").config, ConfigVersion{2});
    testbed.storeFault = StoreFault::Stale;
    testbed.run(4s);
    EXPECT_EQ(configInForce(testbed.state("a"))->version, ConfigVersion{2});
}

} // namespace

} // namespace Vanillahall
