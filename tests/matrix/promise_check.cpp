#include "deployment.h"
#include "entry_state.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration AnswerLimit = 60s; ///< After the faults have healed, every turn has its final answer by then.

} // namespace

void Deployment::fault(const std::string &text)
{
    if (std::find(faults.begin(), faults.end(), text) == faults.end()) {
        faults.push_back(text);
    }
    note("BROKEN: " + text);
}

void Deployment::note(const std::string &text)
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
                fault("two entries may order for a shard");
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
                    fault("a budget was exceeded");
                }
            }
        }
    }
}

/** Looks at every call that was begun at a backend server. */
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
            fault("a non-repeatable call was begun twice");
        }
    }
    std::size_t seen = 0;
    for (const GateNode &gate : m_gates) {
        seen += gate.backend.begun.size();
    }
    if (seen == m_startsSeen) {
        return;
    }
    m_startsSeen = seen;
    for (const GateNode &gate : m_gates) {
        if (gate.backend.begun.empty()) {
            continue;
        }
        const StartServerCall &start = gate.backend.begun.back();
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
                fault("a prompt holds text of another program");
            }
            if (!own) {
                continue;
            }
            for (std::uint32_t turn = 1; turn < start.key.turn.value; turn++) {
                const auto it = caller.finals.find(turn);
                const bool result = it != caller.finals.end() && std::holds_alternative<CallResult>(it->second);
                const bool text = turn != ServiceTurn; // Callers put what services gave into their next message themselves.
                if (result && text && prompt.find(wholeText(CallKey{start.key.program, Turn{turn}})) == std::string::npos) {
                    fault("a prompt lacks turn " + std::to_string(turn));
                }
                if (it == caller.finals.end()) {
                    fault("turn " + std::to_string(start.key.turn.value) + " began before turn " + std::to_string(turn) + " was answered");
                }
            }
        }
    }
}

void Deployment::checkOutcome(const CallerNode &caller, std::uint32_t turn, const CallOutcome &outcome)
{
    const auto old = caller.finals.find(turn);
    if (old != caller.finals.end() && old->second.index() != outcome.index()) {
        fault("turn " + std::to_string(turn) + " was answered in two ways");
    }
    const CallKey key{*caller.program, Turn{turn}};
    const auto *result = std::get_if<CallResult>(&outcome);
    const std::string expected = turn == ServiceTurn ? "done " + tokenText(key, 0) : wholeText(key);
    if (result != nullptr && result->body != expected) {
        fault("turn " + std::to_string(turn) + " has a wrong answer: " + result->body);
    }
}

void Deployment::checkHistory(const CallerNode &caller, const HistoryView &view)
{
    std::uint32_t turn = 0;
    for (const TurnView &it : view.turns) {
        if (it.key != CallKey{*caller.program, Turn{++turn}}) {
            fault("the history is out of order or mixed");
        }
        const auto final = caller.finals.find(turn);
        if (final == caller.finals.end()) {
            continue;
        }
        const auto *told = std::get_if<CallResult>(&final->second);
        const auto *kept = it.outcome ? std::get_if<CallResult>(&*it.outcome) : nullptr;
        if ((told == nullptr) != (kept == nullptr) || (told != nullptr && told->body != kept->body)) {
            fault("the history differs from the answer of turn " + std::to_string(turn));
        }
    }
    for (const auto &[answered, outcome] : caller.finals) {
        if (answered > view.turns.size()) {
            fault("the history lacks turn " + std::to_string(answered));
        }
    }
    m_histories[RequestId{static_cast<std::uint64_t>(&caller - m_callers.data())}] = view;
}

void Deployment::checkPins()
{
    for (const CallerNode &caller : m_callers) {
        for (const GateNode &gate : m_gates) {
            if (caller.done && caller.program && gate.backend.pins.contains(*caller.program)) {
                fault("engine memory of an ended program is still held");
            }
        }
    }
}

/** Looks at everything once the programs have ended. */
void Deployment::checkEnd()
{
    checkPins();
    for (std::size_t n = 0; n < m_callers.size(); n++) {
        const CallerNode &caller = m_callers[n];
        if (!caller.done) {
            fault("a program did not come to its end; it stands at turn " + std::to_string(caller.turn));
            continue;
        }
        const bool allowed = caller.endedAt <= std::max(m_healedAt, TimePoint(1000s)) + (ProgramTurns + 2) * AnswerLimit;
        if (!allowed) {
            fault("a program took too long after the faults had healed");
        }
        for (const auto &[turn, error] : caller.refusals) {
            int starts = 0;
            for (const GateNode &gate : m_gates) {
                const auto it = gate.backend.starts.find(CallKey{*caller.program, Turn{turn}});
                starts += it == gate.backend.starts.end() ? 0 : it->second;
            }
            if (error.run == RunState::NotRun && caller.submissions.at(turn) == 1 && starts > 0) {
                fault("turn " + std::to_string(turn) + " was refused as not run, and ran");
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
                fault("turn " + std::to_string(turn) + " ended as not run, and ran");
            }
            if (error == nullptr && starts == 0) {
                fault("turn " + std::to_string(turn) + " was answered and never ran");
            }
        }
        const RequestId id{++m_lastRequest};
        m_requests[id] = Request{n, ProgramTurns + 1, 0, false};
        m_preludeDone = true;
        const std::size_t asked = nextEntry(caller.home);
        give(asked, CallerRequestReceived{id, CustomerName{"klokwerk"}, false, HistoryQuery{*caller.program}, 0});
        for (const TimePoint end = m_now.steady + 10s; m_now.steady < end && !m_histories.contains(RequestId{n});) {
            auto next = m_queue.begin();
            const auto what = std::move(next->second);
            m_now.steady = std::max(next->first.first, m_now.steady);
            m_queue.erase(next);
            what();
        }
        if (!m_histories.contains(RequestId{n})) {
            fault("the history can't be read at the end");
        }
    }
}

} // namespace Vanillahall
