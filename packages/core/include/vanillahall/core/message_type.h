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

/** Proof that an order comes from the present holder. The gate checks every part by its own knowledge. */
struct Fence
{
    ShardId shard;           ///< The shard that the order acts for.
    Epoch epoch;             ///< The holder's fencing number.
    Incarnation incarnation; ///< The run of the gate that the order is meant for.
    GateTime validUntil;     ///< On the gate's clock; an order that arrives later is refused.
};

/** How urgent a waiting call is, from what its whole program still needs. */
struct Urgency
{
    WallTime deadline;     ///< When the program misses its class target.
    Duration remaining{};  ///< Expected work left in the whole program, this call included.
    bool hasTarget = true; ///< False if the class has no target.
};

/** A model call with the whole history before it. */
struct ModelCall
{
    ModelName model;                   ///< Which model.
    std::vector<std::string> messages; ///< One JSON object a message, earlier turns first.
    std::uint32_t promptTokens{};      ///< Estimated tokens of `messages`.
    std::uint32_t maxTokens{};         ///< Upper bound on generated tokens.
};

using CallBody = std::variant<ModelCall, ServiceCall>;

// Entry to gate.

/** Asks the gate to run a call once. Sent again, it attaches to the first run. */
struct RunCall
{
    CallKey key;                 ///< Which call.
    Attempt attempt;             ///< Grows with each new order for the same turn.
    Fence fence;                 ///< Proof of holding.
    CustomerName customer;       ///< For fair sharing.
    ClassName className;         ///< For the learnt order.
    ContentHash content;         ///< Fingerprint of the content.
    Urgency urgency;             ///< For the order of waiting calls.
    Duration timeLimit{};        ///< Longest time from start at the backend server to the end.
    CallBody body;               ///< What to run.
    std::uint32_t newMessages{}; ///< How many messages at the end of a model call are this turn's own input.
    WallTime began;              ///< When the turn was submitted.
};

/** Asks for a call's output from a token on, without running anything. */
struct FetchCall
{
    CallKey key;               ///< Which call.
    Attempt attempt;           ///< Which order.
    Fence fence;               ///< Proof of holding.
    std::uint32_t fromToken{}; ///< First token wanted; 0 is the start.
};

/** Cancels a call that waits or runs. */
struct CancelCall
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
    Fence fence;     ///< Proof of holding.
};

/** The named calls are durable; the gate may forget their results. */
struct SettleCalls
{
    Fence fence;               ///< Proof of holding.
    std::vector<CallKey> keys; ///< The durable calls.
};

/** The program has ended: cancel its calls, release its engine memory, forget its results. */
struct EndProgram
{
    ProgramId program; ///< Which program.
    Fence fence;       ///< Proof of holding.
};

/** A new holder asks what the gate keeps for a shard. Raises the gate's fencing number of it. */
struct AdoptShard
{
    Fence fence; ///< Proof of holding, with the new epoch.
};

/** Greeting and clock reading; the gate answers with GateStatus. Sent on connect and as a heartbeat. */
struct Probe
{
    std::uint64_t sequence{}; ///< Comes back in GateStatus.
};

/** The configuration in force. The gate keeps the one with the highest version. */
struct ConfigUpdate
{
    ConfigRow config; ///< Classes and declared servers.
};

// Gate to entry.

/** The call has begun at the backend server. */
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

/** The call has ended; the gate keeps the outcome until it is settled. */
struct CallFinished
{
    CallKey key;         ///< Which call.
    Attempt attempt;     ///< Which order.
    CallOutcome outcome; ///< What it gave.
};

/** The order was not accepted, or the fetched call is not known. Nothing ran by this order. */
struct CallRefused
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
    Error error;     ///< Why; its `run` tells whether an earlier order of the same call may have run.
};

/** State of a call that a gate keeps. */
enum class HeldState : std::uint8_t {
    Waiting,  ///< In the gate's queue.
    Running,  ///< At the backend server.
    Finished, ///< Ended, not yet settled.
};

/** One call that a gate keeps for a shard. */
struct HeldCall
{
    CallKey key;                          ///< Which call.
    Attempt attempt;                      ///< Which order.
    ContentHash content;                  ///< Fingerprint of its content.
    HeldState state = HeldState::Waiting; ///< How far it is.
    std::optional<CallInput> input;       ///< The turn's own input, from its order; lets the next holder record the turn.
    WallTime began;                       ///< When the turn was submitted.
};

/** Answer to AdoptShard. */
struct ShardAdopted
{
    ShardId shard;                   ///< Which shard.
    Epoch epoch;                     ///< The epoch now in force at the gate.
    std::vector<HeldCall> calls;     ///< Calls that the gate keeps.
    std::vector<ProgramId> programs; ///< Programs for which engine memory is held.
};

