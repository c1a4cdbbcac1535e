#include "entry_call_func.h"

#include "entry_answer_func.h"
#include "entry_call_part.h"
#include "entry_durable_func.h"
#include "entry_gate_func.h"
#include "entry_order_func.h"
#include "entry_shard_func.h"
#include "queries/entry_messages_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration IntentTimeout = std::chrono::seconds(5); ///< Time limit for an intent to become durable.

void recordIntent(EntryState &entry, HeldShard &shard, LiveCall &call)
{
    CallIntended record;
    record.key = call.key;
    record.attempt = call.attempt;
    record.content = call.content;
    record.server = call.server;
    record.incarnation = call.incarnation;
    record.input = std::get<ServiceCall>(call.input);
    record.began = call.began;
    const RecordNumber number = appendRecord(entry, shard, record);
    call.hasIntent = true;
    setPhase(entry, call, CallPhase::Intending);
    runWhenDurable(shard, number, IntentWait{call.key, call.attempt});
}

/** Chooses a server and binds the call to it with a new attempt. @return False if there is none. */
bool tryPlace(EntryState &entry, LiveCall &call, Error &reason)
{
    HeldShard *shard = servingShard(entry, call.key.program.shard);
    if (shard == nullptr) {
        reason = refusal(entry, ErrorCode::StoreUnavailable, Step::Place, "the entry holds no lease now", RetryDelay);
        return false;
    }
    const std::optional<Placement> placement = entry.workers.choose(call.placement, entry.now.steady, reason);
    if (!placement) {
        reason.peer = entry.settings.name.text;
        return false;
    }
    bindCall(entry, call, placement->server);
    call.incarnation = placement->incarnation;
    call.expected = placement->expected;
    call.attempt.value++;
    call.sendCount = 0;
    call.started = false;
    call.pieces.clear();
    call.validUntil = GateTime();
    entry.workers.recordSent(call.server, call.key, call.placement, entry.now.steady);
    if (isNonRepeatable(call.input)) {
        recordIntent(entry, *shard, call);
        return true;
    }
    setPhase(entry, call, CallPhase::Sending);
    connectGate(entry, call.server);
    sendIfGateReady(entry, call);
    return true;
}

void sweepCall(EntryState &entry, LiveCall &call)
{
    const Duration waited = entry.now.steady - call.since;
    const HeldShard &shard = entry.shards.at(call.key.program.shard);
    const bool unsent = call.phase == CallPhase::Sending || call.phase == CallPhase::Intending;
    if (entry.now.steady >= call.deadline && !call.cancelled) {
        cancelCall(entry, call, ErrorCode::BudgetExceeded);
    } else if (call.phase == CallPhase::Intending && waited > IntentTimeout) {
        failCall(entry, call.key, refusal(entry, ErrorCode::StoreUnavailable, Step::Intent, "the store does not answer", RetryDelay));
    } else if (unsent && !shard.log.canOrder(entry.now.steady)) {
        failCall(entry, call.key, refusal(entry, ErrorCode::StoreUnavailable, Step::Dispatch, "the lease has lapsed", RetryDelay));
    } else if (call.phase == CallPhase::Sending && waited > entry.settings.silenceTimeout) {
        avoidServer(call);
        retryElsewhere(entry, call, lostError(entry, call, RunState::NotRun, "the gate does not answer"));
    } else if (!unsent && call.phase != CallPhase::Reconnecting && waited > RecheckDelay) {
        setPhase(entry, call, CallPhase::Reconnecting);
        sendIfGateReady(entry, call);
    } else {
        sendIfGateReady(entry, call);
    }
}

} // namespace

void setPhase(const EntryState &entry, LiveCall &call, CallPhase phase)
{
    call.phase = phase;
    call.since = entry.now.steady;
}

Error lostError(const EntryState &entry, const LiveCall &call, RunState run, std::string message)
{
    Error error = refusal(entry, ErrorCode::PeerLost, Step::Run, std::move(message), RetryDelay);
    error.run = run;
    error.peer = call.server.text;
    return error;
}

