/** Messages between the processes of the system: entry to gate, gate to entry, entry to entry. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/config_type.h"
#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/store_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

/** Proof that an order comes from the current holder. The gate checks every field against its own state. */
struct Fence
{
    ShardId shard;           ///< The shard that the order acts for.
    Epoch epoch;             ///< The holder's fencing number.
    Incarnation incarnation; ///< The run of the gate that the order is meant for.
    GateTime validUntil;     ///< On the gate's clock; an order that arrives later is refused.
};

/** Urgency of a waiting call, from the remaining work of its whole program. */
struct Urgency
{
    WallTime deadline;     ///< When the program misses its class target.
    Duration remaining{};  ///< Expected remaining work of the whole program, including this call.
    bool hasTarget = true; ///< False if the class has no target.
};

/** A model call with the whole conversation history. */
struct ModelCall
{
    ModelName model;                   ///< Which model.
    std::vector<std::string> messages; ///< One JSON object per message, earlier turns first.
    std::uint32_t promptTokens{};      ///< Estimated tokens of `messages`.
    std::uint32_t maxTokens{};         ///< Upper bound on generated tokens.
};

using CallBody = std::variant<ModelCall, ServiceCall>;

// Entry to gate.

/** Orders the gate to run a call once. A repeated order attaches to the first run. */
struct RunCall
{
    CallKey key;                 ///< Which call.
    Attempt attempt;             ///< Increases with each new order for the same turn.
    Fence fence;                 ///< Proof that the sender holds the shard.
    CustomerName customer;       ///< For fair sharing.
    ClassName className;         ///< For statistics by class.
    ContentHash content;         ///< Fingerprint of the content.
    Urgency urgency;             ///< Determines the position in the wait queue.
    Duration timeLimit{};        ///< Maximum time from the start at the backend server to the end.
    CallBody body;               ///< What to run.
    std::uint32_t newMessages{}; ///< How many messages at the end of a model call are this turn's own input.
    WallTime began;              ///< When the turn was submitted.
};

/** Requests a call's output from a token on, without running anything. */
struct FetchCall
{
    CallKey key;               ///< Which call.
    Attempt attempt;           ///< Which order.
    Fence fence;               ///< Proof that the sender holds the shard.
    std::uint32_t fromToken{}; ///< First token to send; 0 is the start.
};

/** Cancels a call that waits or runs. */
struct CancelCall
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
    Fence fence;     ///< Proof that the sender holds the shard.
};

/** Confirms that calls are durable; the gate may discard their results. */
struct SettleCalls
{
    Fence fence;               ///< Proof that the sender holds the shard.
    std::vector<CallKey> keys; ///< The durable calls.
};

/** Ends a program: the gate cancels its calls, releases its engine memory and discards its results. */
struct EndProgram
{
    ProgramId program; ///< Which program.
    Fence fence;       ///< Proof that the sender holds the shard.
};

/** Requests what the gate retains for a shard, as its new holder. Raises the gate's epoch of the shard. */
struct AdoptShard
{
    Fence fence; ///< Proof that the sender holds the shard, with the new epoch.
};

/** Requests a GateStatus, which also reads the gate's clock. Sent on connect and as a heartbeat. */
struct Probe
{
    std::uint64_t sequence{}; ///< Echoed in GateStatus.
};

/** The current configuration. The gate retains the one with the highest version. */
struct ConfigUpdate
{
    ConfigRow config; ///< Classes and declared servers.
};

// Gate to entry.

/** The call has started at the backend server. */
struct CallStarted
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
};

/** Generated text. */
struct CallTokens
{
    CallKey key;                     ///< Which call.
    Attempt attempt;                 ///< Which order.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token, in order.
};

/** The call has ended; the gate retains the outcome until it is settled. */
struct CallFinished
{
    CallKey key;         ///< Which call.
    Attempt attempt;     ///< Which order.
    CallOutcome outcome; ///< Result or error.
};

/** The order was not accepted, or the requested call is not known. This order ran nothing. */
struct CallRefused
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
    Error error;     ///< Reason; its `run` says whether an earlier order of the same call may have run.
};

/** State of a call that a gate retains. */
enum class HeldState : std::uint8_t {
    Waiting,  ///< In the gate's queue.
    Running,  ///< At the backend server.
    Finished, ///< Ended, not yet settled.
};

/** A call that a gate retains for a shard. */
struct HeldCall
{
    CallKey key;                          ///< Which call.
    Attempt attempt;                      ///< Which order.
    ContentHash content;                  ///< Fingerprint of its content.
    HeldState state = HeldState::Waiting; ///< Current state.
    std::optional<CallInput> input;       ///< The turn's own input, from its order; lets the next holder record the turn.
    WallTime began;                       ///< When the turn was submitted.
};

/** Reply to AdoptShard. */
struct ShardAdopted
{
    ShardId shard;                   ///< Which shard.
    Epoch epoch;                     ///< The gate's current epoch of the shard.
    std::vector<HeldCall> calls;     ///< Calls that the gate retains.
    std::vector<ProgramId> programs; ///< Programs for which engine memory is held.
};

/** Programs of a shard for which engine memory is held; the holder sends EndProgram for those that have ended. */
struct PinnedPrograms
{
    ShardId shard;                   ///< Which shard.
    std::vector<ProgramId> programs; ///< The programs.
};

