/** State of an entry, changed only by the functions in src/commands/entry_*. */
#pragma once

#include "vanillahall/core/budget_ledger_base.h"
#include "vanillahall/core/entry_base.h"
#include "vanillahall/core/holder_directory_base.h"
#include "vanillahall/core/lease_monitor_base.h"
#include "vanillahall/core/program_registry_base.h"
#include "vanillahall/core/shard_log_base.h"
#include "vanillahall/core/store_budget_base.h"
#include "vanillahall/core/token_stream_merger_base.h"
#include "vanillahall/core/worker_registry_base.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall {

constexpr Duration SweepInterval = std::chrono::milliseconds(50);       ///< Interval of the periodic checks of time limits.
constexpr Duration RetryDelay = std::chrono::milliseconds(500);         ///< Retry-After for callers whose request was refused.
constexpr Duration StopRetryDelay = std::chrono::milliseconds(50);      ///< Retry-After during a planned stop; other entries are up.
constexpr Duration RouteRetryInterval = std::chrono::milliseconds(100); ///< Interval of attempts to route a request.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(250);     ///< Interval of attempts to connect to a gate.
constexpr Duration RecheckDelay = std::chrono::seconds(5); ///< A call without a message from its gate for this long is fetched again.
constexpr Duration RecentContactTimeout = std::chrono::seconds(10); ///< An entry that sent a request is sent heartbeats for this long.
constexpr std::chrono::minutes MaxTrustedIntentAge{20}; ///< A gate's statement that it never ran a call is not trusted for older intents.

/** Recipient of an answer: a caller of this entry, or another entry that forwarded a caller's request. */
struct Requester
{
    EntryName entry;   ///< The entry that forwarded the request; empty for a caller of this entry.
    RequestId request; ///< Number of the request at that entry.
    bool stream{};     ///< True if tokens are to be streamed.
};

// Requests of callers.

/** Where a caller's request is handled. */
enum class RoutePhase : std::uint8_t {
    Parked,    ///< Waiting until the holder is known and ready.
    Local,     ///< Handled by this entry.
    Forwarded, ///< Forwarded to `target`.
};

/** A caller's request that has not been answered yet. */
struct OpenRequest
{
    CustomerName customer;                 ///< The caller's customer.
    bool stream{};                         ///< True if tokens are to be streamed.
    CallerRequest body;                    ///< The request.
    std::uint64_t random{};                ///< Random number, used as the serial of a new program.
    RoutePhase phase = RoutePhase::Parked; ///< Where it is handled.
    EntryName target;                      ///< The entry that it was forwarded to.
    TimePoint since;                       ///< When the phase began.
    TimePoint nextTry;                     ///< Time of the next attempt to route it.
    TimePoint deadline;                    ///< When to stop routing and refuse it.
    bool mayHaveRun{};                     ///< True if an earlier holder received it and may have run it.
    TokenStreamMerger merger;              ///< Tokens that the caller has received.
};

// Live calls.

/** State of a call that hasn't ended. */
enum class CallPhase : std::uint8_t {
    Intending,    ///< Waiting until its intent is durable.
    Sending,      ///< Waiting for the connection to its gate.
    Ordered,      ///< The order was sent on the current connection.
    Reconnecting, ///< The connection was lost; the gate may have the order.
    Fetching,     ///< Its output was requested on a new connection.
};

/** A call that hasn't ended. */
struct LiveCall
{
    CallKey key;                          ///< Which call.
    ContentHash content;                  ///< Fingerprint of its content.
    CallInput input;                      ///< Its input.
    WallTime began;                       ///< When it was submitted.
    CallPhase phase = CallPhase::Sending; ///< State.
    TimePoint since;                      ///< When the phase began, or the gate last sent a message about it.
    ServerName server;                    ///< The gate that it is bound to.
    Incarnation incarnation;              ///< Incarnation of that gate that the attempt is bound to.
    Attempt attempt;                      ///< Newest attempt.
    std::uint32_t sendCount{};            ///< How often the order of this attempt was sent.
    std::uint32_t resendCount{};          ///< How often a refused order or fetch was repeated with a fresh fence.
    GateTime validUntil;                  ///< After this, on the gate's clock, none of the orders sent can be accepted any more.
    bool awaitExpiry{};                   ///< True if the next fetch has to wait until `validUntil` has passed.
    bool fetchedAfterExpiry{};            ///< True if the last fetch was sent after `validUntil`.
    bool started{};                       ///< True once it runs at the backend server.
    bool mayHaveRun{};                    ///< True if an earlier attempt may have run.
    bool hasIntent{};                     ///< True if the journal has an intent.
    bool recovered{};                     ///< True if it was recovered at a takeover and no caller has requested it since.
    std::optional<ErrorCode> cancelled;   ///< Why it is being cancelled.
    std::vector<std::string> pieces;      ///< Tokens received so far.
    std::vector<Requester> requesters;    ///< Recipients of the answer.
    std::set<ServerName> sentTo;          ///< Every gate that may have received the order.
    PlacementRequest placement;           ///< Requirements on its server.
    Duration expected{};                  ///< Expected time until it ends, when the server was chosen.
    TimePoint deadline;                   ///< When the time budget is exhausted.
};

