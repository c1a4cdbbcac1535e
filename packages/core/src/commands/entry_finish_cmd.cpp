#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_shard_func.h"
#include "vanillahall/core/error_func.h"

namespace Vanillahall {

namespace {

constexpr Duration DurableAnswerTimeout = std::chrono::seconds(2); ///< Answers are sent after this even if the record isn't durable.

std::uint64_t spentTokens(const BudgetLedger &ledger, const Program &program, const CallKey &key, const CallOutcome &outcome)
{
    if (const auto *result = std::get_if<CallResult>(&outcome)) {
        return std::uint64_t{result->promptTokens} + result->completionTokens;
    }
    return ledger.reserved(program.root, key); // The use is unknown; the reservation is its upper bound.
}

TurnFinished finishRecord(const EntryState &entry, const LiveCall &call, CallOutcome outcome)
{
    TurnFinished record;
    record.key = call.key;
    record.content = call.content;
    record.input = call.input;
    record.outcome = std::move(outcome);
    record.server = call.server;
    record.attempt = call.attempt;
    record.began = call.began;
    record.ended = entry.now.wall;
    return record;
}

/**
 * Answers the requesters. A result is sent at once, unless the call must run at most once or the lease has expired; in both cases it
 * is sent once the record is durable. Errors always wait for that, since gates hold no errors for the next holder.
 */
void answerFinished(EntryState &entry, HeldShard &shard, const LiveCall &call, const TurnFinished &record, RecordNumber number)
{
    CallAnswered answer;
    answer.key = call.key;
    answer.input = call.input;
    answer.outcome = record.outcome;
    answer.server = call.server;
    answer.attempt = call.attempt;
    if (const Error *error = findError(record.outcome)) {
        Error unconfirmed = *error;
        unconfirmed.retryAfter = RetryDelay;
        runWhenDurable(shard, number, AnswerWait{call.requesters, answer, unconfirmed, entry.now.steady + DurableAnswerTimeout});
        return;
    }
    if (isNonRepeatable(call.input) || !shard.log.canOrder(entry.now.steady)) {
        runWhenDurable(shard, number, AnswerWait{call.requesters, answer, answer, entry.now.steady + DurableAnswerTimeout});
        return;
    }
    for (const Requester &requester : call.requesters) {
        answerRequester(entry, requester, answer);
    }
}

void logFinished(EntryState &entry, const LiveCall &call, const CallOutcome &outcome)
{
    const Error *error = findError(outcome);
    if (error == nullptr) {
        logLine(entry, LogLevel::Info, EventNumber::TurnDone, call.key, call.server.text, {});
        return;
    }
    const bool unknown = error->run == RunState::Unknown && isNonRepeatable(call.input);
    const EventNumber event = unknown ? EventNumber::OutcomeUnknown : EventNumber::TurnDone;
    logLine(entry, unknown ? LogLevel::Error : LogLevel::Warning, event, call.key, call.server.text, toText(*error));
}

/** Removes a call from the entry and its gate. @return The call. */
LiveCall removeCall(EntryState &entry, const CallKey &key)
{
    const auto it = entry.calls.find(key);
    unbindCall(entry, it->second);
    LiveCall call = std::move(it->second);
    entry.calls.erase(it);
    return call;
}

} // namespace

void finishCall(EntryState &entry, CallKey key, CallOutcome outcome)
{
    HeldShard *shard = servingShard(entry, key.program.shard);
    if (shard == nullptr) {
        dropCall(entry, key);
        return;
    }
    const LiveCall call = removeCall(entry, key);
    const Program &program = *shard->programs.find(key.program);
    TurnFinished record = finishRecord(entry, call, std::move(outcome));
    record.spentTokens = spentTokens(shard->ledger, program, key, record.outcome);
    const RecordNumber number = appendRecord(entry, *shard, record);
    shard->ledger.settle(program.root, key, record.spentTokens);
    shard->undurable[key] = number;
    shard->recoveredCalls.erase(key);
    shard->lastAttempt.erase(key);
    logFinished(entry, call, record.outcome);
    answerFinished(entry, *shard, call, record, number);
    const GateTime notBefore = isNonRepeatable(call.input) ? call.validUntil : GateTime();
    resumeNextRecoveredCall(entry, *shard, key.program);
    runWhenDurable(*shard, number, TurnWait{key, {call.sentTo.begin(), call.sentTo.end()}, call.server, notBefore});
}

void refuseCall(EntryState &entry, CallKey key, Error error)
{
    HeldShard *shard = servingShard(entry, key.program.shard);
    if (shard == nullptr) {
        dropCall(entry, key);
        return;
    }
    const LiveCall call = removeCall(entry, key);
    if (const Program *program = shard->programs.find(key.program)) {
        shard->ledger.release(program->root, key);
    }
    shard->lastAttempt[key] = call.attempt;
    shard->recoveredCalls.erase(key);
    if (call.hasIntent) {
        appendRecord(entry, *shard, finishRecord(entry, call, error));
    }
    for (const Requester &requester : call.requesters) {
        answerRequester(entry, requester, error);
    }
}

void failCall(EntryState &entry, CallKey key, Error error)
{
    const LiveCall &call = *findCall(entry, key);
    if (call.cancelled) {
        error.code = *call.cancelled;
    }
    if (error.run == RunState::NotRun && call.mayHaveRun) {
        error.run = RunState::Unknown;
    }
    const HeldShard *shard = servingShard(entry, key.program.shard);
    const bool leaseExpired = shard != nullptr && !shard->log.canOrder(entry.now.steady);
    // With an expired lease a record might never become durable. None is made then, so that the caller may submit a repeatable turn again.
    const bool canResubmit = leaseExpired && !isNonRepeatable(call.input);
    if (error.run == RunState::NotRun || canResubmit) {
        if (!error.retryAfter && !call.cancelled) {
            error.retryAfter = RetryDelay;
        }
        refuseCall(entry, key, std::move(error));
    } else {
        finishCall(entry, key, std::move(error));
    }
}

void dropCall(EntryState &entry, CallKey key)
{
    const LiveCall call = removeCall(entry, key);
    for (const Requester &requester : call.requesters) {
        rerouteRequester(entry, requester, RunState::Unknown);
    }
}

} // namespace Vanillahall
