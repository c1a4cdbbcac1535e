#include "entry_peer_func.h"

#include "entry_route_func.h"
#include "entry_shard_func.h"
#include "entry_unstored_func.h"
#include "vanillahall/core/id_func.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Vanillahall {

namespace {

constexpr Duration PeerAliveTimeout = std::chrono::seconds(5); ///< An entry heard from within this time is alive, listed or not.

/** Dispatches the messages of another entry. */
class EntryMessageVisitor
{
public:
    EntryMessageVisitor(EntryState &entry, const EntryName &from)
        : m_entry(entry)
        , m_from(from)
    {
    }

    template<typename Message>
    void operator()(const Message &message)
    {
        onEntryMessage(m_entry, m_from, message);
    }

    void operator()(const PromiseRequest &message)
    {
        const PromiseAnswer answer = m_entry.leaseMonitor.onPromiseRequest(message, isStoreUnavailable(m_entry), m_entry.now);
        addAction(m_entry, SendToEntry{m_from, {}, answer});
    }

    void operator()(const PromiseAnswer &message)
    {
        const auto it = m_entry.shards.find(message.shard);
        if (it != m_entry.shards.end()) {
            it->second.log.onPromise(m_from, message, m_entry.now);
        }
    }

    void operator()(const UnstoredTurns &message)
    {
        onUnstoredTurns(m_entry, m_from, message);
    }

    void operator()(const TurnsKept &message)
    {
        onTurnsKept(m_entry, message);
    }

    void operator()(const EntryStatus &message)
    {
        PeerEntry &peer = m_entry.peers[m_from];
        peer.zone = message.zone;
        peer.leaving = message.leaving;
        for (const HeldLease &lease : message.leases) {
            onOtherHolder(m_entry, lease);
        }
        m_entry.leaseMonitor.onStatus(message, m_entry.now);
        m_entry.directory.onStatus(message, m_entry.now);
        if (m_entry.config && message.config > m_entry.config->version) {
            m_entry.nextConfigRead = m_entry.now.steady;
        }
    }

private:
    EntryState &m_entry;
    const EntryName &m_from;
};

bool isAlive(const EntryState &entry, const PeerEntry &peer)
{
    if (peer.leaving || peer.lostAt || peer.address.empty()) {
        return false;
    }
    return peer.listed || (peer.heardAt && entry.now.steady - *peer.heardAt < PeerAliveTimeout);
}

EntryStatus ownStatus(const EntryState &entry)
{
    EntryStatus status;
    status.entry = entry.settings.name;
    status.zone = entry.settings.zone;
    status.incarnation = entry.settings.incarnation;
    status.config = entry.config ? entry.config->version : ConfigVersion();
    status.leaving = entry.stop.has_value();
    for (const auto &[id, shard] : entry.shards) {
        if (shard.loaded) {
            status.leases.push_back(shard.log.heldLease());
        }
    }
    return status;
}

bool awaitsAnswer(const EntryState &entry, const EntryName &peer)
{
    return std::any_of(entry.requests.begin(), entry.requests.end(), [&](const auto &it) {
        return it.second.phase == RoutePhase::Forwarded && it.second.target == peer;
    });
}

/** @return When the oldest request that waits for the peer's answer was forwarded. */
std::optional<TimePoint> oldestForward(const EntryState &entry, const EntryName &peer)
{
    std::optional<TimePoint> oldest;
    for (const auto &[id, request] : entry.requests) {
        if (request.phase == RoutePhase::Forwarded && request.target == peer) {
            oldest = std::min(oldest.value_or(request.since), request.since);
        }
    }
    return oldest;
}

} // namespace

void sendToEntry(EntryState &entry, const EntryName &to, EntryToEntry message)
{
    addAction(entry, SendToEntry{to, entry.peers[to].address, std::move(message)});
}

bool isReachable(const EntryState &entry, const EntryName &peer)
{
    const auto it = entry.peers.find(peer);
    return it != entry.peers.end() && !it->second.address.empty();
}

