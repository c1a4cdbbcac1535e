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
    const bool isUntouched = history.mayHaveRun == 0;
    const bool hasRoom = history.tries < MaxTries && history.left >= MinTimeForTry;
    const bool isHarmless = failure == AttemptFailure::NoConnection || failure == AttemptFailure::Refused;
    const bool isOpen = !history.hasBegunAnswer || history.canResume;
    if (hasRoom && isOpen && ((isHarmless && isUntouched) || mayRepeat)) {
        return NextStep::TryAnother;
    }
    if (history.hasBegunAnswer) {
        return NextStep::BreakOff;
    }
    return isUntouched ? NextStep::AnswerNotRun : NextStep::AnswerFailed;
}

} // namespace Vanillahall::Forward
