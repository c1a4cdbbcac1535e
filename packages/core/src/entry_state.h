/** What an entry keeps. Changed by the functions in src/commands/entry_*. */
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

constexpr Duration SweepInterval = std::chrono::milliseconds(50);   ///< Time between two looks at everything that has a time limit.
constexpr Duration RetryDelay = std::chrono::milliseconds(500);     ///< Told to callers that shall come back.
constexpr Duration StopRetryDelay = std::chrono::milliseconds(50);  ///< Told to callers of a stopping entry; others are up.
constexpr Duration RouteDelay = std::chrono::milliseconds(100);     ///< Time between two tries to route a request.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(250); ///< Time between two tries to connect to a gate.
constexpr Duration RecheckDelay = std::chrono::seconds(5);          ///< A call without news for this long is asked for again.
constexpr Duration TalkTime = std::chrono::seconds(10);             ///< An entry that talked with this one gets heartbeats this long.
constexpr std::chrono::minutes IntentTrust{20};                     ///< A gate's word that it never ran an older intent isn't taken.

/** Who waits for an answer: a caller of this entry, or another entry in a caller's name. */
struct Requester
{
    EntryName entry;   ///< The entry that passed the request on; empty for a caller of this entry.
    RequestId request; ///< Number of the request at that entry.
    bool stream{};     ///< True if tokens are wanted as they come.
};

// Requests of callers.

/** Where a caller's request is dealt with. */
enum class RoutePhase : std::uint8_t {
    Parked,    ///< Waits until the holder is known and ready.
    Here,      ///< This entry deals with it.
    Forwarded, ///< Passed on to `target`.
};

/** A caller's request without a final answer. */
struct OpenRequest
{
    CustomerName customer;                 ///< Who asks.
    bool stream{};                         ///< True if tokens are wanted as they come.
    CallerRequest body;                    ///< What is asked.
    std::uint64_t random{};                ///< Serial of a new program.
    RoutePhase phase = RoutePhase::Parked; ///< Where it is dealt with.
    EntryName target;                      ///< Whom it was passed on to.
    TimePoint since;                       ///< When the phase began.
    TimePoint nextTry;                     ///< When to route it again.
    TimePoint giveUp;                      ///< When to stop trying.
    bool passedOn{};                       ///< True if a holder has had it.
    TokenStreamMerger merger;              ///< What the caller has had.
};

// Calls under way.

/** How far a call is. */
enum class CallPhase : std::uint8_t {
    Intending,    ///< Its intent waits to be durable.
    Sending,      ///< Waits for the connection to its gate.
    Ordered,      ///< The order was sent on the present connection.
    Reconnecting, ///< The connection was lost; the gate may have it.
    Fetching,     ///< Its output is asked for on a new connection.
};

/** A call that hasn't ended. */
struct LiveCall
{
    CallKey key;                          ///< Which call.
    ContentHash content;                  ///< Fingerprint of its content.
    CallInput input;                      ///< What was asked.
    WallTime began;                       ///< When it was submitted.
    CallPhase phase = CallPhase::Sending; ///< How far it is.
    TimePoint since;                      ///< When the phase began, or the gate last said something about it.
    ServerName server;                    ///< The gate that it is bound to.
    Incarnation incarnation;              ///< Run of that gate.
    Attempt attempt;                      ///< Newest order.
    std::uint32_t sends{};                ///< How often that order was sent.
    std::uint32_t repeats{};              ///< How often it was sent again because it came too late.
    GateTime validUntil;                  ///< Until when any of those could be accepted.
    bool mustExpire{};                    ///< True if the gate is only asked again after `validUntil`.
    bool fetchedAfterExpiry{};            ///< True if the gate was last asked after `validUntil`.
    bool started{};                       ///< True once it runs at the backend server.
    bool mayHaveRun{};                    ///< True if an earlier order may have run.
    bool intended{};                      ///< True if the journal has an intent.
    bool recovered{};                     ///< True if it comes from the journal of an earlier holder and no caller asked since.
    std::optional<ErrorCode> cancelled;   ///< Why it is being cancelled.
    std::vector<std::string> pieces;      ///< Tokens so far.
    std::vector<Requester> requesters;    ///< Who waits.
    std::set<ServerName> sentTo;          ///< Every gate that may have had it.
    PlacementRequest placement;           ///< What it needs.
    Duration expected{};                  ///< Expected time at the chosen server.
    TimePoint latest;                     ///< When the budget's time is over.
};

