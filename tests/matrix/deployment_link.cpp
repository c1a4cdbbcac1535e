#include "deployment.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration WireTime = 1ms; ///< Time of a message on a link.

std::string entryName(std::size_t n)
{
    return "e" + std::to_string(n);
}

std::string gateName(std::size_t n)
{
    return "g" + std::to_string(n);
}

} // namespace

// Links.

void Deployment::sendToGate(std::size_t entry, std::size_t gate, EntryToGate message)
{
    if (const auto *run = std::get_if<RunCall>(&message); run != nullptr && m_callers[0].program == run->key.program) {
        (gate >= ServiceGate ? m_lastService : m_lastGate) = gate;
        note(entryName(entry) + " orders turn " + std::to_string(run->key.turn.value) + " attempt " + std::to_string(run->attempt.value)
             + " from " + gateName(gate));
        if (run->key.turn.value == 1) {
            reached(MatrixStep::ModelBeforeStart);
        }
    }
    GateWire &wire = m_wires[{entry, gate}];
    if (!m_gates[gate].gate) {
        at(m_now.steady + WireTime, [this, entry, gate] {
            give(entry, GateLinkLost{ServerName{gateName(gate)}});
        });
        return;
    }
    if (!wire.open) {
        wire = GateWire{true, LinkId{++m_lastLink}, false, TimePoint()};
    }
    if (wire.silent || isCutOff(entry, gate)) {
        return;
    }
    at(std::max(m_now.steady + WireTime, wire.stallUntil), [this, gate, run = m_gates[gate].run, id = wire.id, body = std::move(message)] {
        if (m_gates[gate].gate && m_gates[gate].run == run && !m_cut.contains(id)) {
            deliverOrder(gate, id, body);
        }
    });
}

void Deployment::deliverOrder(std::size_t gate, LinkId link, const EntryToGate &message)
{
    std::visit(
        [&](const auto &it) {
            if constexpr (requires { it.fence; }) {
                Epoch &newest = m_epochs[{gate, it.fence.shard}];
                newest = std::max(newest, it.fence.epoch);
            }
        },
        message);
    const auto *run = std::get_if<RunCall>(&message);
    const bool lapsed = run != nullptr && isLapsed(gate, run->fence);
    const std::vector<StartServerCall> &begun = m_gates[gate].backend.begun;
    const std::size_t before = begun.size();
    giveGate(gate, OrderReceived{link, mutated(gate, message)});
    if (lapsed && begun.size() > before && begun.back().key == run->key) {
        fault("a call was begun by an order that had lapsed");
    }
}

bool Deployment::isCutOff(std::size_t entry, std::size_t gate) const
{
    return m_now.steady < m_gates[gate].cutOffUntil && entry != m_gates[gate].onlyEntry;
}

bool Deployment::isLapsed(std::size_t gate, const Fence &fence) const
{
    const auto newest = m_epochs.find({gate, fence.shard});
    const bool stale = newest != m_epochs.end() && fence.epoch < newest->second;
    const GateTime clock(m_now.steady.time_since_epoch());
    return stale || fence.validUntil < clock || fence.incarnation != gateStatus(m_gates[gate].gate->state(), 0, m_now).incarnation;
}

void Deployment::sendToEntry(std::size_t gate, LinkId link, const GateToEntry &message)
{
    for (auto &[ends, wire] : m_wires) {
        if (ends.second != gate || wire.id != link || !wire.open || wire.silent) {
            continue;
        }
        const auto *finished = std::get_if<CallFinished>(&message);
        if (finished != nullptr && m_callers[0].program == finished->key.program) {
            reached(finished->key.turn.value == ServiceTurn ? MatrixStep::ServiceFinishedNotDurable : MatrixStep::ModelFinishedNotDurable);
        }
        deliverToEntry(ends.first, gate, link, mutated(message), WireTime);
        if (m_now.steady < m_doubledUntil) {
            deliverToEntry(ends.first, gate, link, mutated(message), WireTime + 70ms);
        }
    }
}

void Deployment::deliverToEntry(std::size_t entry, std::size_t gate, LinkId link, const GateToEntry &message, Duration delay)
{
    at(m_now.steady + delay, [this, entry, gate, link, message] {
        const GateWire &wire = m_wires[{entry, gate}];
        if (wire.open && wire.id == link && !wire.silent && !isCutOff(entry, gate)) {
            give(entry, GateMessageReceived{ServerName{gateName(gate)}, message});
        }
    });
}

void Deployment::forget(std::size_t entry, std::size_t gate)
{
    GateWire &wire = m_wires[{entry, gate}];
    if (!wire.open) {
        return;
    }
    wire.open = false;
    const TimePoint when = wire.silent ? m_now.steady + 15s : std::max(m_now.steady + WireTime, wire.stallUntil);
    at(when, [this, gate, id = wire.id] {
        giveGate(gate, LinkLost{id});
    });
}

void Deployment::cut(std::size_t entry, std::size_t gate)
{
    GateWire &wire = m_wires[{entry, gate}];
    if (!wire.open) {
        return;
    }
    m_cut.insert(wire.id);
    forget(entry, gate);
    at(m_now.steady + WireTime, [this, entry, gate] {
        give(entry, GateLinkLost{ServerName{gateName(gate)}});
    });
}

// Store.

void Deployment::ask(std::size_t entry, const SendStoreRequest &action)
{
    watchStore(entry, action.body);
    const bool write = std::holds_alternative<StoreTransaction>(action.body) || std::holds_alternative<ObjectPut>(action.body);
    StoreFault how = StoreFault::None;
    Duration delay{};
    if (m_now.steady < m_storeDownUntil) {
        how = StoreFault::Silent;
    } else if (write && m_now.steady < m_answersLostUntil) {
        how = StoreFault::AnswerLost;
    } else if (write && m_now.steady < m_entries[entry].writesLateUntil) {
        how = StoreFault::Delayed;
        delay = 8s;
    }
    m_store.latency = m_now.steady < m_storeSlowUntil ? Duration(300ms) : Duration(4ms);
    m_store.timeLimit = action.timeLimit;
    m_store.submit(entry, action.request, mutated(action.body), how, m_now.steady, delay);
    for (const Duration wait : {m_store.latency + delay, m_store.latency * 2 + delay, action.timeLimit}) {
        at(m_now.steady + wait, [this] {
            pumpStore();
        });
    }
}

void Deployment::pumpStore()
{
    for (const FakeAnswer &it : m_store.advance(m_now.steady)) {
        give(it.client, StoreReplyReceived{it.request, it.answer});
    }
}

} // namespace Vanillahall
