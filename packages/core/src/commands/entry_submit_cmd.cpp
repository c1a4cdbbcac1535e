#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_request_func.h"
#include "entry_shard_func.h"
#include "queries/entry_messages_func.h"
#include "vanillahall/core/entry_query.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** A submitted turn and what it is checked against. */
struct Submission
{
    EntryState &entry;
    HeldShard &shard;
    const Program &program;
    const ServedRequest &request;
    const SubmitCall &body;
};

void answer(const Submission &it, CallerAnswer body)
{
    answerRequester(it.entry, it.request.requester, std::move(body));
}

void answerConflict(const Submission &it)
{
    answer(it, refusal(it.entry, ErrorCode::Conflict, Step::Admit, "the turn was sent before with other content"));
}

/** Answers a turn that has ended with the outcome of its first run. */
void replayAnswer(const Submission &it, const TurnRecord &turn)
{
    if (turn.content != it.body.content) {
        answerConflict(it);
        return;
    }
    CallAnswered answered;
    answered.key = it.body.key;
    answered.input = turn.input;
    answered.outcome = *turn.outcome;
    answered.server = turn.server;
    answered.attempt = turn.attempt;
    answered.replayed = true;
    answer(it, std::move(answered));
}

/** Adds the requester to a turn that is running. */
void attachRequester(const Submission &it, LiveCall &call)
{
    if (call.content != it.body.content) {
        answerConflict(it);
        return;
    }
    const Requester &requester = it.request.requester;
    std::erase_if(call.requesters, [&requester](const Requester &other) {
        return other.entry == requester.entry && other.request == requester.request;
    });
    call.requesters.push_back(requester);
    call.recovered = false;
    streamToRequester(it.entry, it.request.requester, call.key, 0, call.pieces);
}

/** @return Why the turn can't start; nothing if it is the program's next one. */
std::optional<Error> turnOrderError(const Submission &it)
{
    const Turn last = lastFinished(it.program);
    const CallKey running{it.program.id, Turn{last.value + 1}};
    if (it.body.key.turn.value == 0) {
        return refusal(it.entry, ErrorCode::BadRequest, Step::Admit, "turns are numbered from 1");
    }
    if (it.body.key.turn.value == last.value + 1) {
        return std::nullopt;
    }
    if (it.body.key.turn.value == last.value + 2 && it.entry.calls.contains(running)) {
        return refusal(it.entry, ErrorCode::TurnBusy, Step::Admit, "the turn before is still running", RetryDelay);
    }
    return refusal(
        it.entry, ErrorCode::TurnGap, Step::Admit, "turn " + std::to_string(last.value + 1) + " is the next one of this program");
}

/** @return True if an earlier turn is being fetched from a gate, or a gate may still report it. */
bool mayBeRecovered(const Submission &it)
{
    const CallKey next{it.program.id, Turn{lastFinished(it.program).value + 1}};
    const LiveCall *call = findCall(it.entry, next);
    const bool fetching = (call != nullptr && call->recovered) || it.shard.recoveredCalls.contains(next);
    return it.body.key.turn > next.turn && (fetching || isGateMissing(it.entry, it.shard));
}

/** @return Why the state of the lease, the store or the configuration forbids the turn to start; nothing if it may start. */
std::optional<Error> leaseError(const Submission &it)
{
    std::optional<Error> error = newWorkRefusal(it.entry, &it.shard);
    const bool needsStore = isNonRepeatable(it.body.input);
    if (error && error->code == ErrorCode::StoreUnavailable && it.entry.config && it.shard.log.canOrder(it.entry.now.steady)
        && !needsStore) {
        return std::nullopt; // Only the store is unavailable, and this call doesn't need it before it runs.
    }
    return error;
}

/** @return True if new turns wait: gates haven't reported yet what they hold, or a planned stop hands the shards over. */
bool mustWait(const Submission &it)
{
    return isAdopting(it.entry, it.shard) || it.entry.stop.has_value();
}

LiveCall newCall(const Submission &it)
{
    LiveCall call;
    call.key = it.body.key;
    call.content = it.body.content;
    call.input = it.body.input;
    call.began = it.entry.now.wall;
    call.requesters.push_back(it.request.requester);
    call.placement = placementRequest(it.program, it.body);
    const auto last = it.shard.lastAttempt.find(call.key);
    if (last != it.shard.lastAttempt.end()) {
        call.attempt = last->second;
    }
    return call;
}

void beginCall(const Submission &it)
{
    LiveCall call = newCall(it);
    Error reason;
    const std::uint64_t tokens = std::uint64_t{call.placement.promptTokens} + call.placement.outputTokens;
    const auto timeLeft = it.shard.ledger.reserve(it.program.root, call.key, tokens, it.entry.now.wall, reason);
    if (!timeLeft) {
        reason.peer = it.entry.settings.name.text;
        answer(it, reason);
        return;
    }
    call.deadline = it.entry.now.steady + *timeLeft;
    const auto found = it.shard.recoveredCalls.find(call.key);
    if (found != it.shard.recoveredCalls.end()) {
        resumeRecoveredCall(it.entry, std::move(call), found->second);
        return;
    }
    startCall(it.entry, std::move(call));
}

/** Handles a turn that has neither ended nor started. */
void submitNew(const Submission &it)
{
    if (it.program.ended) {
        answer(it, refusal(it.entry, ErrorCode::ProgramEnded, Step::Admit, "the program has ended"));
        return;
    }
    if (mustWait(it) || mayBeRecovered(it)) {
        rerouteRequester(it.entry, it.request.requester, RunState::NotRun);
        return;
    }
    if (const std::optional<Error> error = turnOrderError(it)) {
        answer(it, *error);
        return;
    }
    if (const std::optional<Error> error = leaseError(it)) {
        answer(it, *error);
        return;
    }
    const auto found = it.shard.recoveredCalls.find(it.body.key);
    if (found != it.shard.recoveredCalls.end() && found->second.content != it.body.content) {
        answerConflict(it);
        return;
    }
    beginCall(it);
}

} // namespace

void submitCall(EntryState &entry, const ServedRequest &request, const SubmitCall &body)
{
    Error reason;
    const Program *program = ownedProgram(entry, body.key.program, request.customer, reason);
    if (program == nullptr) {
        answerRequester(entry, request.requester, reason);
        return;
    }
    const Submission it{entry, entry.shards.at(body.key.program.shard), *program, request, body};
    if (LiveCall *call = findCall(entry, body.key)) {
        attachRequester(it, *call);
        return;
    }
    const auto turn = program->turns.find(body.key.turn);
    if (turn != program->turns.end() && turn->second.outcome) {
        replayAnswer(it, turn->second);
        return;
    }
    submitNew(it);
}

} // namespace Vanillahall
