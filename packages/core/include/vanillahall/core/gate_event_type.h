/** Events that a gate handles and actions that it returns. */
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

/** A message from an entry was received. */
struct OrderReceived
{
    LinkId link;         ///< On which connection.
    EntryToGate message; ///< The message.
};

/** A connection from an entry was lost. */
struct LinkLost
{
    LinkId link; ///< Which connection.
};

/** The backend server has started a call. */
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

/** A call at the backend server has ended with a result. */
struct ServerCallFinished
{
    ServerCallId call; ///< Which call.
    CallResult result; ///< Its result; the gate fills in `waited`.
};

/** How a call at the backend server failed. */
enum class ServerFailure : std::uint8_t {
    NotSent,   ///< No connection could be made, so the call did not run.
    Refused,   ///< The server replied that it did not run the call.
    Broken,    ///< The connection broke after the call was sent.
    Silent,    ///< No progress within the time limit.
    Unreadable ///< The response can't be decoded.
};

/** A call at the backend server failed. */
struct ServerCallFailed
{
    ServerCallId call;                              ///< Which call.
    ServerFailure failure = ServerFailure::NotSent; ///< Kind of failure.
    std::string message;                            ///< Human-readable description.
};

/** Load report of the backend server, or the lack of a response. Lags behind the server's state. */
struct ServerLoad
{
    bool up{};                     ///< True if it responded.
    std::uint32_t running{};       ///< Calls in its batch.
    std::uint32_t slots{};         ///< Calls that it can run concurrently.
    std::uint64_t cacheTokens{};   ///< Tokens in its prefix cache.
    std::uint64_t cacheCapacity{}; ///< Capacity of its prefix cache in tokens.
    std::vector<ModelName> models; ///< Models that it serves.
    std::uint64_t serverRun{};     ///< Identifies the server's run; changes when it restarts.
};

/** Result of FreeMemory. */
struct MemoryFreed
{
    ProgramId program; ///< Which program.
    bool done{};       ///< False if the engine did not confirm; the gate retries.
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
    CallKey key;             ///< Program and turn; the engine pins its cache under the program's ID.
    CallBody body;           ///< What to run.
    std::int32_t priority{}; ///< For the engine; larger is more urgent.
    Duration timeLimit{};    ///< Maximum run time.
};

/** Resume a stream over a new connection after the old one went silent or broke. */
struct ResumeServerCall
{
    ServerCallId call;         ///< Which call.
    std::uint32_t fromToken{}; ///< First token not yet received.
};

/** Cancel a call at the backend server. */
struct CancelServerCall
{
    ServerCallId call; ///< Which call.
};

/** Release the engine memory of a program. MemoryFreed reports the result. */
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
