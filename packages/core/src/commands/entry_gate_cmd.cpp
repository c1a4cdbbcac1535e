#include "entry_gate_func.h"

#include "entry_call_func.h"
#include "entry_pending_command_func.h"
#include "entry_shard_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxClockReadings = 8; ///< Number of readings of a gate's clock that are stored.

void probe(EntryState &entry, const ServerName &server, GateLink &link)
{
    link.sequence++;
    link.lastProbe = entry.now.steady;
    sendToGate(entry, server, Probe{link.sequence});
}

/** Records a clock reading. By now the gate's clock shows `clock` or more, so the computed offset is never above the true one. */
void recordClock(const EntryState &entry, GateLink &link, GateTime clock)
{
    link.clockOffsets.push_back(clock.time_since_epoch() - entry.now.steady.time_since_epoch());
    if (link.clockOffsets.size() > MaxClockReadings) {
        link.clockOffsets.pop_front();
    }
    link.clock = std::max(link.clock, clock);
}

std::vector<CallKey> callsOf(const GateLink &link)
{
    return {link.calls.begin(), link.calls.end()};
}

void onRestart(EntryState &entry, const ServerName &server, GateLink &link, Incarnation incarnation)
{
    link.incarnation = incarnation;
    link.clockOffsets.clear();
    link.clock = GateTime();
    dropCallCommands(link);
    for (const CallKey &key : callsOf(link)) {
        LiveCall *call = findCall(entry, key);
        if (call != nullptr && call->server == server && call->incarnation != incarnation && call->phase != CallPhase::Sending) {
            onCallGateRestarted(entry, *call);
        }
    }
}

void sendConfig(EntryState &entry, const ServerName &server, GateLink &link, ConfigVersion known)
{
    if (!entry.config || known >= entry.config->version || link.configSent == entry.config->version) {
        return;
    }
    link.configSent = entry.config->version;
    sendToGate(entry, server, ConfigUpdate{*entry.config});
}

/** Requests a gate's report on each shard that was taken over and that the gate hasn't reported on. */
void requestMissingAdoptions(EntryState &entry, const ServerName &server)
{
    for (auto &[id, shard] : entry.shards) {
        if (shard.loaded && shard.takenOver && !shard.adoptedGates.contains(server)) {
            requestAdoption(entry, shard, server);
        }
    }
}

void onReady(EntryState &entry, const ServerName &server, GateLink &link)
{
    link.phase = GateLinkPhase::Ready;
    link.unreachableSince.reset();
    requestMissingAdoptions(entry, server);
    for (const CallKey &key : callsOf(link)) {
        if (LiveCall *call = findCall(entry, key)) {
            sendIfGateReady(entry, *call);
        }
    }
}

/** Dispatches the messages of a gate. */
class GateMessageVisitor
{
public:
    GateMessageVisitor(EntryState &entry, const ServerName &server, GateLink &link)
        : m_entry(entry)
        , m_server(server)
        , m_link(link)
    {
    }

    template<typename Message>
    void operator()(const Message &message)
    {
        onGateMessage(m_entry, m_server, message);
    }

    void operator()(const GateStatus &status)
    {
        if (status.server != m_server) {
            return;
        }
        recordClock(m_entry, m_link, status.clock);
        if (m_link.incarnation && *m_link.incarnation != status.incarnation) {
            onRestart(m_entry, m_server, m_link, status.incarnation);
            recordClock(m_entry, m_link, status.clock);
        }
        m_link.incarnation = status.incarnation;
        m_entry.workers.onStatus(status, m_entry.now.steady);
        confirmPendingCommands(m_link, status.sequence);
        sendConfig(m_entry, m_server, m_link, status.config);
        if (m_link.phase == GateLinkPhase::Probing) {
            onReady(m_entry, m_server, m_link);
        }
        runPendingCommands(m_entry, m_server, m_link);
    }

    void operator()(const ShardAdopted &message)
    {
        onShardAdopted(m_entry, m_server, message);
    }

    void operator()(const PinnedPrograms &message)
    {
        onPinnedPrograms(m_entry, m_server, message.shard, message.programs);
    }

private:
    EntryState &m_entry;
    const ServerName &m_server;
    GateLink &m_link;
};

