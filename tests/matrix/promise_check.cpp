#include "deployment.h"
#include "entry_state.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration AnswerLimit = 60s; ///< Longest time per turn until its final answer, counted from the end of the faults.

} // namespace

void Deployment::recordViolation(const std::string &text)
{
    if (std::find(violations.begin(), violations.end(), text) == violations.end()) {
        violations.push_back(text);
    }
    addTrace("VIOLATION: " + text);
}

void Deployment::addTrace(const std::string &text)
{
    trace.push_back(std::to_string((m_now.steady - TimePoint(1000s)) / 1ms) + " ms: " + text);
}

void Deployment::checkHolders()
{
    std::map<ShardId, int> holders;
    for (const EntryNode &node : m_entries) {
        if (!node.entry) {
            continue;
        }
        for (const auto &[id, shard] : node.entry->state().shards) {
            if (shard.log.canOrder(m_now.steady) && ++holders[id] > 1) {
                recordViolation("two entries may order for a shard");
            }
        }
    }
}

void Deployment::checkViews()
{
    for (const EntryNode &node : m_entries) {
        if (!node.entry || node.paused) {
            continue;
        }
        for (const ProgramView &view : heldPrograms(node.entry->state())) {
            for (const CallerNode &caller : m_callers) {
                if (caller.program != view.program) {
                    continue;
                }
                if (view.spent.tokens > caller.budget.tokens || view.spent.calls > caller.budget.calls) {
                    recordViolation("a budget was exceeded");
                }
            }
        }
    }
}

/** Checks the calls that backend servers started: no duplicates of non-repeatable calls, complete prompts, no text of other programs. */
void Deployment::checkStarts()
{
    for (const CallerNode &caller : m_callers) {
        if (!caller.program) {
            continue;
        }
        int services = 0;
        for (const GateNode &gate : m_gates) {
            const auto it = gate.backend.starts.find(CallKey{*caller.program, Turn{ServiceTurn}});
            services += it == gate.backend.starts.end() ? 0 : it->second;
        }
        if (services > 1) {
            recordViolation("a non-repeatable call was started twice");
        }
    }
    std::size_t seen = 0;
    for (const GateNode &gate : m_gates) {
        seen += gate.backend.startedCalls.size();
    }
    if (seen == m_startsChecked) {
        return;
    }
    m_startsChecked = seen;
    for (const GateNode &gate : m_gates) {
        if (gate.backend.startedCalls.empty()) {
            continue;
        }
        const StartServerCall &start = gate.backend.startedCalls.back();
        for (const CallerNode &caller : m_callers) {
            const auto *model = std::get_if<ModelCall>(&start.body);
            if (!caller.program || model == nullptr) {
                continue;
            }
            std::string prompt;
            for (const std::string &message : model->messages) {
                prompt += message;
            }
            const bool own = caller.program == start.key.program;
            const std::string serial = std::to_string(caller.program->serial) + "t";
            if (!own && (prompt.find("q" + serial) != std::string::npos || prompt.find("p" + serial) != std::string::npos)) {
                recordViolation("a prompt holds text of another program");
            }
            if (!own) {
                continue;
            }
            for (std::uint32_t turn = 1; turn < start.key.turn.value; turn++) {
                const auto it = caller.finals.find(turn);
                const bool result = it != caller.finals.end() && std::holds_alternative<CallResult>(it->second);
                const bool text = turn != ServiceTurn; // Callers add the results of services to their next message themselves.
                if (result && text && prompt.find(wholeText(CallKey{start.key.program, Turn{turn}})) == std::string::npos) {
                    recordViolation("a prompt does not contain turn " + std::to_string(turn));
                }
                if (it == caller.finals.end()) {
                    recordViolation("turn " + std::to_string(start.key.turn.value) + " was started before turn " + std::to_string(turn)
                                    + " was answered");
                }
            }
        }
    }
}

void Deployment::checkOutcome(const CallerNode &caller, std::uint32_t turn, const CallOutcome &outcome)
{
    const auto old = caller.finals.find(turn);
    if (old != caller.finals.end() && old->second.index() != outcome.index()) {
        recordViolation("turn " + std::to_string(turn) + " was answered with two different outcomes");
    }
    const CallKey key{*caller.program, Turn{turn}};
    const auto *result = std::get_if<CallResult>(&outcome);
    const std::string expected = turn == ServiceTurn ? "done " + tokenText(key, 0) : wholeText(key);
    if (result != nullptr && result->body != expected) {
        recordViolation("turn " + std::to_string(turn) + " has a wrong answer: " + result->body);
    }
}

