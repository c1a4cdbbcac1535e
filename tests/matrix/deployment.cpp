#include "deployment.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration LinkLatency = 1ms;                  ///< One-way latency of a message.
constexpr Duration TickInterval = 20ms;                ///< Time between ticks.
constexpr Duration RunLimit = std::chrono::minutes(5); ///< Simulated time after which a run is stopped.
constexpr Duration PinLimit = 30s;                     ///< Engine memory of an ended program has to be free after this time.

std::string entryName(std::size_t n)
{
    return "e" + std::to_string(n);
}

std::string gateName(std::size_t n)
{
    return "g" + std::to_string(n);
}

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(name.back() - '0');
}

} // namespace

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
    , m_entries(EntryCount)
    , m_gates(GateCount)
    , m_callers(2)
{
    ConfigRow config;
    config.version = ConfigVersion{1};
    config.classes = {ClassTarget{ClassName{"urgent"}, 60s}};
    m_store.apply(StoreTransaction{{}, {RowPut{configKey(), config}}, {}});
    for (std::size_t n = 0; n < EntryCount; n++) {
        startEntry(n);
    }
    for (std::size_t n = 0; n < GateCount; n++) {
        startGate(n);
    }
    m_callers[0].home = 0;
    m_callers[1].home = 1;
    m_callers[0].budget = Budget{100000, 100, 1h};
    m_callers[1].budget = Budget{100000, 2, 1h};
    m_callers[0].behaviour = m_plan.behaviour;
}

void Deployment::run()
{
    const TimePoint begin = m_now.steady;
    schedule(begin, [this] {
        tickAll();
    });
    for (const auto &[delay, what] : m_plan.later) {
        schedule(begin + 2s + delay, [this, fault = what] {
            injectFault(fault);
        });
    }
    while (m_now.steady < begin + RunLimit) {
        auto next = m_scheduled.begin();
        const auto what = std::move(next->second);
        const TimePoint when = std::max(next->first.first, m_now.steady);
        m_now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(when - m_now.steady);
        m_now.steady = when;
        m_scheduled.erase(next);
        what();
        checkHolders();
        const bool done = std::all_of(m_callers.begin(), m_callers.end(), [this](const CallerNode &it) {
            return it.done && m_now.steady > std::max(it.endedAt, m_healedAt) + PinLimit;
        });
        if (done) {
            break;
        }
    }
    checkEnd();
}

void Deployment::schedule(TimePoint when, std::function<void()> what)
{
    m_scheduled.emplace(std::pair(when, ++m_lastSerial), std::move(what));
}

void Deployment::tickAll()
{
    schedule(m_now.steady + TickInterval, [this] {
        tickAll();
    });
    const bool second = m_now.steady.time_since_epoch() % 1s == 0s;
    for (std::size_t n = 0; n < m_gates.size(); n++) {
        for (const GateEvent &event : m_gates[n].backend.advance(m_now.steady)) {
            deliverGateEvent(n, event);
        }
        if (m_now.steady.time_since_epoch() % 500ms == 0ms) {
            deliverGateEvent(n, m_gates[n].backend.load());
        }
        deliverGateEvent(n, Tick());
    }
    for (std::size_t n = 0; n < m_entries.size(); n++) {
        if (m_entries[n].paused) {
            continue;
        }
        if (second) {
            deliverEvent(n, VmListReceived{vmList()});
        }
        deliverEvent(n, Tick());
    }
    if (m_now.steady > TimePoint(1001s)) {
        for (CallerNode &caller : m_callers) {
            tickCaller(caller);
        }
    }
    observeStream();
    checkStarts();
    if (m_now.steady.time_since_epoch() % 100ms == 0ms) {
        checkViews();
    }
}

void Deployment::startEntry(std::size_t n)
{
    EntrySettings settings;
    settings.name = EntryName{entryName(n)};
    settings.zone = ZoneName{"zone-" + std::to_string(n)};
    settings.incarnation = Incarnation{n + 1};
    settings.shard = ShardId{n + 1};
    m_entries[n].entry = std::make_unique<Entry>(settings);
}

