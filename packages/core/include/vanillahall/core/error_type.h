/** Errors: what failed or was refused, at which processing step and at which peer. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Vanillahall {

/** Whether the request that failed was executed. */
enum class RunState : std::uint8_t {
    NotRun,  ///< It was not executed and never will be.
    Ran,     ///< It was executed.
    Unknown, ///< It may have been executed; this can't be determined.
};

/** Kind of error, as callers receive it. */
enum class ErrorCode : std::uint8_t {
    BadRequest,       ///< The request can't be decoded or has a wrong value.
    Unauthorized,     ///< No token, or an unknown one.
    Forbidden,        ///< The token doesn't allow this.
    NotFound,         ///< No such program, class, server or path.
    Conflict,         ///< The turn was sent before with other content.
    TurnGap,          ///< An earlier turn is missing.
    TurnBusy,         ///< An earlier turn is still running.
    ProgramEnded,     ///< The program has ended.
    BudgetExceeded,   ///< The call exceeds what is left of the budget.
    TooLarge,         ///< The request exceeds a size limit.
    Overloaded,       ///< No capacity at present; the caller may retry later.
    TargetImpossible, ///< The class target can no longer be met if the request waits.
    Stopping,         ///< The process is shutting down as planned.
    NoServer,         ///< No backend server of the pool can take the call.
    StaleEpoch,       ///< The order carries an outdated fencing number.
    OrderExpired,     ///< The order arrived after the time until which it was valid.
    WrongIncarnation, ///< The order was meant for an earlier run of the gate.
    NotHolder,        ///< This entry doesn't hold the program.
    HolderUnknown,    ///< The program's holder is unknown or can't be reached at present.
    StoreUnavailable, ///< The platform's store is needed and unavailable.
    VersionMismatch,  ///< A conditional change failed because of another change.
    Timeout,          ///< The time limit passed.
    Cancelled,        ///< The caller cancelled, or the program ended.
    ServerFailed,     ///< The backend server failed while running the call.
    ServerRefused,    ///< The backend server refused the call.
    Quarantined,      ///< This content has crashed backend servers and is refused.
    PeerLost,         ///< The connection to a peer was lost.
    Internal,         ///< A defect of this software.
};

/** Processing step of a request at which an error arose. */
enum class Step : std::uint8_t {
    Decode,       ///< Reading the request.
    Authenticate, ///< Checking the token.
    Route,        ///< Finding the holder.
    Forward,      ///< Passing the request to the holder.
    Admit,        ///< Checking turn, class and load.
    Reserve,      ///< Reserving budget.
    Intent,       ///< Making the intent of a non-repeatable call durable.
    Place,        ///< Selecting the backend server.
    Dispatch,     ///< Sending the order to the gate.
    Queue,        ///< Waiting at the gate.
    Run,          ///< Running at the backend server.
    Resume,       ///< Continuing a stream over a new connection.
    Commit,       ///< Making the turn durable.
    Takeover,     ///< Loading a shard after a change of holder.
    Configure,    ///< Changing the configuration.
    End,          ///< Ending a program.
};

/** One error. Passed on by value until it reaches the caller. */
struct Error
{
    ErrorCode code = ErrorCode::Internal; ///< Kind of error.
    RunState run = RunState::NotRun;      ///< Whether the request was executed.
    Step step = Step::Decode;             ///< Processing step at which it arose.
    std::string peer;                     ///< Name of the process or server where it arose.
    std::string message;                  ///< Human-readable details; contains no secrets.
    std::optional<Duration> retryAfter;   ///< Delay after which the caller may retry, if a retry makes sense.
};

} // namespace Vanillahall
