#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_shard_func.h"
#include "vanillahall/core/error_func.h"

namespace Vanillahall {

namespace {

constexpr Duration AnswerLimit = std::chrono::seconds(2); ///< A result that isn't durable by then is given all the same.

std::uint64_t spentTokens(const BudgetLedger &ledger, const Program &program, const CallKey &key, const CallOutcome &outcome)
{
    if (const auto *result = std::get_if<CallResult>(&outcome)) {
        return std::uint64_t{result->promptTokens} + result->completionTokens;
    }
    return ledger.reserved(program.root, key); // What it took isn't known; it can't have been more.
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
 * Answers at once; when the record is durable if the call runs at most once, the lease has run out, or the outcome is an error,
 * which no gate keeps for the next holder.
 */
void answerFinished(EntryState &entry, HeldShard &shard, const LiveCall &call, const TurnFinished &record, RecordNumber number)
{
    CallAnswered answer;
    answer.key = call.key;
    answer.input = call.input;
    answer.outcome = record.outcome;
    answer.server = call.server;
    answer.attempt = call.attempt;
    if (const Error *error = errorOf(record.outcome)) {
        Error undecided = *error;
        undecided.retryAfter = RetryDelay;
        waitDurable(shard, number, AnswerWait{call.requesters, answer, undecided, entry.now.steady + AnswerLimit});
        return;
    }
    if (isNonRepeatable(call.input) || !shard.log.canOrder(entry.now.steady)) {
        waitDurable(shard, number, AnswerWait{call.requesters, answer, answer, entry.now.steady + AnswerLimit});
        return;
    }
    for (const Requester &requester : call.requesters) {
        answerRequester(entry, requester, answer);
    }
}

void logFinished(EntryState &entry, const LiveCall &call, const CallOutcome &outcome)
{
    const Error *error = errorOf(outcome);
    if (error == nullptr) {
        logLine(entry, LogLevel::Info, EventNumber::TurnDone, call.key, call.server.text, {});
        return;
    }
    const bool unknown = error->run == RunState::Unknown && isNonRepeatable(call.input);
    const EventNumber event = unknown ? EventNumber::OutcomeUnknown : EventNumber::TurnDone;
    logLine(entry, unknown ? LogLevel::Error : LogLevel::Warning, event, call.key, call.server.text, toText(*error));
}

/** Takes a call out of the tables. */
LiveCall takeCall(EntryState &entry, const CallKey &key)
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
    const LiveCall call = takeCall(entry, key);
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
    resumeNextFound(entry, *shard, key.program);
    waitDurable(*shard, number, TurnWait{key, {call.sentTo.begin(), call.sentTo.end()}, call.server, notBefore});
}

void refuseCall(EntryState &entry, CallKey key, Error error)
{
    HeldShard *shard = servingShard(entry, key.program.shard);
    if (shard == nullptr) {
        dropCall(entry, key);
        return;
    }
    const LiveCall call = takeCall(entry, key);
    if (const Program *program = shard->programs.find(key.program)) {
        shard->ledger.release(program->root, key);
    }
    shard->lastAttempt[key] = call.attempt;
    shard->recoveredCalls.erase(key);
    if (call.intended) {
        appendRecord(entry, *shard, finishRecord(entry, call, error));
    }
    for (const Requester &requester : call.requesters) {
        answerRequester(entry, requester, error);
    }
}

void concludeCall(EntryState &entry, CallKey key, Error error)
{
    const LiveCall &call = *findCall(entry, key);
    if (call.cancelled) {
        error.code = *call.cancelled;
    }
    if (error.run == RunState::NotRun && call.mayHaveRun) {
        error.run = RunState::Unknown;
    }
    const HeldShard *shard = servingShard(entry, key.program.shard);
    const bool lapsed = shard != nullptr && !shard->log.canOrder(entry.now.steady);
    const bool undecided = lapsed && !isNonRepeatable(call.input); // A record might never reach the store; the turn may be sent again.
    if (error.run == RunState::NotRun || undecided) {
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
    const LiveCall call = takeCall(entry, key);
    for (const Requester &requester : call.requesters) {
        rerouteRequester(entry, requester, RunState::Unknown);
    }
}

} // namespace Vanillahall
