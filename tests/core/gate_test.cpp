#include "gate_fixture.h"

#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall {

TEST(GateModelCall, StreamsAndRetainsTheOutcomeUntilSettled)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    gate.order(gate.run(callKey(1), modelBody()));
    ASSERT_EQ(gate.all<FreeAllMemory>().size(), 1U);
    ASSERT_EQ(gate.all<StartServerCall>().size(), 1U);
    const ServerCallId call = gate.all<StartServerCall>()[0].call;
    gate.handle(ServerCallStarted{call});
    gate.handle(ServerTokensReceived{call, 0, {"a", "b"}});
    gate.handle(ServerTokensReceived{call, 1, {"b", "c"}});
    gate.handle(ServerCallFinished{call, callResult("abc")});
    EXPECT_EQ(gate.sent<CallStarted>().size(), 1U);
    ASSERT_EQ(gate.sent<CallTokens>().size(), 2U);
    EXPECT_EQ(gate.sent<CallTokens>()[1].firstToken, 2U);
    EXPECT_EQ(gate.sent<CallTokens>()[1].pieces, std::vector<std::string>{"c"});
    ASSERT_EQ(gate.sent<CallFinished>().size(), 1U);

    EXPECT_EQ(std::get<CallResult>(gate.sent<CallFinished>()[0].outcome).body, "abc");
    gate.order(FetchCall{callKey(1), Attempt{1}, gate.fence(), 1}, LinkId{2});
    ASSERT_EQ(gate.sent<CallTokens>(LinkId{2}).size(), 1U);
    EXPECT_EQ(gate.sent<CallTokens>(LinkId{2})[0].pieces, (std::vector<std::string>{"b", "c"}));
    EXPECT_EQ(gate.sent<CallFinished>(LinkId{2}).size(), 1U);

    gate.order(SettleCalls{gate.fence(), {callKey(1)}}, LinkId{2});
    EXPECT_TRUE(heldCalls(gate.state(), TestShard).empty());
    gate.order(FetchCall{callKey(1), Attempt{1}, gate.fence(), 0}, LinkId{3});
    ASSERT_EQ(gate.sent<CallRefused>(LinkId{3}).size(), 1U);
    EXPECT_EQ(gate.sent<CallRefused>(LinkId{3})[0].error.run, RunState::Ran);
}

TEST(GateModelCall, ContinuesAfterItsLinkIsLost)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    gate.order(gate.run(callKey(1), modelBody()));
    gate.handle(LinkLost{LinkId{1}});
    gate.handle(ServerTokensReceived{ServerCallId{1}, 0, {"a"}});
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("a")});
    EXPECT_TRUE(gate.all<SendToLink>().empty());
    gate.order(gate.run(callKey(1), modelBody()), LinkId{2});
    EXPECT_EQ(gate.sent<CallStarted>(LinkId{2}).size(), 1U);
    EXPECT_EQ(gate.sent<CallTokens>(LinkId{2}).size(), 1U);
    EXPECT_EQ(gate.sent<CallFinished>(LinkId{2}).size(), 1U);
}

TEST(GateFetch, OfAnUnknownCallBlocksThatOrder)
{
    GateFixture gate(gateSettings(PoolKind::Service));
    gate.order(FetchCall{callKey(1), Attempt{1}, gate.fence(), 0});
    EXPECT_EQ(gate.sent<CallRefused>().at(0).error.code, ErrorCode::NotFound);
    EXPECT_EQ(gate.sent<CallRefused>().at(0).error.run, RunState::NotRun);
    gate.order(gate.run(callKey(1), serviceBody(false)));
    EXPECT_EQ(gate.sent<CallRefused>().size(), 2U);
    EXPECT_TRUE(gate.all<StartServerCall>().empty());
    gate.order(gate.run(callKey(1), serviceBody(false), Attempt{2}));
    EXPECT_EQ(gate.all<StartServerCall>().size(), 1U);
}

/** Urgency of a program and the resulting engine priority. */
struct PriorityCase
{
    std::chrono::seconds slack; ///< Time until the latest start.
    bool hasTarget;             ///< False if its class has no target.
    std::int32_t priority;      ///< Expected engine priority.
};

class GatePriority : public ::testing::TestWithParam<PriorityCase>
{
};

TEST_P(GatePriority, DependsOnTheSlack)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    RunCall order = gate.run(callKey(1), modelBody());
    order.urgency = Urgency{gate.now().wall + GetParam().slack + 5s, 5s, GetParam().hasTarget};
    gate.order(order);
    EXPECT_EQ(gate.all<StartServerCall>().at(0).priority, GetParam().priority);
}