void Deployment::startGate(std::size_t n)
{
    GateSettings settings;
    settings.server = ServerName{gateName(n)};
    settings.zone = ZoneName{"zone-" + std::to_string(n)};
    settings.incarnation = Incarnation{100 * (n + 1) + ++m_gates[n].run};
    settings.kind = n >= ServiceGate ? PoolKind::Service : PoolKind::Model;
    settings.service = ServiceName{n >= ServiceGate ? "courier" : ""};
    m_gates[n].gate = std::make_unique<Gate>(settings);
    deliverGateEvent(n, Tick());
    deliverGateEvent(n, m_gates[n].backend.load());
}

void Deployment::deliverEvent(std::size_t entry, const EntryEvent &event)
{
    EntryNode &node = m_entries[entry];
    if (!node.entry) {
        return;
    }
    if (node.paused) {
        node.backlog.push_back(event);
        return;
    }
    for (const EntryAction &action : node.entry->handle(event, m_now)) {
        executeAction(entry, action);
    }
}

void Deployment::deliverGateEvent(std::size_t gate, const GateEvent &event)
{
    if (!m_gates[gate].gate) {
        return;
    }
    for (const GateAction &action : m_gates[gate].gate->handle(event, m_now)) {
        executeGateAction(gate, action);
    }
}

void Deployment::executeAction(std::size_t entry, const EntryAction &action)
{
    if (const auto *send = std::get_if<SendToGate>(&action)) {
        sendToGate(entry, indexOf(send->server.text), send->message);
    } else if (const auto *close = std::get_if<CloseGateLink>(&action)) {
        closeLink(entry, indexOf(close->server.text));
    } else if (const auto *peerMessage = std::get_if<SendToEntry>(&action)) {
        const std::size_t peer = indexOf(peerMessage->entry.text);
        schedule(m_now.steady + LinkLatency, [this, entry, peer, message = peerMessage->message] {
            if (m_entries[peer].entry) {
                deliverEvent(peer, EntryMessageReceived{EntryName{entryName(entry)}, message});
            } else {
                deliverEvent(entry, EntryLinkLost{EntryName{entryName(peer)}});
            }
        });
    } else if (const auto *store = std::get_if<SendStoreRequest>(&action)) {
        sendStoreRequest(entry, *store);
    } else if (const auto *stream = std::get_if<StreamToCaller>(&action)) {
        const Request &request = m_requests.at(stream->request);
        CallerNode &caller = m_callers[request.caller];
        if (caller.waiting == stream->request) {
            for (const std::string &piece : stream->pieces) {
                caller.streamed += piece;
            }
            if (!wholeText(CallKey{*caller.program, Turn{request.turn}}).starts_with(caller.streamed)) {
                recordViolation("stream of turn " + std::to_string(request.turn) + " has a gap or foreign text: " + caller.streamed);
            }
        }
    } else if (const auto *answer = std::get_if<ReplyToCaller>(&action)) {
        Request &request = m_requests.at(answer->request);
        if (request.answered) {
            recordViolation("a request was answered twice");
        }
        request.answered = true;
        schedule(m_now.steady + LinkLatency, [this, id = answer->request, body = applyMutant(answer->body)] {
            Request &it = m_requests.at(id);
            onCallerResponse(m_callers[it.caller], it.turn, body);
        });
    } else if (const auto *log = std::get_if<WriteLog>(&action)) {
        addTrace(entryName(entry) + " log " + std::to_string(static_cast<int>(log->event)) + " " + log->peer + " " + log->text);
    } else if (std::holds_alternative<StopFinished>(action)) {
        addTrace(entryName(entry) + " has stopped");
        schedule(m_now.steady + LinkLatency, [this, entry] {
            killEntry(entry);
        });
    }
}

