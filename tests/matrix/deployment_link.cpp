#include "deployment.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration LinkLatency = 1ms; ///< One-way latency of a message.

std::string entryName(std::size_t n)
{
    return "e" + std::to_string(n);
}

std::string gateName(std::size_t n)
{
    return "g" + std::to_string(n);
}

} // namespace

// Links

void Deployment::sendToGate(std::size_t entry, std::size_t gate, EntryToGate message)
{
    if (const auto *run = std::get_if<RunCall>(&message); run != nullptr && m_callers[0].program == run->key.program) {
        (gate >= ServiceGate ? m_lastServiceGate : m_lastModelGate) = gate;
        addTrace(entryName(entry) + " orders turn " + std::to_string(run->key.turn.value) + " attempt " + std::to_string(run->attempt.value)
                 + " from " + gateName(gate));
        if (run->key.turn.value == 1) {
            onStepReached(MatrixStep::ModelBeforeStart);
        }
    }
    GateConnection &connection = m_connections[{entry, gate}];
    if (!m_gates[gate].gate) {
        schedule(m_now.steady + LinkLatency, [this, entry, gate] {
            deliverEvent(entry, GateLinkLost{ServerName{gateName(gate)}});
        });
        return;
    }
    if (!connection.open) {
        connection = GateConnection{true, LinkId{++m_lastLink}, false, TimePoint()};
    }
    if (connection.silent || isCutOff(entry, gate)) {
        return;
    }
    schedule(std::max(m_now.steady + LinkLatency, connection.stallUntil),
             [this, gate, run = m_gates[gate].run, id = connection.id, body = std::move(message)] {
                 if (m_gates[gate].gate && m_gates[gate].run == run && !m_brokenLinks.contains(id)) {
                     deliverOrder(gate, id, body);
                 }
             });
}

void Deployment::deliverOrder(std::size_t gate, LinkId link, const EntryToGate &message)
{
    std::visit(
        [&](const auto &it) {
            if constexpr (requires { it.fence; }) {
                Epoch &newest = m_newestEpochs[{gate, it.fence.shard}];
                newest = std::max(newest, it.fence.epoch);
            }
        },
        message);
    const auto *run = std::get_if<RunCall>(&message);
    const bool outdated = run != nullptr && isOutdated(gate, run->fence);
    const std::vector<StartServerCall> &startedCalls = m_gates[gate].backend.startedCalls;
    const std::size_t before = startedCalls.size();
    deliverGateEvent(gate, OrderReceived{link, applyMutant(gate, message)});
    if (outdated && startedCalls.size() > before && startedCalls.back().key == run->key) {
        recordViolation("a call was started by an outdated order");
    }
}

bool Deployment::isCutOff(std::size_t entry, std::size_t gate) const
{
    return m_now.steady < m_gates[gate].cutOffUntil && entry != m_gates[gate].onlyEntry;
}

bool Deployment::isOutdated(std::size_t gate, const Fence &fence) const
{
    const auto newest = m_newestEpochs.find({gate, fence.shard});
    const bool stale = newest != m_newestEpochs.end() && fence.epoch < newest->second;
    const GateTime clock(m_now.steady.time_since_epoch());
    return stale || fence.validUntil < clock || fence.incarnation != gateStatus(m_gates[gate].gate->state(), 0, m_now).incarnation;
}

void Deployment::sendToEntry(std::size_t gate, LinkId link, const GateToEntry &message)
{
    for (auto &[ends, connection] : m_connections) {
        if (ends.second != gate || connection.id != link || !connection.open || connection.silent) {
            continue;
        }
        const auto *finished = std::get_if<CallFinished>(&message);
        if (finished != nullptr && m_callers[0].program == finished->key.program) {
            onStepReached(finished->key.turn.value == ServiceTurn ? MatrixStep::ServiceFinishedNotDurable
                                                                  : MatrixStep::ModelFinishedNotDurable);
        }
        deliverToEntry(ends.first, gate, link, applyMutant(message), LinkLatency);
        if (m_now.steady < m_duplicateUntil) {
            deliverToEntry(ends.first, gate, link, applyMutant(message), LinkLatency + 70ms);
        }
    }
}

void Deployment::deliverToEntry(std::size_t entry, std::size_t gate, LinkId link, const GateToEntry &message, Duration delay)
{
    schedule(m_now.steady + delay, [this, entry, gate, link, message] {
        const GateConnection &connection = m_connections[{entry, gate}];
        if (connection.open && connection.id == link && !connection.silent && !isCutOff(entry, gate)) {
            deliverEvent(entry, GateMessageReceived{ServerName{gateName(gate)}, message});
        }
    });
}

void Deployment::closeLink(std::size_t entry, std::size_t gate)
{
    GateConnection &connection = m_connections[{entry, gate}];
    if (!connection.open) {
        return;
    }
    connection.open = false;
    const TimePoint when = connection.silent ? m_now.steady + 15s : std::max(m_now.steady + LinkLatency, connection.stallUntil);
    schedule(when, [this, gate, id = connection.id] {
        deliverGateEvent(gate, LinkLost{id});
    });
}

void Deployment::breakLink(std::size_t entry, std::size_t gate)
{
    GateConnection &connection = m_connections[{entry, gate}];
    if (!connection.open) {
        return;
    }
    m_brokenLinks.insert(connection.id);
    closeLink(entry, gate);
    schedule(m_now.steady + LinkLatency, [this, entry, gate] {
        deliverEvent(entry, GateLinkLost{ServerName{gateName(gate)}});
    });
}

// Store

void Deployment::sendStoreRequest(std::size_t entry, const SendStoreRequest &action)
{
    observeStoreRequest(entry, action.body);
    const bool write = std::holds_alternative<StoreTransaction>(action.body) || std::holds_alternative<ObjectPut>(action.body);
    StoreFault how = StoreFault::None;
    Duration delay{};
    if (m_now.steady < m_storeDownUntil) {
        how = StoreFault::Silent;
    } else if (write && m_now.steady < m_repliesLostUntil) {
        how = StoreFault::AnswerLost;
    } else if (write && m_now.steady < m_entries[entry].writesLateUntil) {
        how = StoreFault::Delayed;
        delay = 8s;
    }
    m_store.latency = m_now.steady < m_storeSlowUntil ? Duration(300ms) : Duration(4ms);
    m_store.timeLimit = action.timeLimit;
    m_store.submit(entry, action.request, applyMutant(action.body), how, m_now.steady, delay);
    for (const Duration wait : {m_store.latency + delay, m_store.latency * 2 + delay, action.timeLimit}) {
        schedule(m_now.steady + wait, [this] {
            deliverStoreReplies();
        });
    }
}

void Deployment::deliverStoreReplies()
{
    for (const FakeAnswer &it : m_store.advance(m_now.steady)) {
        deliverEvent(it.client, StoreReplyReceived{it.request, it.answer});
    }
}

} // namespace Vanillahall