/** A call that a gate reported as held when this entry took the shard over. */
struct RecoveredCall
{
    ServerName server;              ///< The gate.
    Attempt attempt;                ///< Which order.
    ContentHash content;            ///< Fingerprint of its content.
    std::optional<CallInput> input; ///< Its input, if the gate knows it.
    WallTime began;                 ///< When it was submitted.
};

// Shards.

/** Sends answers once a record is durable. */
struct AnswerWait
{
    std::vector<Requester> requesters; ///< Recipients.
    CallerAnswer answer;               ///< The answer.
    CallerAnswer timeoutAnswer;        ///< Sent instead if the record isn't durable by `deadline`.
    TimePoint deadline;                ///< When `timeoutAnswer` is sent.
};

/** Sends an order once its intent is durable. */
struct IntentWait
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
};

/** Settles a call at gates once its turn is durable, so that they can discard its result. */
struct TurnWait
{
    CallKey key;                    ///< Which call.
    std::vector<ServerName> sentTo; ///< Every gate that may hold a result.
    ServerName server;              ///< The gate that delivered the result.
    GateTime notBefore;             ///< `server` may discard the result after this; until then copies of the order are valid.
};

/** Releases engine memory once a program's end is durable. */
struct EndWait
{
    ProgramId program; ///< Which program.
};

using DurableAction = std::variant<AnswerWait, IntentWait, TurnWait, EndWait>;

/** An action to run once a record is durable. */
struct DurableWait
{
    RecordNumber record;  ///< The record.
    DurableAction action; ///< The action.
};

/** A shard that this entry holds or is claiming. */
struct HeldShard
{
    explicit HeldShard(ShardLog it)
        : log(std::move(it))
    {
    }

    ShardLog log;                                    ///< Lease and journal.
    ProgramRegistry programs;                        ///< Its programs.
    BudgetLedger ledger;                             ///< Their budgets.
    bool loaded{};                                   ///< True once its programs may be served.
    bool takenOver{};                                ///< True if it was taken over from another entry.
    std::deque<DurableWait> waits;                   ///< Pending actions, in the order of their records.
    std::map<CallKey, RecordNumber> undurable;       ///< Ended turns that aren't durable yet.
    std::map<CallKey, Attempt> lastAttempt;          ///< Newest attempt of turns that were refused and left no record.
    std::map<CallKey, RecoveredCall> recoveredCalls; ///< Calls that gates reported as held at the takeover.
    bool takeoverEndReported{};                      ///< True once the outcome of the takeover was reported to the lease monitor.
    std::set<ServerName> adoptedGates;               ///< Gates that have reported what they hold.
    TimePoint adoptionDeadline;                      ///< Until then new turns wait for gates that haven't reported yet.
};

/** Ended turns of a shard that was lost before they were durable. They are offered to the shard's next holder. */
struct UnstoredShard
{
    std::map<CallKey, TurnFinished> turns; ///< The turns; at least one.
    TimePoint nextOffer;                   ///< Time of the next offer.
    bool unanswered{};                     ///< True if the newest offer hasn't been answered.
    TimePoint deadline;                    ///< When to discard them.
};

// Gates.

/** State of the connection to a gate. */
enum class GateLinkPhase : std::uint8_t {
    Idle,    ///< No connection.
    Probing, ///< A Probe was sent; no GateStatus has been received yet.
    Ready,   ///< The gate's incarnation and clock are known.
};

/** Releases a program's engine memory. */
struct PendingEnd
{
    ProgramId program; ///< Which program.
};

/** Lets a gate discard a result. */
struct PendingSettle
{
    CallKey key;        ///< Which call.
    GateTime notBefore; ///< Not sent before the gate's clock has passed this.
};

/** Cancels an order whose turn was cancelled or ordered elsewhere since. */
struct PendingCancel
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
};

/** A command that is sent to a gate until its receipt is confirmed. */
struct PendingCommand
{
    std::variant<PendingEnd, PendingSettle, PendingCancel> body; ///< The command.
    std::optional<std::uint64_t> sentAfterProbe; ///< Number of the newest Probe when it was sent; nothing if it is still to be sent.
};