std::vector<EntryName> successorsOf(const EntryState &entry, ShardId shard)
{
    struct Candidate
    {
        bool sameZone{};
        std::uint64_t rank{};
        EntryName name;

        bool operator<(const Candidate &other) const
        {
            return std::tie(sameZone, rank, name) < std::tie(other.sameZone, other.rank, other.name);
        }
    };
    std::vector<Candidate> candidates;
    for (const auto &[name, peer] : entry.peers) {
        if (isAlive(entry, peer)) {
            candidates.push_back(Candidate{peer.zone == entry.settings.zone, contentHash(toText(shard) + "/" + name.text).low, name});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<EntryName> names;
    for (std::size_t n = 0; n < candidates.size() && n < entry.settings.log.successors; n++) {
        names.push_back(candidates[n].name);
    }
    return names;
}

void onEntryMessage(EntryState &entry, const EntryMessageReceived &event)
{
    PeerEntry &peer = entry.peers[event.entry];
    peer.heardAt = entry.now.steady;
    peer.lostAt.reset();
    std::visit(EntryMessageVisitor(entry, event.entry), event.message);
}

void onEntryLinkLost(EntryState &entry, const EntryName &peer)
{
    entry.peers[peer].lostAt = entry.now.steady;
    entry.leaseMonitor.onLost(peer, entry.now);
    logLine(entry, LogLevel::Warning, EventNumber::LinkLost, std::nullopt, peer.text, {});
    onPeerLost(entry, peer);
}

void onVmList(EntryState &entry, const VmListReceived &event)
{
    entry.workers.onVmList(event.vms, entry.now.steady);
    for (auto &[name, peer] : entry.peers) {
        peer.listed = false;
    }
    for (const VmListing &vm : event.vms) {
        if (vm.role != VmRole::Entry || vm.name == entry.settings.name.text) {
            continue;
        }
        PeerEntry &peer = entry.peers[EntryName{vm.name}];
        peer.listed = true;
        peer.address = vm.address;
        peer.zone = vm.zone;
        peer.leaving = peer.leaving || vm.state == VmState::Leaving;
    }
}

void sendHeartbeats(EntryState &entry)
{
    std::set<EntryName> targets;
    for (const auto &[id, shard] : entry.shards) {
        for (const EntryName &name : successorsOf(entry, id)) {
            targets.insert(name);
        }
    }
    for (const auto &[name, peer] : entry.peers) {
        const bool inContact = entry.now.steady < peer.heartbeatUntil || awaitsAnswer(entry, name);
        const bool reconnects = peer.lostAt && peer.listed;
        if (inContact || reconnects) {
            targets.insert(name);
        }
    }
    for (const EntryName &name : targets) {
        sendToEntry(entry, name, ownStatus(entry));
    }
}

void sweepPeers(EntryState &entry)
{
    std::vector<EntryName> unresponsive;
    std::uint32_t alive = 1; // This entry.
    for (const auto &[name, peer] : entry.peers) {
        alive += isAlive(entry, peer) ? 1 : 0;
        const std::optional<TimePoint> since = oldestForward(entry, name);
        if (since && entry.now.steady - std::max(*since, peer.heardAt.value_or(*since)) > entry.settings.silenceTimeout) {
            unresponsive.push_back(name);
        }
    }
    entry.storeBudget.setEntries(alive);
    entry.storeBudget.setShards(static_cast<std::uint32_t>(entry.shards.size()));
    for (const EntryName &name : unresponsive) {
        addAction(entry, CloseEntryLink{name});
        onEntryLinkLost(entry, name);
    }
}

void sweepLeases(EntryState &entry)
{
    const LeaseMonitorDue due = entry.leaseMonitor.tick(isStoreUnavailable(entry), entry.now);
    for (const ShardId shard : due.reads) {
        readLease(entry, shard);
    }
    if (due.scan) {
        sendStoreRequest(entry, OrphanScan(), *due.scan);
    }
    for (const StoreTransaction &it : due.removes) {
        sendStoreRequest(entry, RetiredRowRemoval(), it);
    }
    for (const TakeOverDue &it : due.takeOvers) {
        if (entry.stop) {
            entry.leaseMonitor.onTakeOverEnded(it.shard, false, std::nullopt, entry.now);
        } else {
            takeOverShard(entry, it);
        }
    }
}

} // namespace Vanillahall
