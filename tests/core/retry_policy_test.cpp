#include "vanillahall/core/retry_policy_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

/** A failed attempt and the expected next step. */
struct AttemptCase
{
    const char *name;       ///< For the test's name.
    AttemptHistory history; ///< State of the request.
    AttemptFailure failure; ///< How the attempt failed.
    NextStep step;          ///< Expected next step.
};

class RetryPolicy : public ::testing::TestWithParam<AttemptCase>
{
};

TEST_P(RetryPolicy, DecidesTheNextStep)
{
    EXPECT_EQ(nextStep(GetParam().history, GetParam().failure), GetParam().step);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RetryPolicy,
    ::testing::Values(
        AttemptCase{
            "refusedTriesAnother", {Repetition::NonIdempotent, 1, 0, 1, false, false, 1s}, AttemptFailure::Refused, NextStep::TryAnother},
        AttemptCase{
            "refusedByAll", {Repetition::NonIdempotent, 1, 0, MaxTries, false, false, 1s}, AttemptFailure::Refused, NextStep::AnswerNotRun},
        AttemptCase{
            "noTimeLeft", {Repetition::NonIdempotent, 1, 0, 1, false, false, 5ms}, AttemptFailure::NoConnection, NextStep::AnswerNotRun},
        AttemptCase{"brokenOnce", {Repetition::NonIdempotent, 3, 1, 1, false, false, 1s}, AttemptFailure::Broken, NextStep::AnswerFailed},
        AttemptCase{"brokenMayRepeat", {Repetition::Idempotent, 2, 1, 1, false, false, 1s}, AttemptFailure::Broken, NextStep::TryAnother},
        AttemptCase{
            "attemptsSpent", {Repetition::Idempotent, 2, 2, 2, false, false, 1s}, AttemptFailure::BadAnswer, NextStep::AnswerFailed},
        AttemptCase{"streamBegun", {Repetition::Stream, 3, 1, 1, true, false, 1s}, AttemptFailure::Broken, NextStep::BreakOff},
        AttemptCase{"streamResumed", {Repetition::Resumable, 2, 1, 1, true, true, 1s}, AttemptFailure::Broken, NextStep::TryAnother},
        AttemptCase{"streamAttemptsSpent", {Repetition::Resumable, 1, 1, 1, true, true, 1s}, AttemptFailure::Broken, NextStep::BreakOff},
        AttemptCase{
            "refusedAfterRun", {Repetition::Idempotent, 1, 1, 2, false, false, 1s}, AttemptFailure::Refused, NextStep::AnswerFailed}),
    [](const auto &it) {
        return it.param.name;
    });

RC_GTEST_PROP(RetryPolicyProperty, NotRunIsReportedOnlyIfTheRequestCannotHaveRun, ())
{
    AttemptHistory history;
    history.repetition = *rc::gen::element(Repetition::Idempotent, Repetition::NonIdempotent, Repetition::Stream, Repetition::Resumable);
    history.maxAttempts = *rc::gen::inRange(1U, 4U);
    history.mayHaveRun = *rc::gen::inRange(0U, 4U);
    history.tries = *rc::gen::inRange(1U, 8U);
    history.hasBegunAnswer = history.mayHaveRun != 0 && *rc::gen::arbitrary<bool>();
    history.canResume = history.hasBegunAnswer && history.repetition == Repetition::Resumable && *rc::gen::arbitrary<bool>();
    history.timeLeft = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    const auto failure
        = *rc::gen::element(AttemptFailure::NoConnection, AttemptFailure::Refused, AttemptFailure::Broken, AttemptFailure::BadAnswer);
    const auto step = nextStep(history, failure);
    if (step == NextStep::AnswerNotRun) {
        RC_ASSERT(history.mayHaveRun == 0U);
    }
    if (step == NextStep::TryAnother && history.mayHaveRun != 0) {
        RC_ASSERT(isRepeatable(history.repetition));
        RC_ASSERT(history.mayHaveRun < history.maxAttempts);
    }
    if (history.hasBegunAnswer) {
        RC_ASSERT(step == NextStep::BreakOff || (step == NextStep::TryAnother && history.canResume));
    }
}

} // namespace Vanillahall::Forward