INSTANTIATE_TEST_SUITE_P(Slacks,
                         GatePriority,
                         ::testing::Values(PriorityCase{-1s, true, 0},
                                           PriorityCase{0s, true, 12},
                                           PriorityCase{1s, true, 11},
                                           PriorityCase{60s, true, 6},
                                           PriorityCase{100000s, true, 1},
                                           PriorityCase{0s, false, 0}));

/** A way in which a fence is invalid. */
struct FenceCase
{
    const char *name;                        ///< For the test's name.
    std::function<void(Fence &)> invalidate; ///< Makes the fence invalid.
    ErrorCode code;                          ///< Expected refusal.
};

class GateFence : public ::testing::TestWithParam<FenceCase>
{
protected:
    /** A gate where call 1 has finished under epoch 3. */
    void SetUp() override
    {
        m_gate.order(m_gate.run(callKey(1), serviceBody(false), Attempt{1}, Epoch{3}));
        m_gate.handle(ServerCallFinished{ServerCallId{1}, callResult("done")});
        m_fence = m_gate.fence(Epoch{3});
        GetParam().invalidate(m_fence);
        m_gate.actions.clear();
    }

    GateFixture m_gate{gateSettings(PoolKind::Service)};
    Fence m_fence;
};

TEST_P(GateFence, RefusesNewWorkAsNotRun)
{
    RunCall order = m_gate.run(callKey(2), serviceBody(false));
    order.fence = m_fence;
    m_gate.order(order);
    EXPECT_TRUE(m_gate.all<StartServerCall>().empty());
    ASSERT_EQ(m_gate.sent<CallRefused>().size(), 1U);
    EXPECT_EQ(m_gate.sent<CallRefused>()[0].error.code, GetParam().code);
    EXPECT_EQ(m_gate.sent<CallRefused>()[0].error.run, RunState::NotRun);
    m_gate.order(order, LinkId{2});
    EXPECT_EQ(m_gate.sent<CallRefused>(LinkId{2}).at(0).error.code, GetParam().code);
    EXPECT_TRUE(m_gate.all<StartServerCall>().empty());
    order.fence = m_gate.fence(Epoch{3});
    m_gate.order(order);
    EXPECT_EQ(m_gate.all<StartServerCall>().size(), 1U);
}

TEST_P(GateFence, ReportsThatAnEarlierOrderRan)
{
    RunCall order = m_gate.run(callKey(1), serviceBody(false));
    order.fence = m_fence;
    m_gate.order(order);
    EXPECT_TRUE(m_gate.all<StartServerCall>().empty());
    EXPECT_EQ(m_gate.sent<CallRefused>().at(0).error.run, RunState::Ran);
}