/** The connection to a gate. */
struct GateLink
{
    GateLinkPhase phase = GateLinkPhase::Idle;   ///< State.
    std::optional<Incarnation> incarnation;      ///< Incarnation of the gate as last reported.
    std::deque<Duration> clockOffsets;           ///< Gate's clock minus this entry's, last readings; never above the true difference.
    GateTime clock;                              ///< Lower bound of the gate's clock.
    TimePoint lastHeard;                         ///< When a message was last received.
    TimePoint lastProbe;                         ///< When the last Probe was sent.
    TimePoint nextTry;                           ///< Time of the next attempt to connect.
    std::optional<TimePoint> unreachableSince;   ///< Since when it has been unreachable; nothing if it is reachable.
    std::uint64_t sequence{};                    ///< Number of the newest Probe.
    std::optional<ConfigVersion> configSent;     ///< Configuration version sent on this connection.
    std::set<CallKey> calls;                     ///< Live calls bound to it.
    std::vector<PendingCommand> pendingCommands; ///< Commands that are not confirmed yet.
};

// Other entries.

/** What this entry knows of another one. */
struct PeerEntry
{
    std::string address;              ///< "ip:port"; empty if unknown.
    ZoneName zone;                    ///< Its availability zone.
    bool listed{};                    ///< True if the newest VM list names it.
    bool leaving{};                   ///< True if it is on a planned stop.
    std::optional<TimePoint> heardAt; ///< When a message was last received.
    std::optional<TimePoint> lostAt;  ///< When the connection was lost; nothing once a message has been received again.
    TimePoint heartbeatUntil;         ///< Heartbeats are sent to it until then.
};

// Requests to the store that belong to no held shard.

/** Reads the configuration. */
struct ConfigRead
{
};

/** Reads a shard's lease row. */
struct LeaseRead
{
    ShardId shard; ///< Which shard.
};

/** Reads a page of the scan for orphaned shards. */
struct OrphanScan
{
};

/** Removes rows of retired shards. */
struct RetiredRowRemoval
{
};

/** What a request to the store is for. */
using StoreRequestPurpose = std::variant<ConfigRead, LeaseRead, OrphanScan, RetiredRowRemoval>;

/** A planned stop. */
struct PlannedStop
{
    TimePoint since; ///< When it was requested.
    bool finished{}; ///< True once the process may exit.
};

/** State of an entry. */
struct EntryState
{
    explicit EntryState(EntrySettings it);

    EntrySettings settings;                                      ///< Identity and parameters.
    Now now;                                                     ///< Time of the current event.
    std::vector<EntryAction> actions;                            ///< Actions of the current event.
    bool started{};                                              ///< True after the first event.
    TimePoint nextSweep;                                         ///< Time of the next periodic checks.
    TimePoint nextHeartbeat;                                     ///< Time of the next heartbeats.
    TimePoint nextConfigRead;                                    ///< Time of the next read of the configuration.
    StoreRequestId nextStoreRequest;                             ///< Number of the next request to the store.
    bool configReadPending{};                                    ///< True while the configuration is being read.
    std::map<StoreRequestId, StoreRequestPurpose> storeRequests; ///< Pending requests to the store that belong to no held shard.
    std::uint64_t generatedSerials{};                            ///< Serial numbers generated so far.
    ShardId ownShard;                                            ///< The shard that new programs are created in.
    std::map<ShardId, HeldShard> shards;                         ///< Shards held or being claimed.
    std::map<ShardId, UnstoredShard> unstored;                   ///< Turns of lost shards that aren't durable.
    std::unordered_map<CallKey, LiveCall> calls;                 ///< Calls that haven't ended.
    std::map<RequestId, OpenRequest> requests;                   ///< Callers' requests that haven't been answered yet.
    std::map<ServerName, GateLink> gates;                        ///< Connections to gates.
    std::map<EntryName, PeerEntry> peers;                        ///< Other entries.
    std::optional<ConfigRow> config;                             ///< Configuration in force; nothing before the first read.
    WorkerRegistry workers;                                      ///< Backend servers.
    HolderDirectory directory;                                   ///< Holders of other shards.
    LeaseMonitor leaseMonitor;                                   ///< Leases of others.
    StoreBudget storeBudget;                                     ///< This entry's share of the store's request rate.
    std::optional<PlannedStop> stop;                             ///< Set on a planned stop.
};

// Helpers shared by the commands.

/** Appends an action of the current event. */
template<typename Action>
void addAction(EntryState &entry, Action action)
{
    entry.actions.emplace_back(std::move(action));
}

/** @return Target of a class; nothing if the class is unknown. */
std::optional<std::chrono::milliseconds> classTarget(const EntryState &entry, const ClassName &name);

/** @return The shard, if it is held or lapsed, loaded and not being handed over; else null. */
HeldShard *servingShard(EntryState &entry, ShardId shard);

/** @return The live call, or null. */
LiveCall *findCall(EntryState &entry, const CallKey &key);

/** @return An error of this entry for a request that was not executed. */
Error refusal(const EntryState &entry, ErrorCode code, Step step, std::string message, std::optional<Duration> retryAfter = std::nullopt);

/** Writes a log line. */
void logLine(EntryState &entry, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string peer, std::string text);

} // namespace Vanillahall
