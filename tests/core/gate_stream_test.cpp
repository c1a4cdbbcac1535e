#include "gate_fixture.h"

#include <gtest/gtest.h>

namespace Vanillahall {

/** A model gate with call 1 running at the engine. */
class GateStream : public ::testing::Test
{
protected:
    GateStream()
    {
        m_gate.order(m_gate.run(callKey(1), modelBody()));
        m_gate.handle(ServerCallStarted{m_call});
    }

    /** @return The error with which the call ended. */
    [[nodiscard]] Error failure() const
    {
        const auto ends = m_gate.sent<CallFinished>();
        return ends.size() == 1 ? outcomeError(ends[0].outcome) : Error{};
    }

    GateFixture m_gate{gateSettings(PoolKind::Model)};
    ServerCallId m_call{1};
};

TEST_F(GateStream, BrokenStreamResumesAfterTheLastToken)
{
    m_gate.handle(ServerTokensReceived{m_call, 0, {"a", "b"}});
    m_gate.handle(ServerCallFailed{m_call, ServerFailure::Broken, "reset"});
    ASSERT_EQ(m_gate.all<ResumeServerCall>().size(), 1U);
    EXPECT_EQ(m_gate.all<ResumeServerCall>()[0].fromToken, 2U);
    m_gate.handle(ServerTokensReceived{m_call, 2, {"c"}});
    m_gate.handle(ServerCallFinished{m_call, callResult("c")});
    ASSERT_EQ(m_gate.sent<CallFinished>().size(), 1U);
    EXPECT_EQ(std::get<CallResult>(m_gate.sent<CallFinished>()[0].outcome).body, "abc");
    EXPECT_EQ(m_gate.all<StartServerCall>().size(), 1U);
}

TEST_F(GateStream, MissingTokensAreRequestedAgain)
{
    m_gate.handle(ServerTokensReceived{m_call, 0, {"a"}});
    m_gate.handle(ServerTokensReceived{m_call, 3, {"d"}});
    ASSERT_EQ(m_gate.all<ResumeServerCall>().size(), 1U);
    EXPECT_EQ(m_gate.all<ResumeServerCall>()[0].fromToken, 1U);
    EXPECT_EQ(m_gate.sent<CallTokens>().size(), 1U);
}

TEST_F(GateStream, SilentStreamIsResumedAndFinallyFails)
{
    m_gate.handle(ServerTokensReceived{m_call, 0, {"a"}});
    m_gate.advance(2900ms);
    EXPECT_TRUE(m_gate.all<ResumeServerCall>().empty());
    m_gate.advance(25s);
    EXPECT_EQ(m_gate.all<ResumeServerCall>().size(), 3U);
    EXPECT_EQ(m_gate.all<CancelServerCall>().size(), 1U);
    EXPECT_EQ(failure().code, ErrorCode::ServerFailed);
    EXPECT_EQ(failure().run, RunState::Ran);
}

TEST_F(GateStream, TimeLimitCancels)
{
    for (std::uint32_t n = 0; n < 31; n++) {
        m_gate.handle(ServerTokensReceived{m_call, n, {"a"}});
        m_gate.advance(1s);
    }
    EXPECT_EQ(failure().code, ErrorCode::Timeout);
    EXPECT_EQ(failure().run, RunState::Ran);
    EXPECT_EQ(m_gate.all<CancelServerCall>().size(), 1U);
}

TEST_F(GateStream, StreamsAreResumedAfterAnEngineRestart)
{
    m_gate.handle(ServerLoad{true, 1, 2, 0, 1000, {}, 1});
    m_gate.handle(ServerLoad{true, 1, 2, 0, 1000, {}, 1});
    EXPECT_TRUE(m_gate.all<ResumeServerCall>().empty());
    m_gate.handle(ServerLoad{true, 0, 2, 0, 1000, {}, 2});
    ASSERT_EQ(m_gate.all<ResumeServerCall>().size(), 1U);
    m_gate.handle(ServerCallFailed{m_call, ServerFailure::Refused, "unknown call"});
    EXPECT_EQ(failure().code, ErrorCode::ServerFailed);
    EXPECT_EQ(failure().run, RunState::Unknown);
}

/** Failure of a model call as reported by the server side. */
struct StreamFailure
{
    ServerFailure failure; ///< Reported kind of failure.
    bool resumed;          ///< True if the stream was resumed before.
    bool ends;             ///< True if the failure ends the call.
    RunState run;          ///< Expected run state, if the call ends.
};

class GateStreamFailure : public GateStream, public ::testing::WithParamInterface<StreamFailure>
{
};

TEST_P(GateStreamFailure, EndsOrResumes)
{
    if (GetParam().resumed) {
        m_gate.handle(ServerCallFailed{m_call, ServerFailure::Broken, "reset"});
    }
    m_gate.handle(ServerCallFailed{m_call, GetParam().failure, "fault"});
    EXPECT_EQ(m_gate.sent<CallFinished>().size(), GetParam().ends ? 1U : 0U);
    if (GetParam().ends) {
        EXPECT_EQ(failure().run, GetParam().run);
        return;
    }
    m_gate.advance(1s);
    EXPECT_EQ(m_gate.all<ResumeServerCall>().size(), GetParam().resumed ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Failures,
                         GateStreamFailure,
                         ::testing::Values(StreamFailure{ServerFailure::NotSent, false, true, RunState::NotRun},
                                           StreamFailure{ServerFailure::Refused, false, true, RunState::NotRun},
                                           StreamFailure{ServerFailure::Broken, false, false, RunState::Unknown},
                                           StreamFailure{ServerFailure::Silent, false, false, RunState::Unknown},
                                           StreamFailure{ServerFailure::Unreadable, false, false, RunState::Unknown},
                                           StreamFailure{ServerFailure::NotSent, true, false, RunState::Unknown},
                                           StreamFailure{ServerFailure::Refused, true, true, RunState::Unknown},
                                           StreamFailure{ServerFailure::Broken, true, false, RunState::Unknown}));

TEST(GateServer, DownFailsWaitingCallsAsNotRun)
{
    GateSettings settings = gateSettings(PoolKind::Service);
    settings.slots = 1;
    GateFixture gate(settings);
    gate.order(gate.run(callKey(1), serviceBody(false)));
    gate.order(gate.run(callKey(2), serviceBody(false)));
    gate.handle(ServerLoad{});
    gate.advance(1s);
    EXPECT_TRUE(gate.sent<CallFinished>().empty());
    gate.advance(2s);
    ASSERT_EQ(gate.sent<CallFinished>().size(), 1U);
    EXPECT_EQ(gate.sent<CallFinished>()[0].key, callKey(2));
    EXPECT_EQ(outcomeError(gate.sent<CallFinished>()[0].outcome).run, RunState::NotRun);
    gate.handle(ServerCallFinished{ServerCallId{1}, callResult("late")});
    EXPECT_EQ(gate.sent<CallFinished>().size(), 2U);
}

TEST(GateServer, MoreSlotsStartMoreWaitingCalls)
{
    GateFixture gate(gateSettings(PoolKind::Service));
    for (std::uint64_t n = 1; n <= 6; n++) {
        gate.order(gate.run(callKey(n), serviceBody(false)));
    }
    EXPECT_EQ(gate.all<StartServerCall>().size(), 2U);
    gate.handle(ServerLoad{true, 2, 5, 0, 0, {}, 1});
    EXPECT_EQ(gate.all<StartServerCall>().size(), 5U);
}

/** A cancelled call. */
struct CancelCase
{
    bool model;          ///< True for a model call, else a service call.
    bool repeatable;     ///< True if the service call is repeatable.
    bool waiting;        ///< True if the call waits, false if it runs.
    std::size_t cancels; ///< Expected number of cancels sent to the server.
    std::size_t ends;    ///< Expected number of outcomes.
    RunState run;        ///< Expected run state, if the call ends.
};

class GateCancel : public ::testing::TestWithParam<CancelCase>
{
};

TEST_P(GateCancel, NeverInterruptsARunningNonRepeatableCall)
{
    GateSettings settings = gateSettings(GetParam().model ? PoolKind::Model : PoolKind::Service);
    settings.slots = 1;
    GateFixture gate(settings);
    const CallBody body = GetParam().model ? modelBody() : serviceBody(GetParam().repeatable);
    if (GetParam().waiting) {
        gate.order(gate.run(callKey(9), body));
    }
    gate.order(gate.run(callKey(1), body));
    gate.order(CancelCall{callKey(1), Attempt{1}, gate.fence()});
    EXPECT_EQ(gate.all<CancelServerCall>().size(), GetParam().cancels);
    ASSERT_EQ(gate.sent<CallFinished>().size(), GetParam().ends);
    if (GetParam().ends > 0) {
        EXPECT_EQ(outcomeError(gate.sent<CallFinished>()[0].outcome).code, ErrorCode::Cancelled);
        EXPECT_EQ(outcomeError(gate.sent<CallFinished>()[0].outcome).run, GetParam().run);
    }
}

INSTANTIATE_TEST_SUITE_P(Calls,
                         GateCancel,
                         ::testing::Values(CancelCase{true, true, true, 0, 1, RunState::NotRun},
                                           CancelCase{true, true, false, 1, 1, RunState::Unknown},
                                           CancelCase{false, true, false, 1, 1, RunState::Unknown},
                                           CancelCase{false, false, true, 0, 1, RunState::NotRun},
                                           CancelCase{false, false, false, 0, 0, RunState::Unknown}));

} // namespace Vanillahall