void Deployment::executeGateAction(std::size_t gate, const GateAction &action)
{
    BackendModel &backend = m_gates[gate].backend;
    const auto later = [this, gate, run = m_gates[gate].run](Duration delay, const GateEvent &event) {
        schedule(m_now.steady + delay, [this, gate, run, event] {
            if (m_gates[gate].run == run) {
                deliverGateEvent(gate, event);
            }
        });
    };
    if (const auto *send = std::get_if<SendToLink>(&action)) {
        sendToEntry(gate, send->link, send->message);
    } else if (const auto *start = std::get_if<StartServerCall>(&action)) {
        addTrace(gateName(gate) + " starts turn " + std::to_string(start->key.turn.value) + " of " + toText(start->key.program));
        for (const GateEvent &event : backend.start(*start, m_now.steady)) {
            later(LinkLatency, event);
        }
        if (start->key.turn.value == ServiceTurn && m_callers[0].program == start->key.program) {
            onStepReached(MatrixStep::ServiceRunning, 50ms);
        }
    } else if (const auto *resume = std::get_if<ResumeServerCall>(&action)) {
        for (const GateEvent &event : backend.resume(*resume)) {
            later(LinkLatency, event);
        }
    } else if (const auto *cancel = std::get_if<CancelServerCall>(&action)) {
        backend.cancel(cancel->call);
    } else if (const auto *free = std::get_if<FreeMemory>(&action)) {
        later(LinkLatency, MemoryFreed{free->program, m_plan.mutant == Mutant::MemoryKept || backend.free(free->program)});
    } else if (std::holds_alternative<FreeAllMemory>(action)) {
        backend.pins.clear();
    } else if (const auto *log = std::get_if<WriteLog>(&action)) {
        addTrace(gateName(gate) + " log " + std::to_string(static_cast<int>(log->event)) + " " + log->text);
    }
}

void Deployment::killEntry(std::size_t n)
{
    const auto alive = std::count_if(m_entries.begin(), m_entries.end(), [](const EntryNode &it) {
        return it.entry != nullptr;
    });
    if (!m_entries[n].entry || alive == 1) {
        return; // The last entry is not killed, since callers need at least one.
    }
    addTrace(entryName(n) + " is killed");
    m_entries[n].entry.reset();
    m_entries[n].paused = false;
    m_entries[n].backlog.clear();
    m_entries[n].diedAt = m_now.steady;
    for (std::size_t gate = 0; gate < GateCount; gate++) {
        closeLink(n, gate);
    }
    for (std::size_t peer = 0; peer < EntryCount; peer++) {
        schedule(m_now.steady + LinkLatency, [this, peer, n] {
            deliverEvent(peer, EntryLinkLost{EntryName{entryName(n)}});
        });
    }
    onCallerConnectionLost(n);
}

void Deployment::killGate(std::size_t n)
{
    addTrace(gateName(n) + " is killed");
    m_gates[n].gate.reset();
    m_gates[n].backend.detachGate();
    for (std::size_t entry = 0; entry < EntryCount; entry++) {
        breakLink(entry, n);
    }
    schedule(m_now.steady + 1s, [this, n] {
        addTrace(gateName(n) + " is restarted");
        startGate(n);
    });
}

std::vector<VmListing> Deployment::vmList() const
{
    std::vector<VmListing> vms;
    for (std::size_t n = 0; n < GateCount; n++) {
        vms.push_back(VmListing{gateName(n), VmRole::Server, "10.0.1." + std::to_string(n) + ":1", ZoneName{"zone-0"}, VmState::Live});
    }
    for (std::size_t n = 0; n < EntryCount; n++) {
        const EntryNode &node = m_entries[n];
        if (node.entry || m_now.steady < node.diedAt + 3s) {
            vms.push_back(VmListing{entryName(n),
                                    VmRole::Entry,
                                    "10.0.2." + std::to_string(n) + ":1",
                                    ZoneName{"zone-" + std::to_string(n)},
                                    node.leaving ? VmState::Leaving : VmState::Live});
        }
    }
    return vms;
}

} // namespace Vanillahall