TEST_P(GateFence, AppliesToEveryOtherOrder)
{
    m_gate.order(FetchCall{callKey(1), Attempt{1}, m_fence, 0});
    m_gate.order(CancelCall{callKey(1), Attempt{1}, m_fence});
    m_gate.order(EndProgram{callKey(1).program, m_fence});
    EXPECT_EQ(m_gate.sent<CallRefused>().size(), 3U);
    m_gate.order(FetchCall{callKey(2), Attempt{1}, m_fence, 0});
    const bool otherRun = GetParam().code == ErrorCode::WrongIncarnation;
    EXPECT_EQ(m_gate.sent<CallRefused>().back().error.run, otherRun ? RunState::Unknown : RunState::NotRun);
    m_gate.order(SettleCalls{m_fence, {callKey(1)}});
    m_gate.order(AdoptShard{m_fence});
    EXPECT_TRUE(m_gate.sent<CallFinished>().empty());
    for (const ShardAdopted &adopted : m_gate.sent<ShardAdopted>()) {
        EXPECT_GT(adopted.epoch, m_fence.epoch);
    }
    EXPECT_EQ(heldCalls(m_gate.state(), TestShard).size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         GateFence,
                         ::testing::Values(FenceCase{"OldEpoch",
                                                     [](Fence &it) {
                                                         it.epoch = Epoch{2};
                                                     },
                                                     ErrorCode::StaleEpoch},
                                           FenceCase{"OtherRun",
                                                     [](Fence &it) {
                                                         it.incarnation = Incarnation{1};
                                                     },
                                                     ErrorCode::WrongIncarnation},
                                           FenceCase{"Late",
                                                     [](Fence &it) {
                                                         it.validUntil -= 6s;
                                                     },
                                                     ErrorCode::OrderExpired}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(GateAdopt, RaisesTheEpochAndReportsRetainedCalls)
{
    GateFixture gate(gateSettings(PoolKind::Model));
    gate.order(gate.run(callKey(1), modelBody()));
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("x")});
    gate.order(gate.run(callKey(2), modelBody()));
    gate.order(AdoptShard{gate.fence(Epoch{2})}, LinkId{2});
    ASSERT_EQ(gate.sent<ShardAdopted>(LinkId{2}).size(), 1U);
    const ShardAdopted adopted = gate.sent<ShardAdopted>(LinkId{2})[0];
    ASSERT_EQ(adopted.calls.size(), 2U);
    EXPECT_EQ(adopted.calls[0].state, HeldState::Finished);
    EXPECT_EQ(adopted.calls[1].state, HeldState::Running);
    EXPECT_EQ(adopted.programs.size(), 2U);
    gate.order(gate.run(callKey(3), modelBody()));
    EXPECT_EQ(gate.sent<CallRefused>().at(0).error.code, ErrorCode::StaleEpoch);
}

/** A second order for a known call. */
struct RepeatCase
{
    const char *name;      ///< For the test's name.
    bool repeatable;       ///< True if the service call is repeatable.
    GateEvent end;         ///< How the first run ended; Tick if it still runs.
    std::uint32_t attempt; ///< Attempt number in the second order.
    std::size_t starts;    ///< Expected number of starts.
    std::size_t outcomes;  ///< Expected number of outcomes sent to the second link.
};

class GateRepeat : public ::testing::TestWithParam<RepeatCase>
{
};

TEST_P(GateRepeat, StartsOnlyWhatMayRunAgain)
{
    GateFixture gate(gateSettings(PoolKind::Service));
    gate.order(gate.run(callKey(1), serviceBody(GetParam().repeatable)));
    gate.handle(GetParam().end);
    gate.order(gate.run(callKey(1), serviceBody(GetParam().repeatable), Attempt{GetParam().attempt}), LinkId{2});
    EXPECT_EQ(gate.all<StartServerCall>().size(), GetParam().starts);
    EXPECT_EQ(gate.sent<CallFinished>(LinkId{2}).size(), GetParam().outcomes);
    for (const CallFinished &finished : gate.sent<CallFinished>(LinkId{2})) {
        EXPECT_EQ(finished.attempt.value, GetParam().attempt);
    }
}

const GateEvent answered = ServerCallFinished{ServerCallId{1}, CallResult{}};
const GateEvent broken = ServerCallFailed{ServerCallId{1}, ServerFailure::Broken, "reset"};
const GateEvent unsent = ServerCallFailed{ServerCallId{1}, ServerFailure::NotSent, "no route"};

INSTANTIATE_TEST_SUITE_P(Orders,
                         GateRepeat,
                         ::testing::Values(RepeatCase{"SameWhileRunning", false, Tick{}, 1, 1, 0},
                                           RepeatCase{"NextWhileRunning", false, Tick{}, 2, 1, 0},
                                           RepeatCase{"SameAfterAnswer", false, answered, 1, 1, 1},
                                           RepeatCase{"NextAfterAnswer", false, answered, 2, 1, 1},
                                           RepeatCase{"NextAfterBreak", false, broken, 2, 1, 1},
                                           RepeatCase{"NextAfterUnsent", false, unsent, 2, 2, 0},
                                           RepeatCase{"SameAfterUnsent", false, unsent, 1, 1, 1},
                                           RepeatCase{"RepeatableSameAfterBreak", true, broken, 1, 1, 1},
                                           RepeatCase{"RepeatableNextAfterBreak", true, broken, 2, 2, 0},
                                           RepeatCase{"RepeatableNextAfterAnswer", true, answered, 2, 1, 1}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(GateRepeatOrder, RefusesOtherContentAndOlderOrders)
{
    GateFixture gate(gateSettings(PoolKind::Service));
    gate.order(gate.run(callKey(1), serviceBody(false), Attempt{2}));
    RunCall other = gate.run(callKey(1), serviceBody(false), Attempt{2});
    other.content = ContentHash{9, 9};
    gate.order(other, LinkId{2});
    EXPECT_EQ(gate.sent<CallRefused>(LinkId{2}).at(0).error.code, ErrorCode::Conflict);
    EXPECT_EQ(gate.sent<CallRefused>(LinkId{2}).at(0).error.run, RunState::Unknown);
    gate.order(gate.run(callKey(1), serviceBody(false), Attempt{1}), LinkId{3});
    EXPECT_EQ(gate.sent<CallRefused>(LinkId{3}).at(0).error.code, ErrorCode::Cancelled);
    EXPECT_EQ(gate.all<StartServerCall>().size(), 1U);
}

/** Run state reported for a failure of the server. */
struct FailureCase
{
    ServerFailure failure; ///< Failure reported by the server side.
    bool repeatable;       ///< True if the service call is repeatable.
    RunState run;          ///< Expected run state.
};

class GateServiceFailure : public ::testing::TestWithParam<FailureCase>
{
};

TEST_P(GateServiceFailure, ReportsTheRunState)
{
    GateFixture gate(gateSettings(PoolKind::Service));
    gate.order(gate.run(callKey(1), serviceBody(GetParam().repeatable)));
    gate.handle(ServerCallFailed{ServerCallId{1}, GetParam().failure, "fault"});
    ASSERT_EQ(gate.sent<CallFinished>().size(), 1U);
    const CallFinished finished = gate.sent<CallFinished>()[0];
    EXPECT_EQ(outcomeError(finished.outcome).run, GetParam().run);
    EXPECT_EQ(outcomeError(finished.outcome).peer, "g1");
    EXPECT_EQ(gate.all<ResumeServerCall>().size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Failures,
                         GateServiceFailure,
                         ::testing::Values(FailureCase{ServerFailure::NotSent, false, RunState::NotRun},
                                           FailureCase{ServerFailure::Refused, false, RunState::NotRun},
                                           FailureCase{ServerFailure::Broken, false, RunState::Unknown},
                                           FailureCase{ServerFailure::Silent, false, RunState::Unknown},
                                           FailureCase{ServerFailure::Unreadable, false, RunState::Unknown},
                                           FailureCase{ServerFailure::NotSent, true, RunState::NotRun},
                                           FailureCase{ServerFailure::Broken, true, RunState::Unknown}));

/** A reason to refuse a new call. */
struct AdmitCase
{
    const char *name;                           ///< For the test's name.
    std::function<void(GateFixture &)> prepare; ///< Puts the gate into a state in which it refuses the call.
    ErrorCode code;                             ///< Expected refusal.
};

ConfigUpdate declared(std::uint64_t version, ServerState state)
{
    ConfigUpdate update;
    update.config.version = ConfigVersion{version};
    update.config.servers = {ServerDeclaration{ServerName{"g1"}, state}};
    return update;
}

void fillQueue(GateFixture &gate)
{
    for (std::uint64_t n = 1; n <= 5; n++) {
        gate.order(gate.run(callKey(n), serviceBody(false)));
    }
}

void leaveOutcomesUnsettled(GateFixture &gate)
{
    for (std::uint64_t n = 1; n <= 4; n++) {
        gate.order(gate.run(callKey(n), serviceBody(false)));
        gate.handle(ServerCallFinished{ServerCallId{n}, callResult("x")});
    }
}

class GateAdmit : public ::testing::TestWithParam<AdmitCase>
{
};

TEST_P(GateAdmit, RefusesAsNotRunAndNeverRunsACopy)
{
    GateSettings settings = gateSettings(PoolKind::Service);
    settings.maxWaiting = 3;
    settings.maxHeldOutcomes = 4;
    GateFixture gate(settings);
    GetParam().prepare(gate);
    gate.actions.clear();
    const RunCall order = gate.run(callKey(50), serviceBody(false));
    gate.order(order);
    ASSERT_EQ(gate.sent<CallRefused>().size(), 1U);
    const Error error = gate.sent<CallRefused>()[0].error;
    EXPECT_EQ(error.code, GetParam().code);
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_TRUE(error.retryAfter.has_value());

    gate.order(declared(9, ServerState::Coming));
    gate.handle(ServerLoad{true, 0, 100, 0, 0, {}, 1});
    gate.order(order, LinkId{2});
    EXPECT_EQ(gate.sent<CallRefused>(LinkId{2}).size(), 1U);
    for (const StartServerCall &start : gate.all<StartServerCall>()) {
        EXPECT_NE(start.key, order.key);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         GateAdmit,
                         ::testing::Values(AdmitCase{"QueueFull", fillQueue, ErrorCode::Overloaded},
                                           AdmitCase{"TooManyHeld", leaveOutcomesUnsettled, ErrorCode::Overloaded},
                                           AdmitCase{"Declared",
                                                     [](GateFixture &it) {
                                                         it.order(declared(2, ServerState::Leaving));
                                                     },
                                                     ErrorCode::Stopping},
                                           AdmitCase{"Stopping",
                                                     [](GateFixture &it) {
                                                         it.handle(StopRequested{});
                                                     },
                                                     ErrorCode::Stopping},
                                           AdmitCase{"ServerDown",
                                                     [](GateFixture &it) {
                                                         it.handle(ServerLoad{});
                                                     },
                                                     ErrorCode::NoServer}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

} // namespace Vanillahall