void retryElsewhere(EntryState &entry, LiveCall &call, Error error)
{
    const CallKey key = call.key;
    unbindCall(entry, call);
    if (call.cancelled || call.attempt.value >= entry.settings.maxAttempts) {
        failCall(entry, key, std::move(error));
        return;
    }
    logLine(entry, LogLevel::Warning, EventNumber::TurnRetried, key, call.server.text, error.message);
    Error reason;
    if (!tryPlace(entry, call, reason)) {
        failCall(entry, key, std::move(error));
    }
}

void avoidServer(LiveCall &call)
{
    call.placement.avoid.push_back(call.server);
}

void bindCall(EntryState &entry, LiveCall &call, const ServerName &server)
{
    unbindCall(entry, call);
    call.server = server;
    entry.gates[server].calls.insert(call.key);
}

void unbindCall(EntryState &entry, LiveCall &call)
{
    const auto link = entry.gates.find(call.server);
    if (link != entry.gates.end()) {
        link->second.calls.erase(call.key);
    }
    entry.workers.recordEnd(call.server, call.key, CallResult(), entry.now.steady);
}

void startCall(EntryState &entry, LiveCall call)
{
    const CallKey key = call.key;
    LiveCall &stored = entry.calls.insert_or_assign(key, std::move(call)).first->second;
    Error reason;
    if (!tryPlace(entry, stored, reason)) {
        refuseCall(entry, key, std::move(reason));
    }
}

void resumeRecoveredCall(EntryState &entry, LiveCall call, const RecoveredCall &found)
{
    const CallKey key = call.key;
    call.attempt = found.attempt;
    call.sendCount = 1;
    call.sentTo.insert(found.server);
    LiveCall &stored = entry.calls.insert_or_assign(key, std::move(call)).first->second;
    bindCall(entry, stored, found.server);
    stored.incarnation = entry.gates[found.server].incarnation.value_or(Incarnation());
    setPhase(entry, stored, CallPhase::Reconnecting);
    connectGate(entry, found.server);
    sendIfGateReady(entry, stored);
}

void resumeNextRecoveredCall(EntryState &entry, HeldShard &shard, const ProgramId &id)
{
    const Program &program = *shard.programs.find(id);
    const CallKey key{id, Turn{lastFinished(program).value + 1}};
    const auto it = shard.recoveredCalls.find(key);
    if (it == shard.recoveredCalls.end() || !it->second.input || program.ended || findCall(entry, key) != nullptr) {
        return;
    }
    const RecoveredCall &found = it->second;
    LiveCall call;
    call.key = key;
    call.content = found.content;
    call.input = *found.input;
    call.began = found.began;
    call.recovered = true;
    call.placement = placementRequest(program, SubmitCall{key, call.input, call.content});
    const std::uint64_t tokens = std::uint64_t{call.placement.promptTokens} + call.placement.outputTokens;
    Error reason;
    const auto timeLeft = shard.ledger.reserve(program.root, key, tokens, entry.now.wall, reason);
    call.deadline = timeLeft ? entry.now.steady + *timeLeft : TimePoint::max();
    resumeRecoveredCall(entry, std::move(call), found);
}

void resumeIntendedCall(EntryState &entry, HeldShard &shard, const CallKey &key)
{
    const Program &program = *shard.programs.find(key.program);
    const TurnRecord &turn = program.turns.at(key.turn);
    LiveCall call;
    call.key = key;
    call.content = turn.content;
    call.input = turn.input;
    call.began = turn.began;
    call.attempt = turn.attempt;
    call.incarnation = turn.incarnation;
    call.sendCount = 1;
    call.sentTo.insert(turn.server);
    call.hasIntent = true;
    call.recovered = true;
    call.placement.key = key;
    call.placement.kind = PoolKind::Service;
    call.placement.service = std::get<ServiceCall>(turn.input).service;
    Error reason;
    const auto timeLeft = shard.ledger.reserve(program.root, key, 0, entry.now.wall, reason);
    call.deadline = timeLeft ? entry.now.steady + *timeLeft : TimePoint::max();
    LiveCall &stored = entry.calls.insert_or_assign(key, std::move(call)).first->second;
    bindCall(entry, stored, turn.server);
    setPhase(entry, stored, CallPhase::Reconnecting);
    connectGate(entry, turn.server);
    sendIfGateReady(entry, stored);
}

