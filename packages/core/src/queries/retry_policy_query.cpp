#include "vanillahall/core/retry_policy_func.h"

namespace Vanillahall::Forward {

bool isRepeatable(Repetition repetition)
{
    return repetition == Repetition::Idempotent || repetition == Repetition::Resumable;
}

bool isStream(Repetition repetition)
{
    return repetition == Repetition::Stream || repetition == Repetition::Resumable;
}

NextStep nextStep(const AttemptHistory &history, AttemptFailure failure)
{
    const bool mayRepeat = isRepeatable(history.repetition) && history.mayHaveRun < history.maxAttempts;
    const bool cannotHaveRun = history.mayHaveRun == 0;
    const bool hasTriesLeft = history.tries < MaxTries && history.timeLeft >= MinTimeForTry;
    const bool isKnownNotRun = failure == AttemptFailure::NoConnection || failure == AttemptFailure::Refused;
    const bool canContinue = !history.hasBegunAnswer || history.canResume;
    if (hasTriesLeft && canContinue && ((isKnownNotRun && cannotHaveRun) || mayRepeat)) {
        return NextStep::TryAnother;
    }
    if (history.hasBegunAnswer) {
        return NextStep::BreakOff;
    }
    return cannotHaveRun ? NextStep::AnswerNotRun : NextStep::AnswerFailed;
}

} // namespace Vanillahall::Forward