void Deployment::checkHistory(const CallerNode &caller, const HistoryView &view)
{
    std::uint32_t turn = 0;
    for (const TurnView &it : view.turns) {
        if (it.key != CallKey{*caller.program, Turn{++turn}}) {
            recordViolation("the history has turns out of order or of another program");
        }
        const auto final = caller.finals.find(turn);
        if (final == caller.finals.end()) {
            continue;
        }
        const auto *reported = std::get_if<CallResult>(&final->second);
        const auto *stored = it.outcome ? std::get_if<CallResult>(&*it.outcome) : nullptr;
        if ((reported == nullptr) != (stored == nullptr) || (reported != nullptr && reported->body != stored->body)) {
            recordViolation("the history differs from the answer of turn " + std::to_string(turn));
        }
    }
    for (const auto &[answered, outcome] : caller.finals) {
        if (answered > view.turns.size()) {
            recordViolation("the history does not contain turn " + std::to_string(answered));
        }
    }
    m_histories[RequestId{static_cast<std::uint64_t>(&caller - m_callers.data())}] = view;
}

void Deployment::checkPins()
{
    for (const CallerNode &caller : m_callers) {
        for (const GateNode &gate : m_gates) {
            if (caller.done && caller.program && gate.backend.pins.contains(*caller.program)) {
                recordViolation("engine memory of an ended program is still held");
            }
        }
    }
}

/** Checks outcomes, run states, engine memory and the stored histories at the end of a run. */
void Deployment::checkEnd()
{
    checkPins();
    for (std::size_t n = 0; n < m_callers.size(); n++) {
        const CallerNode &caller = m_callers[n];
        if (!caller.done) {
            recordViolation("a program did not end; its current turn is " + std::to_string(caller.turn));
            continue;
        }
        const bool allowed = caller.endedAt <= std::max(m_healedAt, TimePoint(1000s)) + (ProgramTurns + 2) * AnswerLimit;
        if (!allowed) {
            recordViolation("a program took too long after the faults had healed");
        }
        for (const auto &[turn, error] : caller.refusals) {
            int starts = 0;
            for (const GateNode &gate : m_gates) {
                const auto it = gate.backend.starts.find(CallKey{*caller.program, Turn{turn}});
                starts += it == gate.backend.starts.end() ? 0 : it->second;
            }
            if (error.run == RunState::NotRun && caller.submissions.at(turn) == 1 && starts > 0) {
                recordViolation("turn " + std::to_string(turn) + " was refused as not run, but ran");
            }
        }
        for (const auto &[turn, outcome] : caller.finals) {
            const auto *error = std::get_if<Error>(&outcome);
            int starts = 0;
            for (const GateNode &gate : m_gates) {
                const auto it = gate.backend.starts.find(CallKey{*caller.program, Turn{turn}});
                starts += it == gate.backend.starts.end() ? 0 : it->second;
            }
            if (error != nullptr && error->run == RunState::NotRun && starts > 0) {
                recordViolation("turn " + std::to_string(turn) + " ended as not run, but ran");
            }
            if (error == nullptr && starts == 0) {
                recordViolation("turn " + std::to_string(turn) + " was answered, but never ran");
            }
        }
        const RequestId id{++m_lastRequest};
        m_requests[id] = Request{n, ProgramTurns + 1, 0, false};
        m_holderStopped = true;
        const std::size_t asked = nextEntry(caller.home);
        deliverEvent(asked, CallerRequestReceived{id, CustomerName{"klokwerk"}, false, HistoryQuery{*caller.program}, 0});
        for (const TimePoint end = m_now.steady + 10s; m_now.steady < end && !m_histories.contains(RequestId{n});) {
            auto next = m_scheduled.begin();
            const auto what = std::move(next->second);
            m_now.steady = std::max(next->first.first, m_now.steady);
            m_scheduled.erase(next);
            what();
        }
        if (!m_histories.contains(RequestId{n})) {
            recordViolation("the history cannot be read at the end");
        }
    }
}

} // namespace Vanillahall
