#include "deployment.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration WireTime = 1ms;                     ///< Time of a message on a link.
constexpr Duration TickTime = 20ms;                    ///< Time between ticks.
constexpr Duration RunLimit = std::chrono::minutes(5); ///< Longest run of a deployment.
constexpr Duration PinLimit = 30s;                     ///< Memory of an ended program is free after this.

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
        makeEntry(n);
    }
    for (std::size_t n = 0; n < GateCount; n++) {
        makeGate(n);
    }
    m_callers[0].home = 0;
    m_callers[1].home = 1;
    m_callers[0].budget = Budget{100000, 100, 1h};
    m_callers[1].budget = Budget{100000, 2, 1h};
    m_callers[0].mood = m_plan.mood;
}

void Deployment::run()
{
    const TimePoint begin = m_now.steady;
    at(begin, [this] {
        tickAll();
    });
    for (const auto &[delay, what] : m_plan.later) {
        at(begin + 2s + delay, [this, fault = what] {
            strike(fault);
        });
    }
    while (m_now.steady < begin + RunLimit) {
        auto next = m_queue.begin();
        const auto what = std::move(next->second);
        const TimePoint when = std::max(next->first.first, m_now.steady);
        m_now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(when - m_now.steady);
        m_now.steady = when;
        m_queue.erase(next);
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

void Deployment::at(TimePoint when, std::function<void()> what)
{
    m_queue.emplace(std::pair(when, ++m_serial), std::move(what));
}

void Deployment::tickAll()
{
    at(m_now.steady + TickTime, [this] {
        tickAll();
    });
    const bool second = m_now.steady.time_since_epoch() % 1s == 0s;
    for (std::size_t n = 0; n < m_gates.size(); n++) {
        for (const GateEvent &event : m_gates[n].backend.advance(m_now.steady)) {
            giveGate(n, event);
        }
        if (m_now.steady.time_since_epoch() % 500ms == 0ms) {
            giveGate(n, m_gates[n].backend.load());
        }
        giveGate(n, Tick());
    }
    for (std::size_t n = 0; n < m_entries.size(); n++) {
        if (m_entries[n].paused) {
            continue;
        }
        if (second) {
            give(n, VmListReceived{vmList()});
        }
        give(n, Tick());
    }
    if (m_now.steady > TimePoint(1001s)) {
        for (CallerNode &caller : m_callers) {
            callerTick(caller);
        }
    }
    watchStream();
    checkStarts();
    if (m_now.steady.time_since_epoch() % 100ms == 0ms) {
        checkViews();
    }
}

void Deployment::makeEntry(std::size_t n)
{
    EntrySettings settings;
    settings.name = EntryName{entryName(n)};
    settings.zone = ZoneName{"zone-" + std::to_string(n)};
    settings.incarnation = Incarnation{n + 1};
    settings.shard = ShardId{n + 1};
    m_entries[n].entry = std::make_unique<Entry>(settings);
}

void Deployment::makeGate(std::size_t n)
{
    GateSettings settings;
    settings.server = ServerName{gateName(n)};
    settings.zone = ZoneName{"zone-" + std::to_string(n)};
    settings.incarnation = Incarnation{100 * (n + 1) + ++m_gates[n].run};
    settings.kind = n >= ServiceGate ? PoolKind::Service : PoolKind::Model;
    settings.service = ServiceName{n >= ServiceGate ? "courier" : ""};
    m_gates[n].gate = std::make_unique<Gate>(settings);
    giveGate(n, Tick());
    giveGate(n, m_gates[n].backend.load());
}

void Deployment::give(std::size_t entry, const EntryEvent &event)
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
        carryOut(entry, action);
    }
}

void Deployment::giveGate(std::size_t gate, const GateEvent &event)
{
    if (!m_gates[gate].gate) {
        return;
    }
    for (const GateAction &action : m_gates[gate].gate->handle(event, m_now)) {
        carryOutAtGate(gate, action);
    }
}