/** Programs of a shard for which engine memory is held; the holder answers EndProgram for those that have ended. */
struct PinnedPrograms
{
    ShardId shard;                   ///< Which shard.
    std::vector<ProgramId> programs; ///< The programs.
};

/** What a gate fronts. */
enum class PoolKind : std::uint8_t {
    Model,   ///< A model engine.
    Service, ///< A plain service.
};

/** Load and health of a gate and its backend server, seen by the gate. */
struct GateStatus
{
    std::uint64_t sequence{};        ///< Of the Probe that this answers; 0 if sent unasked.
    ServerName server;               ///< The backend server.
    ZoneName zone;                   ///< Where it is.
    Incarnation incarnation;         ///< This run of the gate.
    GateTime clock;                  ///< The gate's clock when this was written.
    PoolKind kind = PoolKind::Model; ///< What it fronts.
    std::vector<ModelName> models;   ///< Models that the engine serves.
    ServiceName service;             ///< The plain service, if it fronts one.
    ConfigVersion config;            ///< Configuration version known to the gate.
    bool leaving{};                  ///< True if it accepts no new work.
    bool serverUp{};                 ///< True if the backend server answers.
    std::uint32_t waiting{};         ///< Calls in the queue.
    std::uint32_t running{};         ///< Calls at the backend server.
    std::uint32_t slots{};           ///< Calls that the backend server runs at once.
    Duration expectedWait{};         ///< Expected queue time of a call of middle urgency.
    Duration tokenInterval{};        ///< Present time between tokens of a stream.
    Duration prefillPerToken{};      ///< Observed prefill time per uncached prompt token.
    std::uint64_t cacheTokens{};     ///< Tokens held in the prefix cache.
    std::uint64_t cacheCapacity{};   ///< Tokens that fit into it.
};

// Entry to entry.

/** A caller's request passed on to the program's holder. */
struct ForwardRequest
{
    RequestId request;     ///< Chosen by the sender; unique on its link.
    CustomerName customer; ///< Who asks; the sender has authenticated them.
    bool stream{};         ///< True if tokens are wanted as they come.
    CallerRequest body;    ///< What is asked.
};

/** The caller that waited for a forwarded request has gone. */
struct ForwardCancel
{
    RequestId request; ///< The request.
};

/** Part of the answer to a forwarded request. */
struct ForwardTokens
{
    RequestId request;               ///< The request.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** End of the answer to a forwarded request. */
struct ForwardAnswer
{
    RequestId request; ///< The request.
    CallerAnswer body; ///< The answer.
};

/** A holder that can't reach the store asks a named successor not to take the shard over for a while. */
struct PromiseRequest
{
    ShardId shard;            ///< The shard.
    Epoch epoch;              ///< The holder's epoch.
    std::uint64_t sequence{}; ///< Comes back in the answer.
};

/** A successor's answer. Granted only by one that can't reach the store either. */
struct PromiseAnswer
{
    ShardId shard;            ///< The shard.
    Epoch epoch;              ///< The epoch asked for.
    std::uint64_t sequence{}; ///< Of the request.
    bool granted{};           ///< True if the successor won't take over within the lease time from when it received the request.
};

/** Lease of one shard, as its holder last renewed it. */
struct HeldLease
{
    ShardId shard;                     ///< The shard.
    Epoch epoch;                       ///< The holder's epoch.
    RowVersion version;                ///< Version of the lease row after the last renewal.
    std::vector<EntryName> successors; ///< Who may take over as soon as the lease lapses.
};

/** What an entry tells its successors and neighbours: that it lives, what it holds, which configuration it follows. */
struct EntryStatus
{
    EntryName entry;               ///< The sender.
    ZoneName zone;                 ///< Where it is.
    Incarnation incarnation;       ///< This run of it.
    ConfigVersion config;          ///< Configuration version in force at it.
    bool leaving{};                ///< True on a planned stop.
    std::vector<HeldLease> leases; ///< Shards that it holds.
};

/** Ended turns of a shard that the sender lost before the store had them, for the shard's next holder. Sent again until all are kept. */
struct UnstoredTurns
{
    ShardId shard;                   ///< The shard.
    std::vector<TurnFinished> turns; ///< In the order of their keys.
};

/** The store has these turns, or the next holder has decided them otherwise: the earlier holder may forget them. */
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

/** Anything that travels on a link between two processes of the system. */
using LinkMessage = std::variant<EntryToGate, GateToEntry, EntryToEntry>;

} // namespace Vanillahall
