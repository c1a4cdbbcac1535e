/** Requests of callers and the answers to them. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

/** Upper bounds on what a program may spend; shared by its sub-agents. */
struct Budget
{
    std::uint64_t tokens{};           ///< Prompt tokens and generated tokens together.
    std::uint32_t calls{};            ///< Calls of any kind.
    std::chrono::milliseconds time{}; ///< Calendar time since the root program began.
};

/** New input of a model turn; the prompt is the program's history followed by it. */
struct ModelInput
{
    ModelName model;                   ///< Which model.
    std::vector<std::string> messages; ///< New messages only, each one JSON object.
    std::uint32_t maxTokens{};         ///< Upper bound on generated tokens.
};

/** A call of a plain service. */
struct ServiceCall
{
    ServiceName service;   ///< Which service.
    std::string operation; ///< Path of the operation below the service's base path.
    std::string body;      ///< JSON body.
    bool repeatable{};     ///< False if it must run at most once.
};

using CallInput = std::variant<ModelInput, ServiceCall>;

/** Result of a finished call. */
struct CallResult
{
    std::uint32_t status{};           ///< HTTP status of the backend server.
    std::string body;                 ///< Generated text of a model call, or the JSON body of a service call.
    std::string finishReason;         ///< Why a model stopped generating; empty for services.
    std::uint32_t promptTokens{};     ///< Tokens of the prompt, as counted by the engine.
    std::uint32_t cachedTokens{};     ///< Prompt tokens found in the engine's prefix cache.
    std::uint32_t completionTokens{}; ///< Generated tokens.
    Duration waited{};                ///< Time in the gate's queue.
    Duration prefill{};               ///< Time until the first token.
    Duration decode{};                ///< Time from first to last token.
};

using CallOutcome = std::variant<CallResult, Error>;

// Commands.

/** Creates a program. */
struct CreateProgram
{
    ClassName className;             ///< Its class; ignored for a sub-agent, which has its parent's.
    Budget budget;                   ///< Ignored for a sub-agent.
    std::optional<ProgramId> parent; ///< Set for a sub-agent.
    ContentHash idempotencyKey;      ///< Fingerprint of the caller's key; zero if none was given.
};

/** Submits a turn. A repeated submission with equal content returns the answer of the first run. */
struct SubmitCall
{
    CallKey key;         ///< Which turn.
    CallInput input;     ///< Input of the call.
    ContentHash content; ///< Fingerprint of `input`.
};

/** Ends a program and its sub-agents. Idempotent. */
struct EndCommand
{
    ProgramId program; ///< Which program.
};

/** Settles a non-repeatable call whose outcome is unknown, on an operator's finding. */
struct SettleOutcome
{
    CallKey key;              ///< Which call.
    bool ran{};               ///< True if the operator found that the call ran.
    std::string operatorName; ///< Who settles it.
};

// Queries.

/** Returns a turn's state and answer. */
struct TurnQuery
{
    CallKey key; ///< Which turn.
};

/** Returns a program's state. */
struct ProgramQuery
{
    ProgramId program; ///< Which program.
};

/** Returns all turns of a program. */
struct HistoryQuery
{
    ProgramId program; ///< Which program.
};

using CallerRequest = std::variant<CreateProgram, SubmitCall, EndCommand, TurnQuery, ProgramQuery, HistoryQuery, SettleOutcome>;

// Answers.

/** The program exists and is durable. */
struct ProgramAccepted
{
    ProgramId program; ///< Its name.
};

/** State of a turn. */
enum class TurnState : std::uint8_t {
    Reserving, ///< Accepted and budget reserved; the order hasn't been sent.
    Ordered,   ///< Sent to a gate.
    Running,   ///< Runs at a backend server.
    Finished,  ///< Ended with a result or a final error.
};

/** A turn as callers and operators see it. */
struct TurnView
{
    CallKey key;                            ///< Which turn.
    TurnState state = TurnState::Reserving; ///< State.
    CallInput input;                        ///< Input of the call.
    std::optional<CallOutcome> outcome;     ///< Set once it has ended.
    ServerName server;                      ///< Server where it runs or ran; empty before the order.
    Attempt attempt;                        ///< Newest attempt.
    WallTime began;                         ///< When it was submitted.
    WallTime ended;                         ///< When it ended; unset before.
    bool durable{};                         ///< True once the store has the outcome.
};

/** A program as callers and operators see it. */
struct ProgramView
{
    ProgramId program;     ///< Which program.
    ProgramId parent;      ///< Its parent; equal to `program` for a root.
    CustomerName customer; ///< Who owns it.
    ClassName className;   ///< Its class.
    Budget budget;         ///< Budget of the root.
    Budget spent;          ///< Spent by the root and all its sub-agents, reservations included.
    WallTime began;        ///< When the root was created.
    WallTime deadline;     ///< After this its target is missed.
    bool ended{};          ///< True once it has ended.
    Turn lastTurn;         ///< Newest turn; 0 if none.
    EntryName holder;      ///< Which entry holds it.
};

/** A program's history. */
struct HistoryView
{
    ProgramId program;           ///< Which program.
    std::vector<TurnView> turns; ///< All turns, in order.
};

/** The program has ended; its engine memory is being released. */
struct ProgramEndAccepted
{
    ProgramId program; ///< Which program.
};

/** The settled outcome is durable. */
struct OutcomeAccepted
{
    CallKey key; ///< The settled call.
};

/** Outcome of a turn, for the caller that submitted it. */
struct CallAnswered
{
    CallKey key;         ///< Which turn.
    CallInput input;     ///< Input of the call.
    CallOutcome outcome; ///< Its outcome.
    ServerName server;   ///< Server where it ran.
    Attempt attempt;     ///< Attempt that produced the outcome.
    bool replayed{};     ///< True if the turn had been submitted before.
};

using CallerAnswer
    = std::variant<ProgramAccepted, CallAnswered, ProgramEndAccepted, TurnView, ProgramView, HistoryView, OutcomeAccepted, Error>;

} // namespace Vanillahall