void Deployment::carryOut(std::size_t entry, const EntryAction &action)
{
    if (const auto *send = std::get_if<SendToGate>(&action)) {
        sendToGate(entry, indexOf(send->server.text), send->message);
    } else if (const auto *gone = std::get_if<CloseGateLink>(&action)) {
        forget(entry, indexOf(gone->server.text));
    } else if (const auto *say = std::get_if<SendToEntry>(&action)) {
        const std::size_t peer = indexOf(say->entry.text);
        at(m_now.steady + WireTime, [this, entry, peer, message = say->message] {
            if (m_entries[peer].entry) {
                give(peer, EntryMessageReceived{EntryName{entryName(entry)}, message});
            } else {
                give(entry, EntryLinkLost{EntryName{entryName(peer)}});
            }
        });
    } else if (const auto *store = std::get_if<SendStoreRequest>(&action)) {
        ask(entry, *store);
    } else if (const auto *stream = std::get_if<StreamToCaller>(&action)) {
        const Request &request = m_requests.at(stream->request);
        CallerNode &caller = m_callers[request.caller];
        if (caller.waiting == stream->request) {
            for (const std::string &piece : stream->pieces) {
                caller.streamed += piece;
            }
            if (!wholeText(CallKey{*caller.program, Turn{request.turn}}).starts_with(caller.streamed)) {
                fault("stream of turn " + std::to_string(request.turn) + " has a gap or foreign text: " + caller.streamed);
            }
        }
    } else if (const auto *answer = std::get_if<ReplyToCaller>(&action)) {
        Request &request = m_requests.at(answer->request);
        if (request.answered) {
            fault("a request was answered twice");
        }
        request.answered = true;
        at(m_now.steady + WireTime, [this, id = answer->request, body = mutated(answer->body)] {
            Request &it = m_requests.at(id);
            callerAnswered(m_callers[it.caller], it.turn, body);
        });
    } else if (const auto *log = std::get_if<WriteLog>(&action)) {
        note(entryName(entry) + " log " + std::to_string(static_cast<int>(log->event)) + " " + log->peer + " " + log->text);
    } else if (std::holds_alternative<StopFinished>(action)) {
        note(entryName(entry) + " has stopped");
        at(m_now.steady + WireTime, [this, entry] {
            killEntry(entry);
        });
    }
}

void Deployment::carryOutAtGate(std::size_t gate, const GateAction &action)
{
    BackendModel &backend = m_gates[gate].backend;
    const auto later = [this, gate, run = m_gates[gate].run](Duration delay, const GateEvent &event) {
        at(m_now.steady + delay, [this, gate, run, event] {
            if (m_gates[gate].run == run) {
                giveGate(gate, event);
            }
        });
    };
    if (const auto *send = std::get_if<SendToLink>(&action)) {
        sendToEntry(gate, send->link, send->message);
    } else if (const auto *start = std::get_if<StartServerCall>(&action)) {
        note(gateName(gate) + " starts turn " + std::to_string(start->key.turn.value) + " of " + toText(start->key.program));
        for (const GateEvent &event : backend.start(*start, m_now.steady)) {
            later(WireTime, event);
        }
        if (start->key.turn.value == ServiceTurn && m_callers[0].program == start->key.program) {
            reached(MatrixStep::ServiceRunning, 50ms);
        }
    } else if (const auto *resume = std::get_if<ResumeServerCall>(&action)) {
        for (const GateEvent &event : backend.resume(*resume)) {
            later(WireTime, event);
        }
    } else if (const auto *cancel = std::get_if<CancelServerCall>(&action)) {
        backend.cancel(cancel->call);
    } else if (const auto *free = std::get_if<FreeMemory>(&action)) {
        later(WireTime, MemoryFreed{free->program, m_plan.mutant == Mutant::MemoryKept || backend.free(free->program)});
    } else if (std::holds_alternative<FreeAllMemory>(action)) {
        backend.pins.clear();
    } else if (const auto *log = std::get_if<WriteLog>(&action)) {
        note(gateName(gate) + " log " + std::to_string(static_cast<int>(log->event)) + " " + log->text);
    }
}

void Deployment::killEntry(std::size_t n)
{
    const auto alive = std::count_if(m_entries.begin(), m_entries.end(), [](const EntryNode &it) {
        return it.entry != nullptr;
    });
    if (!m_entries[n].entry || alive == 1) {
        return; // The last entry stays, for there is nobody to ask without it.
    }
    note(entryName(n) + " dies");
    m_entries[n].entry.reset();
    m_entries[n].paused = false;
    m_entries[n].backlog.clear();
    m_entries[n].diedAt = m_now.steady;
    for (std::size_t gate = 0; gate < GateCount; gate++) {
        forget(n, gate);
    }
    for (std::size_t peer = 0; peer < EntryCount; peer++) {
        at(m_now.steady + WireTime, [this, peer, n] {
            give(peer, EntryLinkLost{EntryName{entryName(n)}});
        });
    }
    callerLost(n);
}

void Deployment::killGate(std::size_t n)
{
    note(gateName(n) + " dies");
    m_gates[n].gate.reset();
    m_gates[n].backend.orphan();
    for (std::size_t entry = 0; entry < EntryCount; entry++) {
        cut(entry, n);
    }
    at(m_now.steady + 1s, [this, n] {
        note(gateName(n) + " is started again");
        makeGate(n);
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
