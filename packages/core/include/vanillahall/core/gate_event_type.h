/** What a gate is told, and what it asks to be done. */
#pragma once

#include "vanillahall/core/log_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/core/process_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

using LinkId = Number<struct LinkTag>;             ///< One connection from an entry to this gate.
using ServerCallId = Number<struct ServerCallTag>; ///< One call at the backend server, unique within the gate's run.

// Events.

/** An entry sent a message. */
struct OrderReceived
{
    LinkId link;         ///< On which connection.
    EntryToGate message; ///< What it sent.
};

/** A connection from an entry is lost. */
struct LinkLost
{
    LinkId link; ///< Which connection.
};

/** The backend server has begun a call. */
struct ServerCallStarted
{
    ServerCallId call; ///< Which call.
};

/** The engine generated tokens. */
struct ServerTokensReceived
{
    ServerCallId call;               ///< Which call.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** A call at the backend server has ended with an answer. */
struct ServerCallFinished
{
    ServerCallId call; ///< Which call.
    CallResult result; ///< What it gave; `waited` is filled in by the gate.
};

/** How a call at the backend server failed. */
enum class ServerFailure : std::uint8_t {
    NotSent,   ///< No connection was made; the call certainly did not run.
    Refused,   ///< The server answered that it did not run the call.
    Broken,    ///< The connection broke after the call was sent.
    Silent,    ///< No progress within the time limit.
    Unreadable ///< The answer can't be decoded.
};

/** A call at the backend server failed. */
struct ServerCallFailed
{
    ServerCallId call;                              ///< Which call.
    ServerFailure failure = ServerFailure::NotSent; ///< How.
    std::string message;                            ///< For a person.
};

/** The backend server reported its load, or did not answer. Comes with a lag. */
struct ServerLoad
{
    bool up{};                     ///< True if it answered.
    std::uint32_t running{};       ///< Calls in its batch.
    std::uint32_t slots{};         ///< Calls that it runs at once.
    std::uint64_t cacheTokens{};   ///< Tokens in its prefix cache.
    std::uint64_t cacheCapacity{}; ///< Tokens that fit.
    std::vector<ModelName> models; ///< Models that it serves.
    std::uint64_t serverRun{};     ///< Number of the server's run; changes when it restarts.
};

/** Engine memory of a program was released. */
struct MemoryFreed
{
    ProgramId program; ///< Which program.
    bool done{};       ///< False if the engine didn't answer; the gate asks again.
};

using GateEvent = std::variant<OrderReceived,
                               LinkLost,
                               ServerCallStarted,
                               ServerTokensReceived,
                               ServerCallFinished,
                               ServerCallFailed,
                               ServerLoad,
                               MemoryFreed,
                               StopRequested,
                               Tick>;

// Actions.

/** Send a message to an entry. */
struct SendToLink
{
    LinkId link;         ///< On which connection.
    GateToEntry message; ///< What to send.
};

/** Start a call at the backend server. Ends with ServerCallFinished or ServerCallFailed. */
struct StartServerCall
{
    ServerCallId call;       ///< Which call.
    CallKey key;             ///< Program and turn; the engine's cache is pinned in the program's name.
    CallBody body;           ///< What to run.
    std::int32_t priority{}; ///< For the engine; larger is more urgent.
    Duration timeLimit{};    ///< Longest time until the end.
};

/** Continue a stream over a new connection after the old one went silent or broke. */
struct ResumeServerCall
{
    ServerCallId call;         ///< Which call.
    std::uint32_t fromToken{}; ///< First token not yet seen.
};

/** Cancel a call at the backend server. */
struct CancelServerCall
{
    ServerCallId call; ///< Which call.
};

/** Release the engine memory of a program. Answered by MemoryFreed. */
struct FreeMemory
{
    ProgramId program; ///< Which program.
};

/** Release all engine memory that an earlier run of this gate pinned. */
struct FreeAllMemory
{
};

using GateAction
    = std::variant<SendToLink, StartServerCall, ResumeServerCall, CancelServerCall, FreeMemory, FreeAllMemory, WriteLog, StopFinished>;

} // namespace Vanillahall