void onIntentDurable(EntryState &entry, const IntentWait &wait)
{
    LiveCall *call = findCall(entry, wait.key);
    if (call == nullptr || call->phase != CallPhase::Intending || call->attempt != wait.attempt) {
        return;
    }
    setPhase(entry, *call, CallPhase::Sending);
    connectGate(entry, call->server);
    sendIfGateReady(entry, *call);
}

void sendIfGateReady(EntryState &entry, LiveCall &call)
{
    const GateLink &link = entry.gates[call.server];
    if (link.phase != GateLinkPhase::Ready) {
        return;
    }
    if (call.phase == CallPhase::Sending) {
        if (*link.incarnation == call.incarnation) {
            sendOrder(entry, call);
        } else {
            onCallGateRestarted(entry, call);
        }
    } else if (call.phase == CallPhase::Reconnecting) {
        if (*link.incarnation == call.incarnation) {
            sendFetch(entry, call);
        } else {
            onCallGateRestarted(entry, call);
        }
    }
}

void onCallLinkLost(EntryState &entry, LiveCall &call)
{
    switch (call.phase) {
    case CallPhase::Intending:
    case CallPhase::Reconnecting:
        break;
    case CallPhase::Sending:
        if (isNonRepeatable(call.input)) {
            call.mayHaveRun = call.mayHaveRun || call.sendCount > 0;
        }
        retryElsewhere(entry, call, lostError(entry, call, RunState::NotRun, "the gate can't be reached"));
        break;
    case CallPhase::Ordered:
    case CallPhase::Fetching:
        setPhase(entry, call, CallPhase::Reconnecting);
        break;
    }
}

void onCallGateRestarted(EntryState &entry, LiveCall &call)
{
    if (call.phase == CallPhase::Intending) {
        return; // sendIfGateReady() detects the restart once the intent is durable.
    }
    if (call.phase == CallPhase::Sending) {
        if (isNonRepeatable(call.input)) {
            retryElsewhere(entry, call, lostError(entry, call, RunState::NotRun, "the gate has restarted"));
            return;
        }
        call.incarnation = *entry.gates[call.server].incarnation;
        sendOrder(entry, call);
        return;
    }
    if (isNonRepeatable(call.input)) {
        failCall(entry, call.key, lostError(entry, call, RunState::Unknown, "the gate has restarted"));
        return;
    }
    call.mayHaveRun = true;
    retryElsewhere(entry, call, lostError(entry, call, RunState::Unknown, "the gate has restarted"));
}

void onCallGateTimeout(EntryState &entry, LiveCall &call)
{
    if (call.phase != CallPhase::Reconnecting) {
        return;
    }
    if (isNonRepeatable(call.input)) {
        failCall(entry, call.key, lostError(entry, call, RunState::Unknown, "the gate is gone"));
        return;
    }
    addPendingCommand(entry, call.server, PendingCancel{call.key, call.attempt});
    call.mayHaveRun = true;
    avoidServer(call);
    retryElsewhere(entry, call, lostError(entry, call, RunState::Unknown, "the gate is gone"));
}

void cancelCall(EntryState &entry, LiveCall &call, ErrorCode why)
{
    call.cancelled = why;
    Error error = refusal(entry, why, Step::Run, "the call was cancelled");
    if (call.phase == CallPhase::Intending || call.phase == CallPhase::Sending) {
        failCall(entry, call.key, std::move(error));
        return;
    }
    if (isNonRepeatable(call.input)) {
        sendCancel(entry, call);
        return;
    }
    error.run = call.started ? RunState::Ran : RunState::Unknown;
    addPendingCommand(entry, call.server, PendingCancel{call.key, call.attempt});
    finishCall(entry, call.key, std::move(error));
}

void sweepCalls(EntryState &entry)
{
    std::vector<CallKey> keys;
    keys.reserve(entry.calls.size());
    for (const auto &[key, call] : entry.calls) {
        keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end());
    for (const CallKey &key : keys) {
        if (LiveCall *call = findCall(entry, key)) {
            sweepCall(entry, *call);
        }
    }
}

} // namespace Vanillahall
