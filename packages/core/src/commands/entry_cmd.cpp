#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_gate_func.h"
#include "entry_peer_func.h"
#include "entry_route_func.h"
#include "entry_shard_func.h"
#include "entry_unstored_func.h"
#include "vanillahall/core/error_func.h"

#include <utility>

namespace Vanillahall {

namespace {

void start(EntryState &entry)
{
    entry.started = true;
    createOwnShard(entry);
    sweepConfig(entry);
}

/** Runs the periodic checks and sends heartbeats, if scheduled. */
void sweep(EntryState &entry)
{
    if (entry.now.steady < entry.nextSweep) {
        return;
    }
    entry.nextSweep = entry.now.steady + SweepInterval;
    sweepConfig(entry);
    sweepPeers(entry);
    sweepLeases(entry);
    sweepGates(entry);
    sweepCalls(entry);
    sweepShards(entry);
    sweepUnstoredTurns(entry);
    sweepRequests(entry);
    sweepStop(entry);
    if (entry.now.steady >= entry.nextHeartbeat) {
        entry.nextHeartbeat = entry.now.steady + entry.settings.heartbeatInterval;
        sendHeartbeats(entry);
        probeGates(entry);
    }
}

/** Dispatches events. */
class EventVisitor
{
public:
    explicit EventVisitor(EntryState &entry)
        : m_entry(entry)
    {
    }

    void operator()(const CallerRequestReceived &event)
    {
        onCallerRequest(m_entry, event);
    }

    void operator()(const CallerDisconnected &event)
    {
        onCallerDisconnected(m_entry, event.request);
    }

    void operator()(const GateMessageReceived &event)
    {
        onGateMessage(m_entry, event);
    }

    void operator()(const GateLinkLost &event)
    {
        if (m_entry.gates.contains(event.server)) {
            onGateLinkLost(m_entry, event.server);
        }
    }

    void operator()(const EntryMessageReceived &event)
    {
        onEntryMessage(m_entry, event);
    }

    void operator()(const EntryLinkLost &event)
    {
        onEntryLinkLost(m_entry, event.entry);
    }

    void operator()(const StoreReplyReceived &event)
    {
        const auto it = m_entry.storeRequests.find(event.request);
        if (it == m_entry.storeRequests.end()) {
            onShardStore(m_entry, event);
            return;
        }
        const StoreRequestPurpose purpose = it->second;
        m_entry.storeRequests.erase(it);
        onStoreReply(m_entry, purpose, event.answer);
    }

    void operator()(const ConfigChanged &event)
    {
        if (!m_entry.config || event.version > m_entry.config->version) {
            m_entry.nextConfigRead = m_entry.now.steady;
            sweepConfig(m_entry);
        }
    }

    void operator()(const VmListReceived &event)
    {
        onVmList(m_entry, event);
    }

    void operator()(const StopRequested &)
    {
        beginStop(m_entry);
    }

    void operator()(const Tick &)
    {
        tickShards(m_entry);
    }

private:
    EntryState &m_entry;
};

} // namespace

EntryState::EntryState(EntrySettings it)
    : settings(std::move(it))
    , nextStoreRequest(StoreRequestId{1})
    , ownShard(settings.shard)
    , workers(settings.zone)
    , directory(settings.directory)
    , leaseMonitor(settings.name, settings.incarnation, settings.log, settings.heartbeatInterval)
    , storeBudget(settings.store, settings.log)
{
}

Entry::Entry(EntrySettings settings)
    : m_state(std::make_unique<EntryState>(std::move(settings)))
{
}

Entry::~Entry() = default;
Entry::Entry(Entry &&) noexcept = default;
Entry &Entry::operator=(Entry &&) noexcept = default;

std::vector<EntryAction> Entry::handle(const EntryEvent &event, Now now)
{
    EntryState &entry = *m_state;
    entry.now = now;
    if (!entry.started) {
        start(entry);
    }
    std::visit(EventVisitor(entry), event);
    sweep(entry);
    processShardChanges(entry);
    return std::exchange(entry.actions, {});
}

const EntryState &Entry::state() const
{
    return *m_state;
}

std::optional<std::chrono::milliseconds> classTarget(const EntryState &entry, const ClassName &name)
{
    if (!entry.config) {
        return std::nullopt;
    }
    for (const ClassTarget &it : entry.config->classes) {
        if (it.name == name) {
            return it.target;
        }
    }
    return std::nullopt;
}

HeldShard *servingShard(EntryState &entry, ShardId shard)
{
    const auto it = entry.shards.find(shard);
    if (it == entry.shards.end() || !it->second.loaded || it->second.log.isHandingOver()) {
        return nullptr;
    }
    const ShardPhase phase = it->second.log.phase();
    return phase == ShardPhase::Held || phase == ShardPhase::Lapsed ? &it->second : nullptr;
}

LiveCall *findCall(EntryState &entry, const CallKey &key)
{
    const auto it = entry.calls.find(key);
    return it == entry.calls.end() ? nullptr : &it->second;
}

Error refusal(const EntryState &entry, ErrorCode code, Step step, std::string message, std::optional<Duration> retryAfter)
{
    Error error = notRun(code, step, entry.settings.name.text, std::move(message));
    error.retryAfter = retryAfter;
    return error;
}

void logLine(EntryState &entry, LogLevel level, EventNumber event, std::optional<CallKey> call, std::string peer, std::string text)
{
    addAction(entry, WriteLog{level, event, call, std::move(peer), std::move(text)});
}

} // namespace Vanillahall
