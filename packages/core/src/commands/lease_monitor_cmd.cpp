#include "vanillahall/core/lease_monitor_base.h"

#include "lease_monitor_state.h"
#include "vanillahall/core/id_func.h"
#include "vanillahall/core/shard_log_func.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration DelayPerSuccessor = std::chrono::seconds(1); ///< A successor waits this much longer for each successor named before it.
constexpr Duration RetryDelay = std::chrono::seconds(1);        ///< Shortest time between two reads, or two takeovers, of one shard.
constexpr int MissedHeartbeats = 2;                             ///< A holder that has missed this many heartbeats counts as silent.
constexpr int MaxScanIntervals = 3; ///< Reads further apart than this many scan intervals don't prove that the row stayed unchanged.

/** Sets a new version of the row and resets what was recorded about the earlier one. */
void setVersion(MonitoredShard &shard, RowVersion version, Now now)
{
    shard.version = version;
    shard.versionSeenAt = now.steady;
    shard.firstReadAt.reset();
    shard.lastReadAt.reset();
    shard.orphan = false;
}

/** @return Position of this entry among the successors; nothing if it is not one of them. */
std::optional<std::size_t> successorRank(const LeaseMonitorState &state, const MonitoredShard &shard)
{
    const auto it = std::find(shard.successors.begin(), shard.successors.end(), state.self);
    if (it == shard.successors.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - shard.successors.begin());
}

/** Records a read that returned the known version. */
void recordRead(const LeaseMonitorState &state, MonitoredShard &shard, Now now)
{
    if (!shard.firstReadAt) {
        shard.firstReadAt = now.steady;
    }
    const bool continuouslyRead = shard.lastReadAt && now.steady <= *shard.lastReadAt + MaxScanIntervals * state.settings.orphanScan;
    shard.orphan = continuouslyRead && now.steady > *shard.firstReadAt + state.settings.orphanTime;
    shard.lastReadAt = now.steady;
}

/** @return True if, going by the row alone, a takeover may start now. */
bool isTakeOverDue(const LeaseMonitorState &state, const MonitoredShard &shard, Now now)
{
    const Duration expiry = state.settings.leaseTime + state.settings.leaseMargin;
    if (shard.retired || now.steady < shard.earliestTakeOver) {
        return false;
    }
    const std::optional<std::size_t> rank = successorRank(state, shard);
    if (shard.holder.empty()) {
        return rank.has_value() || now.steady >= shard.versionSeenAt + 2 * expiry;
    }
    if (shard.orphan) {
        return true;
    }
    return rank.has_value() && now.steady >= shard.versionSeenAt + expiry + *rank * DelayPerSuccessor;
}

/**
 * @return True if the row should be read now: the holder has disconnected or no longer names the shard in its heartbeats, or it is silent
 * and this entry is one of the successors. The last heartbeat may not have named the newest version of the row.
 */
bool isReadDue(const LeaseMonitorState &state, const MonitoredShard &shard, Now now)
{
    if (shard.retired || (shard.readRequestedAt && now.steady < *shard.readRequestedAt + RetryDelay)) {
        return false;
    }
    const TimePoint silentSince = shard.lastHeartbeat + MissedHeartbeats * state.heartbeat;
    const bool readSince = shard.lastReadAt && *shard.lastReadAt >= silentSince;
    return shard.readNeeded || (successorRank(state, shard) && !readSince && now.steady >= silentSince);
}

/** Adds the page of the scan for orphaned shards that is due, if any. */
void addOrphanScan(LeaseMonitorState &state, LeaseMonitorDue &due, Now now)
{
    if (!state.nextScan) {
        const Duration jitter(contentHash(state.self.text).low % static_cast<std::uint64_t>(state.settings.orphanScan.count()));
        state.nextScan = now.steady + jitter;
    }
    if (!state.scanFrom && now.steady >= *state.nextScan) {
        state.scanFrom = ShardId();
        state.nextScan = now.steady + state.settings.orphanScan;
    }
    if (state.scanFrom && !state.scanPending) {
        state.scanPending = true;
        due.scan = leaseScan(*state.scanFrom);
    }
}

StoreTransaction removalOf(ShardId shard, RowVersion version)
{
    StoreTransaction body;
    body.conditions.push_back(RowCondition{leaseKey(shard), version});
    body.removes.push_back(leaseKey(shard));
    return body;
}

} // namespace

LeaseMonitor::LeaseMonitor(EntryName self, Incarnation incarnation, ShardLogSettings settings, Duration heartbeat)
    : m_state(std::make_unique<LeaseMonitorState>())
{
    m_state->self = std::move(self);
    m_state->incarnation = incarnation;
    m_state->settings = settings;
    m_state->heartbeat = heartbeat;
}

