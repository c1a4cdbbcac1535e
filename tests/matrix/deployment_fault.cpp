#include "deployment.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration PauseTime = 6s;       ///< Longer than a lease.
constexpr Duration OrderDelay = 15s;     ///< Longer than a program.
constexpr Duration ShortOrderDelay = 4s; ///< Longer than a takeover; the program still runs at its next holder.
constexpr Duration CutOffTime = 8s;      ///< Longer than a takeover.
constexpr Duration OutageTime = 20s;     ///< Of the store.
constexpr Duration HangTime = 40s;       ///< Of a backend server.
constexpr Duration BetweenFaults = 20ms; ///< From the first to the second.

/** @return True if a transaction has a record of this type. */
template<typename Record>
bool hasRecord(const StoreRequest &request)
{
    const auto *transaction = std::get_if<StoreTransaction>(&request);
    if (transaction == nullptr) {
        return false;
    }
    return std::any_of(transaction->puts.begin(), transaction->puts.end(), [](const RowPut &put) {
        const auto *segment = std::get_if<Segment>(&put.value);
        return segment != nullptr && std::any_of(segment->records.begin(), segment->records.end(), [](const JournalRecord &it) {
                   return std::holds_alternative<Record>(it);
               });
    });
}

/** Replaces every record of a type by one without effect, so that the numbers stay. */
template<typename Record>
void blank(StoreRequest &request)
{
    auto *transaction = std::get_if<StoreTransaction>(&request);
    if (transaction == nullptr) {
        return;
    }
    for (RowPut &put : transaction->puts) {
        auto *segment = std::get_if<Segment>(&put.value);
        if (segment == nullptr) {
            continue;
        }
        for (JournalRecord &it : segment->records) {
            if (const auto *record = std::get_if<Record>(&it)) {
                it = OutcomeSettled{CallKey{record->key.program, Turn{99}}, true, "mutant"};
            }
        }
    }
}

} // namespace

std::size_t Deployment::holder() const
{
    if (m_taker) {
        return *m_taker;
    }
    if (m_callers[0].program) {
        for (std::size_t n = 0; n < EntryCount; n++) {
            if (!m_entries[n].entry) {
                continue;
            }
            for (const ShardView &shard : entryView(m_entries[n].entry->state()).shards) {
                if (shard.shard == m_callers[0].program->shard && shard.phase == ShardPhase::Held) {
                    return n;
                }
            }
        }
    }
    return m_callers[0].home;
}

std::size_t Deployment::gateConcerned() const
{
    switch (m_plan.step) {
    case MatrixStep::ServiceBeforeIntent:
    case MatrixStep::ServiceIntentNotSent:
    case MatrixStep::ServiceRunning:
    case MatrixStep::ServiceFinishedNotDurable:
        return m_lastService;
    default:
        return m_lastGate;
    }
}

void Deployment::reached(MatrixStep step, Duration delay)
{
    if (fired || step != m_plan.step || !m_plan.first) {
        return;
    }
    fired = true;
    m_healedAt = m_now.steady + delay;
    at(m_now.steady + delay, [this] {
        strike(*m_plan.first);
    });
    if (m_plan.second) {
        at(m_now.steady + delay + BetweenFaults, [this] {
            strike(*m_plan.second);
        });
    }
}

