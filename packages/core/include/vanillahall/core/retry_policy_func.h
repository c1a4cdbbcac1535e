/**
 * What happens to a request after an attempt at a server has failed.
 * Load pattern: servers that refuse, crash or lose answers while clients retry. A request that may have run is never called "not run",
 * and attempts are bounded so that retries don't multiply the load.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string_view>

namespace Vanillahall::Forward {

/** How an attempt failed. */
enum class AttemptFailure : std::uint8_t {
    NoConnection, ///< No connection to the server came about; nothing was sent.
    Refused,      ///< The server said that it didn't run the request.
    Broken,       ///< The connection ended after the request was sent, before an answer.
    BadAnswer,    ///< The answer can't be passed on.
};

/** @return Name of a failure in logs and metrics. */
constexpr std::string_view failureName(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NoConnection:
        return "no_connection";
    case AttemptFailure::Refused:
        return "refused";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::BadAnswer:
        return "bad_answer";
    }
    return "unnamed";
}

/** What is known of a request when an attempt has failed. */
struct AttemptHistory
{
    Repetition repetition = Repetition::NonIdempotent; ///< What may be repeated.
    std::uint32_t maxAttempts = 1;                     ///< Most servers that may run the request.
    std::uint32_t mayHaveRun = 0;                      ///< Attempts after which the request may have run, the last one included.
    std::uint32_t tries = 0;                           ///< Attempts in all.
    bool hasBegunAnswer = false;                       ///< True if part of an answer went to the client.
    bool canResume = false;                            ///< True if another server can go on after the part that went out.
    Duration left{};                                   ///< Time left for the request.
};

/** What to do next. */
enum class NextStep : std::uint8_t {
    TryAnother,   ///< Send the request to another server.
    AnswerNotRun, ///< Tell the client that it wasn't run and when to come back.
    AnswerFailed, ///< Tell the client that it failed and may have run.
    BreakOff,     ///< Close the client's connection, since part of an answer is out.
};

/** @return Name of a step in logs. */
constexpr std::string_view stepName(NextStep step)
{
    switch (step) {
    case NextStep::TryAnother:
        return "try_another";
    case NextStep::AnswerNotRun:
        return "answer_not_run";
    case NextStep::AnswerFailed:
        return "answer_failed";
    case NextStep::BreakOff:
        return "break_off";
    }
    return "unnamed";
}

/** Most servers that one request is offered to; the rest of a burst is better refused than carried around. */
inline constexpr std::uint32_t MaxTries = 6;
/** Less time than this is not enough for another attempt: a round trip to another zone and a short run. */
inline constexpr Duration MinTimeForTry = std::chrono::milliseconds(20);

/** @return What to do after a failed attempt. */
NextStep nextStep(const AttemptHistory &history, AttemptFailure failure);

/** @return True if a request of this kind may be sent again after it may have run. */
bool isRepeatable(Repetition repetition);

/** @return True if the answer is a series of events. */
bool isStream(Repetition repetition);

} // namespace Vanillahall::Forward
