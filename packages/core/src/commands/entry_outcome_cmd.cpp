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

/** Handles the refusal of an order; it did not run. */
void onOrderRefused(EntryState &entry, LiveCall &call, const Error &error)
{
    call.sendCount = 0;
    if (error.code == ErrorCode::StaleEpoch) {
        Error reason = refusal(entry, ErrorCode::HolderUnknown, Step::Dispatch, "another entry has taken the program over", RetryDelay);
        failCall(entry, call.key, std::move(reason));
        return;
    }
    const bool isRetryable = error.code == ErrorCode::OrderExpired || error.code == ErrorCode::WrongIncarnation;
    if (isRetryable && call.resendCount < entry.settings.maxAttempts && !call.cancelled) {
        call.resendCount++;
        awaitStatus(entry, call.server);
        setPhase(entry, call, CallPhase::Sending); // The order is sent again with a fresh reading of the gate's clock.
        return;
    }
    avoidServer(call);
    retryElsewhere(entry, call, error);
}

/** Handles the refusal of a fetch: the gate doesn't hold the call, or the fence is invalid. */
void onFetchRefused(EntryState &entry, LiveCall &call, const Error &error)
{
    if (error.code == ErrorCode::StaleEpoch) {
        Error reason = refusal(entry, ErrorCode::HolderUnknown, Step::Dispatch, "another entry has taken the program over", RetryDelay);
        reason.run = RunState::Unknown;
        failCall(entry, call.key, std::move(reason));
        return;
    }
    if (error.code == ErrorCode::OrderExpired && call.resendCount < entry.settings.maxAttempts) {
        call.resendCount++;
        awaitStatus(entry, call.server);
        setPhase(entry, call, CallPhase::Reconnecting); // The call is fetched again with a fresh clock reading.
        return;
    }
    if (!call.fetchedAfterExpiry) {
        setPhase(entry, call, CallPhase::Reconnecting); // The order may be in flight; fetches again once it has expired.
        call.awaitExpiry = true;
        return;
    }
    const bool trusted = entry.now.wall - call.began < MaxTrustedIntentAge;
    if (isNonRepeatable(call.input) && (!trusted || error.run != RunState::NotRun)) {
        finishCall(entry, call.key, lostError(entry, call, RunState::Unknown, "the gate no longer knows the call"));
        return;
    }
    call.sendCount = 0;
    if (call.recovered || call.cancelled) {
        failCall(entry, call.key, lostError(entry, call, RunState::NotRun, "the order never reached the gate"));
        return;
    }
    call.mayHaveRun = call.mayHaveRun || error.run != RunState::NotRun || !call.pieces.empty();
    retryElsewhere(entry, call, lostError(entry, call, RunState::NotRun, "the gate does not know the call"));
}

/** @return True if another run can't give another outcome. */
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
        failCall(entry, call.key, error);
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

void recordProgress(const EntryState &entry, LiveCall &call)
{
    call.started = true;
    setPhase(entry, call, CallPhase::Ordered);
}

} // namespace

void onGateMessage(EntryState &entry, const ServerName &server, const CallStarted &message)
{
    if (LiveCall *call = answeringCall(entry, server, message.key, message.attempt)) {
        recordProgress(entry, *call);
    }
}

void onGateMessage(EntryState &entry, const ServerName &server, const CallTokens &message)
{
    LiveCall *call = answeringCall(entry, server, message.key, message.attempt);
    if (call == nullptr) {
        return;
    }
    recordProgress(entry, *call);
    const auto known = static_cast<std::uint32_t>(call->pieces.size());
    if (message.firstToken > known) {
        setPhase(entry, *call, CallPhase::Reconnecting); // Fetches the output again from the first missing token.
        sendIfGateReady(entry, *call);
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
        return; // Late or duplicate, or the shard is being handed over and its next holder fetches the outcome.
    }
    if (const Error *error = findError(message.outcome)) {
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