void Deployment::strike(MatrixFault fault)
{
    const std::size_t victim = holder();
    const std::size_t gate = gateConcerned();
    const auto heals = [this](Duration after) {
        m_healedAt = std::max(m_healedAt, m_now.steady + after);
    };
    heals(0s);
    note("fault " + std::to_string(static_cast<int>(fault)) + ", holder e" + std::to_string(victim) + ", gate g" + std::to_string(gate));
    switch (fault) {
    case MatrixFault::HolderDies:
        killEntry(victim);
        return;
    case MatrixFault::HolderPaused:
        m_entries[victim].paused = m_entries[victim].entry != nullptr;
        heals(PauseTime);
        at(m_now.steady + PauseTime, [this, victim] {
            note("e" + std::to_string(victim) + " wakes");
            m_entries[victim].paused = false;
            for (std::deque<EntryEvent> events = std::move(m_entries[victim].backlog); !events.empty(); events.pop_front()) {
                give(victim, events.front());
            }
            m_entries[victim].backlog.clear();
        });
        return;
    case MatrixFault::GateRestarts:
        if (m_gates[gate].gate) {
            killGate(gate);
        }
        heals(1s);
        return;
    case MatrixFault::BackendRestarts:
        for (const GateEvent &event : m_gates[gate].backend.die()) {
            giveGate(gate, event);
        }
        heals(1s);
        at(m_now.steady + 1s, [this, gate] {
            m_gates[gate].backend.up = true;
        });
        return;
    case MatrixFault::StoreDown:
        m_storeDownUntil = m_now.steady + OutageTime;
        heals(OutageTime);
        return;
    case MatrixFault::StoreSlow:
        m_storeSlowUntil = m_now.steady + OutageTime;
        heals(OutageTime);
        return;
    case MatrixFault::AnswerLost:
        m_answersLostUntil = m_now.steady + 1s;
        heals(1s);
        return;
    case MatrixFault::WriteDelayed:
        m_entries[victim].writesLateUntil = m_now.steady + 1s;
        heals(8s);
        at(m_now.steady + 300ms, [this, victim] {
            killEntry(victim);
        });
        return;
    case MatrixFault::LinkSilent:
        m_wires[{victim, gate}].silent = true;
        return;
    case MatrixFault::LinkCut:
        cut(victim, gate);
        return;
    case MatrixFault::OrderDelayed:
    case MatrixFault::OrderLate: {
        const Duration delay = fault == MatrixFault::OrderLate ? ShortOrderDelay : OrderDelay;
        for (std::size_t n = 0; n < GateCount; n++) {
            m_wires[{victim, n}].stallUntil = m_now.steady + delay;
        }
        heals(delay);
        at(m_now.steady + 100ms, [this, victim] {
            killEntry(victim);
        });
        return;
    }
    case MatrixFault::GateCutOff:
        m_gates[gate].onlyEntry = victim;
        m_gates[gate].cutOffUntil = m_now.steady + CutOffTime;
        heals(CutOffTime);
        return;
    case MatrixFault::AnswerDoubled:
        m_doubledUntil = m_now.steady + 10s;
        heals(10s);
        return;
    case MatrixFault::ToolHangs:
        m_gates[gate].backend.hangs = true;
        heals(HangTime);
        at(m_now.steady + HangTime, [this, gate] {
            m_gates[gate].backend.hangs = false;
        });
        return;
    case MatrixFault::EngineIgnoresOrders:
        for (GateNode &it : m_gates) {
            it.backend.ignoresCancel = true;
            it.backend.ignoredFrees = 2;
        }
        return;
    }
}

void Deployment::watchStore(std::size_t entry, const StoreRequest &request)
{
    if (!m_callers[0].program || m_plan.step == MatrixStep::TakeoverLoading) {
        const auto *transaction = std::get_if<StoreTransaction>(&request);
        if (transaction == nullptr || !m_preludeDone || m_taker) {
            return;
        }
        for (const RowPut &put : transaction->puts) {
            const auto *lease = std::get_if<LeaseRow>(&put.value);
            if (lease != nullptr && lease->shard == m_callers[0].program->shard) {
                m_taker = entry;
                reached(MatrixStep::TakeoverLoading, 10ms);
            }
        }
        return;
    }
    if (entry != holder()) {
        return;
    }
    if (hasRecord<CallIntended>(request)) {
        reached(MatrixStep::ServiceIntentNotSent, 5ms);
    }
    if (hasRecord<TurnFinished>(request)) {
        reached(MatrixStep::CommitInFlight, 1ms);
    }
}

