#include "deployment.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration CallerTimeout = 8s;       ///< A caller without a response resends its request after this time.
constexpr Duration MinRetryDelay = 200ms;    ///< Delay before a retry if the refusal has no or a shorter Retry-After.
constexpr std::uint64_t RandomBase = 700000; ///< Added to the request id to make up the random number of a request.

CallInput inputOf(const CallKey &key)
{
    if (key.turn.value == ServiceTurn) {
        return ServiceCall{ServiceName{"courier"}, "orders", "order of p" + std::to_string(key.program.serial), false};
    }
    const std::string mark = "q" + std::to_string(key.program.serial) + "t" + std::to_string(key.turn.value);
    return ModelInput{ModelName{"bell"}, {R"({"role":"user","content":")" + mark + R"("})"}, 100};
}

} // namespace

std::size_t Deployment::nextEntry(std::size_t after) const
{
    for (std::size_t n = 1; n <= EntryCount; n++) {
        const std::size_t it = (after + n) % EntryCount;
        if (m_entries[it].entry) {
            return it;
        }
    }
    return after;
}

void Deployment::tickCaller(CallerNode &caller)
{
    if (caller.done) {
        return;
    }
    if (caller.waiting.value == 0 && m_now.steady >= caller.sentAt) {
        sendCallerRequest(caller);
    } else if (caller.waiting.value != 0 && m_now.steady > caller.sentAt + CallerTimeout) {
        addTrace("caller got no response in time for turn " + std::to_string(caller.turn));
        caller.home = nextEntry(caller.home);
        sendCallerRequest(caller);
    }
}

void Deployment::sendCallerRequest(CallerNode &caller)
{
    if (!m_entries[caller.home].entry) {
        caller.home = nextEntry(caller.home);
    }
    if (!m_entries[caller.home].entry) {
        return;
    }
    const std::size_t index = &caller == m_callers.data() ? 0 : 1;
    CallerRequest body;
    if (caller.turn == 0) {
        CreateProgram create;
        create.className = ClassName{"urgent"};
        create.budget = caller.budget;
        create.budget.calls += m_plan.mutant == Mutant::BudgetRaised ? 1 : 0;
        create.idempotencyKey = ContentHash{1, index + 1};
        body = create;
    } else if (caller.turn > ProgramTurns) {
        body = EndCommand{*caller.program};
    } else {
        const CallKey key{*caller.program, Turn{caller.turn}};
        body = SubmitCall{key, inputOf(key), contentHash(toText(key.program) + std::to_string(caller.turn))};
    }
    const RequestId id{++m_lastRequest};
    m_requests[id] = Request{index, caller.turn, caller.home, false};
    caller.waiting = id;
    caller.sentAt = m_now.steady;
    caller.streamed.clear();
    caller.submissions[caller.turn]++;
    caller.firstSentAt.try_emplace(caller.turn, m_now.steady);
    if (index == 0) {
        addTrace("caller sends turn " + std::to_string(caller.turn) + " to e" + std::to_string(caller.home));
    }
    if (m_plan.mutant == Mutant::NoResend && caller.submissions[caller.turn] > 1) {
        return;
    }
    schedule(m_now.steady + 1ms, [this, id, entry = caller.home, body] {
        deliverEvent(entry, CallerRequestReceived{id, CustomerName{"klokwerk"}, true, body, RandomBase + id.value});
    });
    if (index == 0) {
        if (caller.turn == 0) {
            onStepReached(MatrixStep::Create, 5ms);
        } else if (caller.turn == ServiceTurn) {
            onStepReached(MatrixStep::ServiceBeforeIntent, 2ms);
        } else if (caller.turn > ProgramTurns) {
            onStepReached(MatrixStep::End, 5ms);
        }
    }
}

void Deployment::onCallerConnectionLost(std::size_t entry)
{
    for (CallerNode &caller : m_callers) {
        const auto it = m_requests.find(caller.waiting);
        if (it != m_requests.end() && it->second.entry == entry && !it->second.answered) {
            caller.waiting = RequestId();
            caller.sentAt = m_now.steady + MinRetryDelay;
            caller.home = nextEntry(caller.home);
        }
    }
}

void Deployment::onCallerResponse(CallerNode &caller, std::uint32_t turn, CallerAnswer answer)
{
    if (const auto *history = std::get_if<HistoryView>(&answer)) {
        checkHistory(caller, *history);
        return;
    }
    if (const auto *error = std::get_if<Error>(&answer)) {
        onCallerRefusal(caller, turn, *error);
        return;
    }
    if (const auto *answered = std::get_if<CallAnswered>(&answer)) {
        if (answered->key != CallKey{*caller.program, Turn{turn}}) {
            recordViolation("received an answer for another turn or program");
        }
        checkOutcome(caller, turn, answered->outcome);
        caller.finals.try_emplace(turn, answered->outcome);
        caller.refusals.erase(turn);
    }
    if (turn != caller.turn || caller.done) {
        return;
    }
    if (const auto *accepted = std::get_if<ProgramAccepted>(&answer)) {
        caller.program = accepted->program;
    }
    if (&caller == m_callers.data()) {
        addTrace("caller got the answer of turn " + std::to_string(turn));
    }
    caller.waiting = RequestId();
    caller.sentAt = m_now.steady;
    if (std::holds_alternative<ProgramEndAccepted>(answer)) {
        caller.done = true;
        caller.endedAt = m_now.steady;
        return;
    }
    caller.turn++;
}

void Deployment::onCallerRefusal(CallerNode &caller, std::uint32_t turn, const Error &error)
{
    if (turn != caller.turn || caller.done) {
        return;
    }
    addTrace("caller got a refusal of turn " + std::to_string(turn) + " code " + std::to_string(static_cast<int>(error.code)) + " run "
             + std::to_string(static_cast<int>(error.run)) + " " + error.message);
    caller.waiting = RequestId();
    caller.sentAt = m_now.steady + std::max(error.retryAfter.value_or(MinRetryDelay), Duration(MinRetryDelay));
    caller.home = nextEntry(caller.home);
    const bool isTurn = turn >= 1 && turn <= ProgramTurns;
    if (!isTurn) {
        return;
    }
    caller.refusals[turn] = error;
    const bool givesUp = caller.behaviour == CallerBehaviour::GivesUp && error.run == RunState::NotRun;
    if (givesUp || !error.retryAfter) {
        caller.turn = ProgramTurns + 1;
    }
}

} // namespace Vanillahall
