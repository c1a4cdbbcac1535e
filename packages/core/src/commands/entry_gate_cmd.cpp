#include "entry_gate_func.h"

#include "entry_call_func.h"
#include "entry_pending_command_func.h"
#include "entry_shard_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr std::size_t ClockReadings = 8; ///< How many readings of a gate's clock are kept.

void probe(EntryState &entry, const ServerName &server, GateLink &link)
{
    link.sequence++;
    link.lastProbe = entry.now.steady;
    sendToGate(entry, server, Probe{link.sequence});
}

/** The gate's clock was at least `clock` when the message came; so the difference is never too large. */
void noteClock(const EntryState &entry, GateLink &link, GateTime clock)
{
    link.offsets.push_back(clock.time_since_epoch() - entry.now.steady.time_since_epoch());
    if (link.offsets.size() > ClockReadings) {
        link.offsets.pop_front();
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
    link.offsets.clear();
    link.clock = GateTime();
    dropPendingSettles(link);
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

/** Asks a gate about each shard taken over for which it hasn't answered. */
void askMissingAdoptions(EntryState &entry, const ServerName &server)
{
    for (auto &[id, shard] : entry.shards) {
        if (shard.loaded && shard.takenOver && !shard.adopted.contains(server)) {
            askAdoption(entry, shard, server);
        }
    }
}

void onReady(EntryState &entry, const ServerName &server, GateLink &link)
{
    link.phase = LinkPhase::Ready;
    link.lostSince.reset();
    askMissingAdoptions(entry, server);
    for (const CallKey &key : callsOf(link)) {
        if (LiveCall *call = findCall(entry, key)) {
            advanceCall(entry, *call);
        }
    }
}

/** A visitor over the messages of a gate. */
class GateListener
{
public:
    GateListener(EntryState &entry, const ServerName &server, GateLink &link)
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
        noteClock(m_entry, m_link, status.clock);
        if (m_link.incarnation && *m_link.incarnation != status.incarnation) {
            onRestart(m_entry, m_server, m_link, status.incarnation);
            noteClock(m_entry, m_link, status.clock);
        }
        m_link.incarnation = status.incarnation;
        m_entry.workers.onStatus(status, m_entry.now.steady);
        confirmPendingCommands(m_link, status.sequence);
        sendConfig(m_entry, m_server, m_link, status.config);
        if (m_link.phase == LinkPhase::Probing) {
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
    if (link.phase != LinkPhase::Idle && now - link.lastHeard > entry.settings.silence) {
        act(entry, CloseGateLink{server});
        onGateLinkLost(entry, server);
    }
    if (link.phase == LinkPhase::Idle) {
        reachGate(entry, server);
    }
    if (link.lostSince && now - *link.lostSince > entry.settings.gateGone) {
        for (const CallKey &key : callsOf(link)) {
            if (LiveCall *call = findCall(entry, key)) {
                onCallGateGone(entry, *call);
            }
        }
    }
    runPendingCommands(entry, server, link);
}

/** @return True if nothing is wanted of a gate that is no longer listed. */
bool isUnused(const EntryState &entry, const ServerName &server, const GateLink &link)
{
    return link.phase == LinkPhase::Idle && link.calls.empty() && entry.workers.address(server).empty();
}

} // namespace

void sendToGate(EntryState &entry, const ServerName &server, EntryToGate message)
{
    act(entry, SendToGate{server, entry.workers.address(server), std::move(message)});
}

void reachGate(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    const bool known = !entry.workers.address(server).empty();
    if (!known && !link.lostSince) {
        link.lostSince = entry.now.steady;
    }
    if (!known || link.phase != LinkPhase::Idle || entry.now.steady < link.nextTry) {
        return;
    }
    link.phase = LinkPhase::Probing;
    link.lastHeard = entry.now.steady;
    link.configSent.reset();
    probe(entry, server, link);
}

void awaitStatus(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    if (link.phase == LinkPhase::Ready) {
        link.phase = LinkPhase::Probing;
        probe(entry, server, link);
    }
}

std::optional<Fence> makeFence(const EntryState &entry, const HeldShard &shard, const GateLink &link)
{
    if (link.phase != LinkPhase::Ready || link.offsets.empty() || !shard.log.canOrder(entry.now.steady)) {
        return std::nullopt;
    }
    const Duration offset = *std::max_element(link.offsets.begin(), link.offsets.end());
    Fence fence;
    fence.shard = shard.log.shard();
    fence.epoch = shard.log.epoch();
    fence.incarnation = *link.incarnation;
    fence.validUntil = GateTime(shard.log.validUntil().time_since_epoch() + offset);
    return fence;
}

void askAdoption(EntryState &entry, HeldShard &shard, const ServerName &server)
{
    if (const std::optional<Fence> fence = makeFence(entry, shard, entry.gates[server])) {
        sendToGate(entry, server, AdoptShard{*fence});
    }
}

void onGateMessage(EntryState &entry, const GateMessageReceived &event)
{
    const auto it = entry.gates.find(event.server);
    if (it == entry.gates.end() || it->second.phase == LinkPhase::Idle) {
        return; // Late: the connection was given up.
    }
    it->second.lastHeard = entry.now.steady;
    std::visit(GateListener(entry, event.server, it->second), event.message);
}

void onGateLinkLost(EntryState &entry, const ServerName &server)
{
    GateLink &link = entry.gates[server];
    if (link.phase == LinkPhase::Idle) {
        return;
    }
    link.phase = LinkPhase::Idle;
    link.nextTry = entry.now.steady + ReconnectDelay;
    if (!link.lostSince) {
        link.lostSince = entry.now.steady;
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
        if (link.phase == LinkPhase::Ready) {
            sendConfig(entry, server, link, ConfigVersion());
        }
    }
}

void probeGates(EntryState &entry)
{
    for (auto &[server, link] : entry.gates) {
        if (link.phase == LinkPhase::Ready) {
            probe(entry, server, link);
            // A gate that was frozen when it was asked has lost the question, though its connection lives.
            askMissingAdoptions(entry, server);
        }
    }
}

} // namespace Vanillahall