void Deployment::watchStream()
{
    if (!m_callers[0].program || m_callers[0].turn != 1 || m_gates[m_lastGate].backend.progress() < 5) {
        return;
    }
    reached(MatrixStep::ModelInStream);
    if (m_preludeDone || !m_plan.first) {
        return;
    }
    if (m_plan.step == MatrixStep::TakeoverLoading) {
        m_preludeDone = true;
        killEntry(holder());
    } else if (m_plan.step == MatrixStep::PlannedStop) {
        m_preludeDone = true;
        const std::size_t victim = holder();
        m_entries[victim].leaving = true;
        give(victim, StopRequested());
        reached(MatrixStep::PlannedStop, 100ms);
    }
}

EntryToGate Deployment::mutated(std::size_t gate, EntryToGate message)
{
    std::visit(
        [&](auto &it) {
            if constexpr (requires { it.fence; }) {
                if (m_plan.mutant == Mutant::NoFence && isLapsed(gate, it.fence)) {
                    const GateTime clock(m_now.steady.time_since_epoch());
                    const Incarnation run = gateStatus(m_gates[gate].gate->state(), 0, m_now).incarnation;
                    it.fence = Fence{it.fence.shard, m_epochs.at({gate, it.fence.shard}), run, clock + 1s};
                }
            }
        },
        message);
    const auto *run = std::get_if<RunCall>(&message);
    if (m_plan.mutant == Mutant::NoDedup && run != nullptr && gate >= ServiceGate) {
        m_gates[gate].backend.start(StartServerCall{ServerCallId{900000 + ++m_serial}, run->key, run->body, 0, 30s}, m_now.steady);
    }
    return message;
}

GateToEntry Deployment::mutated(GateToEntry message) const
{
    if (auto *finished = std::get_if<CallFinished>(&message)) {
        if (auto *error = std::get_if<Error>(&finished->outcome); error != nullptr && m_plan.mutant == Mutant::RetryUnknown) {
            error->run = RunState::NotRun;
            error->code = ErrorCode::ServerRefused;
        }
    }
    if (auto *refused = std::get_if<CallRefused>(&message); refused != nullptr && m_plan.mutant == Mutant::RetryUnknown) {
        refused->error.run = RunState::NotRun;
    }
    return message;
}

StoreRequest Deployment::mutated(StoreRequest request) const
{
    if (m_plan.mutant == Mutant::NoIntent) {
        blank<CallIntended>(request);
    } else if (m_plan.mutant == Mutant::WriteForgotten) {
        blank<TurnFinished>(request);
    } else if (auto *it = std::get_if<StoreTransaction>(&request); it != nullptr && m_plan.mutant == Mutant::NoCondition) {
        it->conditions.clear();
    }
    return request;
}

CallerAnswer Deployment::mutated(CallerAnswer answer) const
{
    auto *answered = std::get_if<CallAnswered>(&answer);
    if (answered == nullptr) {
        return answer;
    }
    if (auto *error = std::get_if<Error>(&answered->outcome); error != nullptr && m_plan.mutant == Mutant::NotRunLie) {
        error->run = RunState::NotRun;
    }
    if (auto *result = std::get_if<CallResult>(&answered->outcome); result != nullptr && m_plan.mutant == Mutant::TokenLost) {
        result->body = result->body.substr(result->body.find(' ') + 1);
    }
    const auto &other = m_callers[answered->key.program == m_callers[0].program ? 1 : 0];
    if (auto *result = std::get_if<CallResult>(&answered->outcome);
        result != nullptr && m_plan.mutant == Mutant::CrossedAnswer && other.program && answered->key.turn.value != ServiceTurn) {
        result->body = wholeText(CallKey{*other.program, answered->key.turn});
    }
    return answer;
}

} // namespace Vanillahall