/** A call that a gate kept when this entry took the shard over. */
struct RecoveredCall
{
    ServerName server;              ///< Which gate.
    Attempt attempt;                ///< Which order.
    ContentHash content;            ///< Fingerprint of its content.
    std::optional<CallInput> input; ///< What was asked, if the gate knows.
    WallTime began;                 ///< When it was submitted.
};

// Shards.

/** Answers to give once a record is durable. */
struct AnswerWait
{
    std::vector<Requester> requesters; ///< Who waits.
    CallerAnswer answer;               ///< The answer.
    CallerAnswer otherwise;            ///< Given if the record isn't durable in time.
    TimePoint giveUp;                  ///< When `otherwise` is given.
};

/** An order to send once its intent is durable. */
struct IntentWait
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
};

/** Results that gates may forget once a turn is durable. */
struct TurnWait
{
    CallKey key;                    ///< Which call.
    std::vector<ServerName> sentTo; ///< Every gate that may keep its result.
    ServerName server;              ///< The gate that gave the result.
    GateTime notBefore;             ///< That gate may forget it when its clock has passed this.
};

/** Engine memory to release once a program's end is durable. */
struct EndWait
{
    ProgramId program; ///< Which program.
};

using DurableAction = std::variant<AnswerWait, IntentWait, TurnWait, EndWait>;

/** What to do once a record is durable. */
struct DurableWait
{
    RecordNumber record; ///< Which record.
    DurableAction what;  ///< What to do.
};

/** A shard that this entry holds, or is about to. */
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
    bool takenOver{};                                ///< True if another entry held it before.
    std::deque<DurableWait> waits;                   ///< In the order of their records.
    std::map<CallKey, RecordNumber> undurable;       ///< Ended turns that the store doesn't have yet.
    std::map<CallKey, Attempt> lastAttempt;          ///< Newest order of turns that left no trace.
    std::map<CallKey, RecoveredCall> recoveredCalls; ///< Calls that gates kept at the takeover.
    bool claimReported{};                            ///< True once the takeover was decided.
    std::set<ServerName> adopted;                    ///< Gates that have told what they keep.
    TimePoint adoptUntil;                            ///< Gates that haven't told by then are not waited for.
};

/** Ended turns of a shard that was lost before the store had them. They are offered to the shard's next holder. */
struct UnstoredShard
{
    std::map<CallKey, TurnFinished> turns; ///< The turns; at least one.
    TimePoint nextOffer;                   ///< When to offer them again.
    bool unanswered{};                     ///< True if the newest offer had no answer yet.
    TimePoint giveUp;                      ///< When to drop them.
};

// Gates.

/** State of the connection to a gate. */
enum class LinkPhase : std::uint8_t {
    Idle,    ///< No connection.
    Probing, ///< Greeted; no answer yet.
    Ready,   ///< The gate's run and clock are known.
};

/** Release a program's engine memory. */
struct PendingEnd
{
    ProgramId program; ///< Which program.
};

/** Let a gate forget a result. */
struct PendingSettle
{
    CallKey key;        ///< Which call.
    GateTime notBefore; ///< Not before the gate's clock has passed this.
};

/** Stop an order whose turn was ordered elsewhere since. */
struct PendingCancel
{
    CallKey key;     ///< Which call.
    Attempt attempt; ///< Which order.
};

/** Something to tell a gate until it certainly knows. */
struct PendingCommand
{
    std::variant<PendingEnd, PendingSettle, PendingCancel> what; ///< What.
    std::optional<std::uint64_t> sentAfter; ///< Number of the newest Probe when it was sent; nothing if it has to be sent.
};

/** The connection to one gate. */
struct GateLink
{
    LinkPhase phase = LinkPhase::Idle;           ///< State.
    std::optional<Incarnation> incarnation;      ///< Run of the gate, as last told.
    std::deque<Duration> offsets;                ///< Gate's clock minus ours, never too large; the newest few.
    GateTime clock;                              ///< The gate's clock is at least this.
    TimePoint lastHeard;                         ///< When it last said something.
    TimePoint lastProbe;                         ///< When it was last probed.
    TimePoint nextTry;                           ///< When to connect again.
    std::optional<TimePoint> lostSince;          ///< Since when it can't be reached.
    std::uint64_t sequence{};                    ///< Number of the newest Probe.
    std::optional<ConfigVersion> configSent;     ///< Version sent on this connection.
    std::set<CallKey> calls;                     ///< Live calls bound to it.
    std::vector<PendingCommand> pendingCommands; ///< What it has to be told.
};