LeaseMonitor::~LeaseMonitor() = default;
LeaseMonitor::LeaseMonitor(LeaseMonitor &&) noexcept = default;
LeaseMonitor &LeaseMonitor::operator=(LeaseMonitor &&) noexcept = default;

void LeaseMonitor::onStatus(const EntryStatus &status, Now now)
{
    std::set<ShardId> named;
    for (const HeldLease &it : status.leases) {
        if (it.version.value == 0) {
            continue;
        }
        named.insert(it.shard);
        MonitoredShard &shard = m_state->shards[it.shard];
        if (it.version < shard.version) {
            continue;
        }
        shard.lastHeartbeat = now.steady;
        shard.readNeeded = false;
        if (it.version > shard.version) {
            setVersion(shard, it.version, now);
            shard.holder = status.entry;
            shard.successors = it.successors;
            shard.retired = false;
        }
    }
    for (auto &[id, shard] : m_state->shards) {
        if (shard.holder == status.entry && named.count(id) == 0) {
            shard.readNeeded = true;
        }
    }
}

void LeaseMonitor::onLost(const EntryName &entry, Now /*now*/)
{
    for (auto &[id, shard] : m_state->shards) {
        shard.readNeeded = shard.readNeeded || shard.holder == entry;
    }
}

void LeaseMonitor::onRow(const StoredRow &row, Now now)
{
    const auto *lease = std::get_if<LeaseRow>(&row.value);
    if (lease == nullptr) {
        return;
    }
    if (lease->owner == m_state->self && lease->incarnation == m_state->incarnation) {
        m_state->shards.erase(lease->shard);
        return;
    }
    MonitoredShard &shard = m_state->shards[lease->shard];
    if (row.version < shard.version) {
        return;
    }
    if (row.version > shard.version) {
        setVersion(shard, row.version, now);
    }
    shard.holder = lease->owner;
    shard.successors = lease->successors;
    shard.retired = lease->retired;
    shard.readNeeded = false;
    recordRead(*m_state, shard, now);
}

void LeaseMonitor::onMissing(ShardId shard)
{
    m_state->shards.erase(shard);
}

void LeaseMonitor::onScan(const StoreRows &page, Now now)
{
    m_state->scanPending = false;
    ShardId last;
    for (const StoredRow &it : page.rows) {
        onRow(it, now);
        if (const auto *lease = std::get_if<LeaseRow>(&it.value)) {
            last = lease->shard;
        }
    }
    const bool more = page.more && !page.rows.empty() && last.value < std::numeric_limits<std::uint64_t>::max();
    if (more) {
        m_state->scanFrom = ShardId{last.value + 1};
    } else {
        m_state->scanFrom.reset();
    }
}

void LeaseMonitor::onScanFailed(Now /*now*/)
{
    m_state->scanPending = false;
    m_state->scanFrom.reset();
}

PromiseAnswer LeaseMonitor::onPromiseRequest(const PromiseRequest &request, bool isStoreUnavailable, Now now)
{
    PromiseAnswer answer{request.shard, request.epoch, request.sequence, false};
    if (!isStoreUnavailable || m_state->takingOver.count(request.shard) > 0) {
        return answer;
    }
    answer.granted = true;
    m_state->promises[request.shard] = now.steady + m_state->settings.leaseTime + m_state->settings.leaseMargin;
    return answer;
}

LeaseMonitorDue LeaseMonitor::tick(bool isStoreUnavailable, Now now)
{
    LeaseMonitorDue due;
    std::erase_if(m_state->promises, [&](const auto &it) {
        return now.steady >= it.second;
    });
    if (isStoreUnavailable) {
        return due;
    }
    for (auto &[id, shard] : m_state->shards) {
        if (m_state->takingOver.count(id) > 0) {
            continue;
        }
        if (shard.retired && shard.orphan) {
            due.removes.push_back(removalOf(id, shard.version));
            shard.orphan = false;
        } else if (m_state->promises.count(id) == 0 && isTakeOverDue(*m_state, shard, now)) {
            m_state->takingOver.insert(id);
            due.takeOvers.push_back(TakeOverDue{id, shard.version});
        } else if (isReadDue(*m_state, shard, now)) {
            shard.readRequestedAt = now.steady;
            due.reads.push_back(id);
        }
    }
    addOrphanScan(*m_state, due, now);
    return due;
}

void LeaseMonitor::onTakeOverEnded(ShardId shard, bool held, const std::optional<StoredRow> &row, Now now)
{
    m_state->takingOver.erase(shard);
    if (held) {
        m_state->shards.erase(shard);
        return;
    }
    if (row) {
        onRow(*row, now);
    }
    const auto it = m_state->shards.find(shard);
    if (it != m_state->shards.end()) {
        it->second.earliestTakeOver = now.steady + RetryDelay;
    }
}

void LeaseMonitor::onTakeOverBegun(ShardId shard)
{
    m_state->takingOver.insert(shard);
}

} // namespace Vanillahall
