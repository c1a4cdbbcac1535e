/**
 * Decision on a request after a failed attempt at a server.
 * Load pattern: servers refuse, crash or lose responses while clients retry. A request that may have run is never reported as not run, and
 * attempts are bounded so that retries don't multiply the load.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string_view>

namespace Vanillahall::Forward {

/** How an attempt failed. */
enum class AttemptFailure : std::uint8_t {
    NoConnection, ///< No connection could be established; nothing was sent.
    Refused,      ///< The server stated that it didn't run the request.
    Broken,       ///< The connection ended after the request was sent and before a response.
    BadAnswer,    ///< The response can't be passed on.
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

/** State of a request after a failed attempt. */
struct AttemptHistory
{
    Repetition repetition = Repetition::NonIdempotent; ///< Whether the request may be sent again.
    std::uint32_t maxAttempts = 1;                     ///< Maximum number of servers that may run the request.
    std::uint32_t mayHaveRun = 0;                      ///< Number of attempts that may have run the request, the last one included.
    std::uint32_t tries = 0;                           ///< Number of all attempts.
    bool hasBegunAnswer = false;                       ///< True if part of a response was sent to the client.
    bool canResume = false;                            ///< True if another server can continue after the part that was sent.
    Duration timeLeft{};                               ///< Time left for the request.
};

/** What to do next with the request. */
enum class NextStep : std::uint8_t {
    TryAnother,   ///< Send the request to another server.
    AnswerNotRun, ///< Respond that the request wasn't run, with a Retry-After.
    AnswerFailed, ///< Respond that the request failed and may have run.
    BreakOff,     ///< Close the client's connection, since part of a response was already sent.
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

/**
 * Maximum number of servers that one request is sent to; beyond that, refusing the rest of a burst is better than passing it from server to
 * server.
 */
inline constexpr std::uint32_t MaxTries = 6;
/** Minimum time left for another attempt: a round trip to another availability zone and a short run. */
inline constexpr Duration MinTimeForTry = std::chrono::milliseconds(20);

/** @return Next step after a failed attempt. */
NextStep nextStep(const AttemptHistory &history, AttemptFailure failure);

/** @return True if a request that may have run may be sent again. */
bool isRepeatable(Repetition repetition);

/** @return True if the response is an event stream. */
bool isStream(Repetition repetition);

} // namespace Vanillahall::Forward
