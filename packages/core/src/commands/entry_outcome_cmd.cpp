#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_call_part.h"
#include "entry_durable_func.h"
#include "entry_gate_func.h"
#include "entry_order_func.h"
#include "entry_shard_func.h"
#include "queries/entry_messages_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** The order was refused, nothing ran by it. */
void onOrderRefused(EntryState &entry, LiveCall &call, const Error &error)
{
    call.sends = 0;
    if (error.code == ErrorCode::StaleEpoch) {
        Error reason = refusal(entry, ErrorCode::HolderUnknown, Step::Dispatch, "another entry has taken the program over", RetryDelay);
        concludeCall(entry, call.key, std::move(reason));
        return;
    }
    const bool again = error.code == ErrorCode::OrderExpired || error.code == ErrorCode::WrongIncarnation;
    if (again && call.repeats < entry.settings.maxAttempts && !call.cancelled) {
        call.repeats++;
        awaitStatus(entry, call.server);
        setPhase(entry, call, CallPhase::Sending); // Sent again with a fresh reading of the gate's clock and run.
        return;
    }
    avoidServer(call);
    retryElsewhere(entry, call, error);
}

/** The gate doesn't know the call that was asked for. */
void onFetchRefused(EntryState &entry, LiveCall &call, const Error &error)
{
    if (error.code == ErrorCode::StaleEpoch) {
        Error reason = refusal(entry, ErrorCode::HolderUnknown, Step::Dispatch, "another entry has taken the program over", RetryDelay);
        reason.run = RunState::Unknown;
        concludeCall(entry, call.key, std::move(reason));
        return;
    }
    if (error.code == ErrorCode::OrderExpired && call.repeats < entry.settings.maxAttempts) {
        call.repeats++;
        awaitStatus(entry, call.server);
        setPhase(entry, call, CallPhase::Reconnecting); // Asked again with a fresh reading of the gate's clock.
        return;
    }
    if (!call.fetchedAfterExpiry) {
        setPhase(entry, call, CallPhase::Reconnecting); // An order may still be on its way; asked again once it can't be accepted.
        call.mustExpire = true;
        return;
    }
    const bool trusted = entry.now.wall - call.began < IntentTrust;
    if (isNonRepeatable(call.input) && (!trusted || error.run != RunState::NotRun)) {
        finishCall(entry, call.key, lostError(entry, call, RunState::Unknown, "the gate no longer knows the call"));
        return;
    }
    call.sends = 0;
    if (call.recovered || call.cancelled) {
        concludeCall(entry, call.key, lostError(entry, call, RunState::NotRun, "the order never reached the gate"));
        return;
    }
    call.mayHaveRun = call.mayHaveRun || error.run != RunState::NotRun || !call.pieces.empty();
    retryElsewhere(entry, call, lostError(entry, call, RunState::NotRun, "the gate does not know the call"));
}

/** @return True if another run can't give another end. */
bool isFinal(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Timeout:
    case ErrorCode::Cancelled:
    case ErrorCode::Quarantined:
    case ErrorCode::BadRequest:
    case ErrorCode::TooLarge:
        return true;
    default:
        return false;
    }
}

void onCallFailed(EntryState &entry, LiveCall &call, const Error &error)
{
    const bool ran = error.run != RunState::NotRun;
    if (call.cancelled || isFinal(error) || (ran && isNonRepeatable(call.input))) {
        concludeCall(entry, call.key, error);
        return;
    }
    call.mayHaveRun = call.mayHaveRun || ran;
    avoidServer(call);
    retryElsewhere(entry, call, error);
}

LiveCall *answeringCall(EntryState &entry, const ServerName &server, const CallKey &key, Attempt attempt)
{
    LiveCall *call = findCall(entry, key);
    const bool matches = call != nullptr && call->server == server && call->attempt == attempt
        && (call->phase == CallPhase::Ordered || call->phase == CallPhase::Fetching);
    return matches ? call : nullptr;
}

void noteProgress(const EntryState &entry, LiveCall &call)
{
    call.started = true;
    setPhase(entry, call, CallPhase::Ordered);
}

} // namespace

void onGateMessage(EntryState &entry, const ServerName &server, const CallStarted &message)
{
    if (LiveCall *call = answeringCall(entry, server, message.key, message.attempt)) {
        noteProgress(entry, *call);
    }
}

void onGateMessage(EntryState &entry, const ServerName &server, const CallTokens &message)
{
    LiveCall *call = answeringCall(entry, server, message.key, message.attempt);
    if (call == nullptr) {
        return;
    }
    noteProgress(entry, *call);
    const auto known = static_cast<std::uint32_t>(call->pieces.size());
    if (message.firstToken > known) {
        setPhase(entry, *call, CallPhase::Reconnecting); // Tokens are missing; asked for again from the first missing one.
        advanceCall(entry, *call);
        return;
    }
    const std::size_t skip = known - message.firstToken;
    if (skip >= message.pieces.size()) {
        return;
    }
    const std::vector<std::string> fresh(message.pieces.begin() + static_cast<std::ptrdiff_t>(skip), message.pieces.end());
    call->pieces.insert(call->pieces.end(), fresh.begin(), fresh.end());
    for (const Requester &requester : call->requesters) {
        streamToRequester(entry, requester, call->key, known, fresh);
    }
}

void onGateMessage(EntryState &entry, const ServerName &server, const CallFinished &message)
{
    LiveCall *call = answeringCall(entry, server, message.key, message.attempt);
    if (call == nullptr || servingShard(entry, message.key.program.shard) == nullptr) {
        return; // Late or doubled; or the shard is being given away, and its next holder fetches the outcome.
    }
    if (const Error *error = errorOf(message.outcome)) {
        onCallFailed(entry, *call, *error);
        return;
    }
    finishCall(entry, message.key, message.outcome);
}

void onGateMessage(EntryState &entry, const ServerName &server, const CallRefused &message)
{
    LiveCall *call = answeringCall(entry, server, message.key, message.attempt);
    if (call == nullptr) {
        return;
    }
    logLine(entry, LogLevel::Info, EventNumber::OrderRefused, message.key, server.text, message.error.message);
    if (call->phase == CallPhase::Fetching) {
        onFetchRefused(entry, *call, message.error);
    } else if (message.error.run == RunState::NotRun) {
        onOrderRefused(entry, *call, message.error);
    } else {
        onCallFailed(entry, *call, message.error);
    }
}

} // namespace Vanillahall