/** Kind of backend server behind a gate. */
enum class PoolKind : std::uint8_t {
    Model,   ///< A model engine.
    Service, ///< A plain service.
};

/** Load and health of a gate and its backend server, as seen by the gate. */
struct GateStatus
{
    std::uint64_t sequence{};        ///< Sequence number of the Probe that this responds to; 0 if unsolicited.
    ServerName server;               ///< The backend server.
    ZoneName zone;                   ///< Its availability zone.
    Incarnation incarnation;         ///< This run of the gate.
    GateTime clock;                  ///< Reading of the gate's clock when this was sent.
    PoolKind kind = PoolKind::Model; ///< Kind of backend server.
    std::vector<ModelName> models;   ///< Models that the engine serves.
    ServiceName service;             ///< Name of the plain service, if it is one.
    ConfigVersion config;            ///< Configuration version known to the gate.
    bool leaving{};                  ///< True if it accepts no new work.
    bool serverUp{};                 ///< True if the backend server responds.
    std::uint32_t waiting{};         ///< Calls in the queue.
    std::uint32_t running{};         ///< Calls at the backend server.
    std::uint32_t slots{};           ///< Calls that the backend server can run concurrently.
    Duration expectedWait{};         ///< Expected queue time of a call of medium urgency.
    Duration tokenInterval{};        ///< Observed time between tokens of a stream.
    Duration prefillPerToken{};      ///< Observed prefill time per uncached prompt token.
    std::uint64_t cacheTokens{};     ///< Tokens held in the prefix cache.
    std::uint64_t cacheCapacity{};   ///< Capacity of the prefix cache in tokens.
};

// Entry to entry.

/** A caller's request, forwarded to the program's holder. */
struct ForwardRequest
{
    RequestId request;     ///< Chosen by the sender; unique on its link.
    CustomerName customer; ///< The caller, as authenticated by the sender.
    bool stream{};         ///< True if tokens are to be streamed.
    CallerRequest body;    ///< The request.
};

/** The caller of a forwarded request has disconnected. */
struct ForwardCancel
{
    RequestId request; ///< The request.
};

/** Part of the response to a forwarded request. */
struct ForwardTokens
{
    RequestId request;               ///< The request.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** End of the response to a forwarded request. */
struct ForwardAnswer
{
    RequestId request; ///< The request.
    CallerAnswer body; ///< The response.
};

/** Asks a named successor not to take over the shard for a while. Sent by a holder that can't reach the store. */
struct PromiseRequest
{
    ShardId shard;            ///< The shard.
    Epoch epoch;              ///< The holder's epoch.
    std::uint64_t sequence{}; ///< Echoed in the reply.
};

/** A successor's reply. Grants the promise only if the successor can't reach the store either. */
struct PromiseAnswer
{
    ShardId shard;            ///< The shard.
    Epoch epoch;              ///< Epoch of the request.
    std::uint64_t sequence{}; ///< Sequence number of the request.
    bool granted{};           ///< True if the successor won't take over within the lease time from when it received the request.
};

/** Lease of one shard, as its holder last renewed it. */
struct HeldLease
{
    ShardId shard;                     ///< The shard.
    Epoch epoch;                       ///< The holder's epoch.
    RowVersion version;                ///< Version of the lease row after the last renewal.
    std::vector<EntryName> successors; ///< Entries that may take over as soon as the lease expires.
};

/** Heartbeat of an entry to its successors and neighbours, with its leases and its configuration version. */
struct EntryStatus
{
    EntryName entry;               ///< The sender.
    ZoneName zone;                 ///< Its availability zone.
    Incarnation incarnation;       ///< This run of it.
    ConfigVersion config;          ///< Its current configuration version.
    bool leaving{};                ///< True on a planned stop.
    std::vector<HeldLease> leases; ///< Shards that it holds.
};

/** Finished turns of a shard that the sender lost before they were in the store. Sent to the next holder until TurnsKept confirms all. */
struct UnstoredTurns
{
    ShardId shard;                   ///< The shard.
    std::vector<TurnFinished> turns; ///< In the order of their keys.
};

/** Confirms that turns are in the store, or that the next holder has no use for their outcomes. The earlier holder may discard them. */
struct TurnsKept
{
    ShardId shard;              ///< The shard.
    std::vector<CallKey> turns; ///< The turns.
};

using EntryToGate = std::variant<RunCall, FetchCall, CancelCall, SettleCalls, EndProgram, AdoptShard, ConfigUpdate, Probe>;
using GateToEntry = std::variant<CallStarted, CallTokens, CallFinished, CallRefused, ShardAdopted, PinnedPrograms, GateStatus>;
using EntryToEntry = std::variant<ForwardRequest,
                                  ForwardCancel,
                                  ForwardTokens,
                                  ForwardAnswer,
                                  PromiseRequest,
                                  PromiseAnswer,
                                  EntryStatus,
                                  UnstoredTurns,
                                  TurnsKept>;

/** Any message on a link between two processes of the system. */
using LinkMessage = std::variant<EntryToGate, GateToEntry, EntryToEntry>;

} // namespace Vanillahall