// Other entries.

/** Another entry. */
struct PeerEntry
{
    std::string address;              ///< "ip:port"; empty if unknown.
    ZoneName zone;                    ///< Where it is.
    bool listed{};                    ///< True if the newest VM list names it.
    bool leaving{};                   ///< True if it is on a planned stop.
    std::optional<TimePoint> heardAt; ///< When it last said something.
    std::optional<TimePoint> lostAt;  ///< When the connection was lost; nothing since it was heard.
    TimePoint talkUntil;              ///< It gets heartbeats until then.
};

// Requests to the store that are not a shard's.

/** Reads the configuration. */
struct ConfigRead
{
};

/** Reads a shard's lease row. */
struct LeaseRead
{
    ShardId shard; ///< Which shard.
};

/** Reads a page of the search for orphans. */
struct OrphanScan
{
};

/** Removes rows of retired shards. */
struct RetiredRows
{
};

using StoreUse = std::variant<ConfigRead, LeaseRead, OrphanScan, RetiredRows>;

/** A planned stop. */
struct PlannedStop
{
    TimePoint since; ///< When it was asked for.
    bool finished{}; ///< True once the process may exit.
};

/** One entry. */
struct EntryState
{
    explicit EntryState(EntrySettings it);

    EntrySettings settings;                       ///< Who it is.
    Now now;                                      ///< Moment of the present event.
    std::vector<EntryAction> out;                 ///< Actions of the present event.
    bool begun{};                                 ///< True after the first event.
    TimePoint nextSweep;                          ///< When to look at time limits again.
    TimePoint nextHeartbeat;                      ///< When to send heartbeats again.
    TimePoint nextConfigRead;                     ///< When to read the configuration again.
    StoreRequestId nextStore;                     ///< Next free number.
    bool configAsked{};                           ///< True while the configuration is being read.
    std::map<StoreRequestId, StoreUse> storeUses; ///< Requests that are not a shard's.
    std::uint64_t serials{};                      ///< Numbers made by this entry.
    ShardId ownShard;                             ///< New programs go here.
    std::map<ShardId, HeldShard> shards;          ///< Shards held or being taken.
    std::map<ShardId, UnstoredShard> unstored;    ///< What is left of shards that were lost.
    std::unordered_map<CallKey, LiveCall> calls;  ///< Calls under way.
    std::map<RequestId, OpenRequest> requests;    ///< Callers' requests without a final answer.
    std::map<ServerName, GateLink> gates;         ///< Connections to gates.
    std::map<EntryName, PeerEntry> peers;         ///< Other entries.
    std::optional<ConfigRow> config;              ///< Configuration in force; nothing before the first read.
    WorkerRegistry workers;                       ///< Backend servers.
    HolderDirectory directory;                    ///< Holders of other shards.
    LeaseMonitor leaseMonitor;                    ///< Leases of others.
    StoreBudget storeBudget;                      ///< Share of the store.
    std::optional<PlannedStop> stop;              ///< Set on a planned stop.
};

// Helpers of every module.

/** Adds an action. */
template<typename Action>
void act(EntryState &entry, Action action)
{
    entry.out.emplace_back(std::move(action));
}

/** @return Target of a class; nothing if the class is unknown. */
std::optional<std::chrono::milliseconds> classTarget(const EntryState &entry, const ClassName &name);

/** @return The shard, if it is held, loaded and not being given away. */
HeldShard *servingShard(EntryState &entry, ShardId shard);

/** @return The live call, or null. */
LiveCall *findCall(EntryState &entry, const CallKey &key);

/** @return An error of this entry for something that was not executed. */
Error refusal(const EntryState &entry, ErrorCode code, Step step, std::string message, std::optional<Duration> retryAfter = std::nullopt);

/** Writes a log line. */
void logLine(EntryState &entry, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string peer, std::string text);

} // namespace Vanillahall
