#include "deployment.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration PauseTime = 6s;          ///< Longer than a lease.
constexpr Duration OrderDelay = 15s;        ///< Longer than the run of a program.
constexpr Duration ShortOrderDelay = 4s;    ///< Longer than a takeover, but the program is still running at its next holder.
constexpr Duration CutOffTime = 8s;         ///< Longer than a takeover.
constexpr Duration OutageTime = 20s;        ///< Duration of a store outage or slow-down.
constexpr Duration HangTime = 40s;          ///< Duration for which a backend server hangs.
constexpr Duration SecondFaultDelay = 20ms; ///< Delay between the first and the second fault of a cell.

/** @return True if the request is a transaction with a record of this type. */
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

/** Replaces every record of a type by one without effect, so that the sequence numbers do not change. */
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
    if (m_takeoverEntry) {
        return *m_takeoverEntry;
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

std::size_t Deployment::affectedGate() const
{
    switch (m_plan.step) {
    case MatrixStep::ServiceBeforeIntent:
    case MatrixStep::ServiceIntentNotSent:
    case MatrixStep::ServiceRunning:
    case MatrixStep::ServiceFinishedNotDurable:
        return m_lastServiceGate;
    default:
        return m_lastModelGate;
    }
}

void Deployment::onStepReached(MatrixStep step, Duration delay)
{
    if (stepReached || step != m_plan.step || !m_plan.first) {
        return;
    }
    stepReached = true;
    m_healedAt = m_now.steady + delay;
    schedule(m_now.steady + delay, [this] {
        injectFault(*m_plan.first);
    });
    if (m_plan.second) {
        schedule(m_now.steady + delay + SecondFaultDelay, [this] {
            injectFault(*m_plan.second);
        });
    }
}

void Deployment::injectFault(MatrixFault fault)
{
    const std::size_t victim = holder();
    const std::size_t gate = affectedGate();
    const auto heals = [this](Duration after) {
        m_healedAt = std::max(m_healedAt, m_now.steady + after);
    };
    heals(0s);
    addTrace("fault " + std::to_string(static_cast<int>(fault)) + ", holder e" + std::to_string(victim) + ", gate g"
             + std::to_string(gate));
    switch (fault) {
    case MatrixFault::HolderDies:
        killEntry(victim);
        return;
    case MatrixFault::HolderPaused:
        m_entries[victim].paused = m_entries[victim].entry != nullptr;
        heals(PauseTime);
        schedule(m_now.steady + PauseTime, [this, victim] {
            addTrace("e" + std::to_string(victim) + " resumes");
            m_entries[victim].paused = false;
            for (std::deque<EntryEvent> events = std::move(m_entries[victim].backlog); !events.empty(); events.pop_front()) {
                deliverEvent(victim, events.front());
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
        for (const GateEvent &event : m_gates[gate].backend.crash()) {
            deliverGateEvent(gate, event);
        }
        heals(1s);
        schedule(m_now.steady + 1s, [this, gate] {
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
        m_repliesLostUntil = m_now.steady + 1s;
        heals(1s);
        return;
    case MatrixFault::WriteDelayed:
        m_entries[victim].writesLateUntil = m_now.steady + 1s;
        heals(8s);
        schedule(m_now.steady + 300ms, [this, victim] {
            killEntry(victim);
        });
        return;
    case MatrixFault::LinkSilent:
        m_connections[{victim, gate}].silent = true;
        return;
    case MatrixFault::LinkCut:
        breakLink(victim, gate);
        return;
    case MatrixFault::OrderDelayed:
    case MatrixFault::OrderLate: {
        const Duration delay = fault == MatrixFault::OrderLate ? ShortOrderDelay : OrderDelay;
        for (std::size_t n = 0; n < GateCount; n++) {
            m_connections[{victim, n}].stallUntil = m_now.steady + delay;
        }
        heals(delay);
        schedule(m_now.steady + 100ms, [this, victim] {
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
        m_duplicateUntil = m_now.steady + 10s;
        heals(10s);
        return;
    case MatrixFault::ToolHangs:
        m_gates[gate].backend.hangs = true;
        heals(HangTime);
        schedule(m_now.steady + HangTime, [this, gate] {
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

void Deployment::observeStoreRequest(std::size_t entry, const StoreRequest &request)
{
    if (!m_callers[0].program || m_plan.step == MatrixStep::TakeoverLoading) {
        const auto *transaction = std::get_if<StoreTransaction>(&request);
        if (transaction == nullptr || !m_holderStopped || m_takeoverEntry) {
            return;
        }
        for (const RowPut &put : transaction->puts) {
            const auto *lease = std::get_if<LeaseRow>(&put.value);
            if (lease != nullptr && lease->shard == m_callers[0].program->shard) {
                m_takeoverEntry = entry;
                onStepReached(MatrixStep::TakeoverLoading, 10ms);
            }
        }
        return;
    }
    if (entry != holder()) {
        return;
    }
    if (hasRecord<CallIntended>(request)) {
        onStepReached(MatrixStep::ServiceIntentNotSent, 5ms);
    }
    if (hasRecord<TurnFinished>(request)) {
        onStepReached(MatrixStep::CommitInFlight, 1ms);
    }
}

void Deployment::observeStream()
{
    if (!m_callers[0].program || m_callers[0].turn != 1 || m_gates[m_lastModelGate].backend.progress() < 5) {
        return;
    }
    onStepReached(MatrixStep::ModelInStream);
    if (m_holderStopped || !m_plan.first) {
        return;
    }
    if (m_plan.step == MatrixStep::TakeoverLoading) {
        m_holderStopped = true;
        killEntry(holder());
    } else if (m_plan.step == MatrixStep::PlannedStop) {
        m_holderStopped = true;
        const std::size_t victim = holder();
        m_entries[victim].leaving = true;
        deliverEvent(victim, StopRequested());
        onStepReached(MatrixStep::PlannedStop, 100ms);
    }
}

EntryToGate Deployment::applyMutant(std::size_t gate, EntryToGate message)
{
    std::visit(
        [&](auto &it) {
            if constexpr (requires { it.fence; }) {
                if (m_plan.mutant == Mutant::NoFence && isOutdated(gate, it.fence)) {
                    const GateTime clock(m_now.steady.time_since_epoch());
                    const Incarnation run = gateStatus(m_gates[gate].gate->state(), 0, m_now).incarnation;
                    it.fence = Fence{it.fence.shard, m_newestEpochs.at({gate, it.fence.shard}), run, clock + 1s};
                }
            }
        },
        message);
    const auto *run = std::get_if<RunCall>(&message);
    if (m_plan.mutant == Mutant::NoDedup && run != nullptr && gate >= ServiceGate) {
        m_gates[gate].backend.start(StartServerCall{ServerCallId{900000 + ++m_lastSerial}, run->key, run->body, 0, 30s}, m_now.steady);
    }
    return message;
}

GateToEntry Deployment::applyMutant(GateToEntry message) const
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

StoreRequest Deployment::applyMutant(StoreRequest request) const
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

CallerAnswer Deployment::applyMutant(CallerAnswer answer) const
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