void sweepGate(EntryState &entry, const ServerName &server, GateLink &link)
{
    const TimePoint now = entry.now.steady;
    if (link.phase != GateLinkPhase::Idle && now - link.lastHeard > entry.settings.silenceTimeout) {
        addAction(entry, CloseGateLink{server});
        onGateLinkLost(entry, server);
    }
    if (link.phase == GateLinkPhase::Idle) {
        connectGate(entry, server);
    }
    if (link.unreachableSince && now - *link.unreachableSince > entry.settings.gateLossTimeout) {
        for (const CallKey &key : callsOf(link)) {
            if (LiveCall *call = findCall(entry, key)) {
                onCallGateTimeout(entry, *call);
            }
        }
    }
    runPendingCommands(entry, server, link);
}

/** @return True if the gate is no longer known and no call is bound to it. */
bool isUnused(const EntryState &entry, const ServerName &server, const GateLink &link)
{
    return link.phase == GateLinkPhase::Idle && link.calls.empty() && entry.workers.address(server).empty();
}

} // namespace

void sendToGate(EntryState &entry, const ServerName &server, EntryToGate message)
{
    addAction(entry, SendToGate{server, entry.workers.address(server), std::move(message)});
}

void connectGate(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    const bool known = !entry.workers.address(server).empty();
    if (!known && !link.unreachableSince) {
        link.unreachableSince = entry.now.steady;
    }
    if (!known || link.phase != GateLinkPhase::Idle || entry.now.steady < link.nextTry) {
        return;
    }
    link.phase = GateLinkPhase::Probing;
    link.lastHeard = entry.now.steady;
    link.configSent.reset();
    probe(entry, server, link);
}

void awaitStatus(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    if (link.phase == GateLinkPhase::Ready) {
        link.phase = GateLinkPhase::Probing;
        probe(entry, server, link);
    }
}

std::optional<Fence> makeFence(const EntryState &entry, const HeldShard &shard, const GateLink &link)
{
    if (link.phase != GateLinkPhase::Ready || link.clockOffsets.empty() || !shard.log.canOrder(entry.now.steady)) {
        return std::nullopt;
    }
    const Duration offset = *std::max_element(link.clockOffsets.begin(), link.clockOffsets.end());
    Fence fence;
    fence.shard = shard.log.shard();
    fence.epoch = shard.log.epoch();
    fence.incarnation = *link.incarnation;
    fence.validUntil = GateTime(shard.log.validUntil().time_since_epoch() + offset);
    return fence;
}

void requestAdoption(EntryState &entry, HeldShard &shard, const ServerName &server)
{
    if (const std::optional<Fence> fence = makeFence(entry, shard, entry.gates[server])) {
        sendToGate(entry, server, AdoptShard{*fence});
    }
}

void onGateMessage(EntryState &entry, const GateMessageReceived &event)
{
    const auto it = entry.gates.find(event.server);
    if (it == entry.gates.end() || it->second.phase == GateLinkPhase::Idle) {
        return; // Late: the connection was closed.
    }
    it->second.lastHeard = entry.now.steady;
    std::visit(GateMessageVisitor(entry, event.server, it->second), event.message);
}

void onGateLinkLost(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    if (link.phase == GateLinkPhase::Idle) {
        return;
    }
    link.phase = GateLinkPhase::Idle;
    link.nextTry = entry.now.steady + ReconnectDelay;
    if (!link.unreachableSince) {
        link.unreachableSince = entry.now.steady;
    }
    resetPendingCommands(link);
    entry.workers.onLost(server, entry.now.steady);
    logLine(entry, LogLevel::Warning, EventNumber::LinkLost, std::nullopt, server.text, {});
    for (const CallKey &key : callsOf(link)) {
        if (LiveCall *call = findCall(entry, key)) {
            onCallLinkLost(entry, *call);
        }
    }
}

void sweepGates(EntryState &entry)
{
    for (const ServerName &server : entry.workers.servers()) {
        entry.gates[server];
    }
    for (auto &[server, link] : entry.gates) {
        sweepGate(entry, server, link);
    }
    std::erase_if(entry.gates, [&entry](const auto &it) {
        return isUnused(entry, it.first, it.second);
    });
}

void broadcastConfig(EntryState &entry)
{
    for (auto &[server, link] : entry.gates) {
        if (link.phase == GateLinkPhase::Ready) {
            sendConfig(entry, server, link, ConfigVersion());
        }
    }
}

void probeGates(EntryState &entry)
{
    for (auto &[server, link] : entry.gates) {
        if (link.phase == GateLinkPhase::Ready) {
            probe(entry, server, link);
            // A gate that was unresponsive may have lost the first request although its connection survived.
            requestMissingAdoptions(entry, server);
        }
    }
}

} // namespace Vanillahall
