#include "shard_simulation.h"

#include <algorithm>
#include <ostream>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr Duration Heartbeat = 500ms;
constexpr Duration LinkDelay = 2ms;

std::uint64_t serialOf(const JournalRecord &record)
{
    return std::get<ProgramEnded>(record).program.serial;
}

const char *nameOf(SimulationActionKind kind)
{
    static constexpr const char *Names[] = {"Append",
                                            "StoreRefuses",
                                            "StoreSilent",
                                            "AnswersLost",
                                            "WritesDelayed",
                                            "StaleReads",
                                            "StoreDown",
                                            "Pause",
                                            "Crash",
                                            "LinkCut",
                                            "LinkSlow",
                                            "HandOver",
                                            "Rename"};
    return Names[static_cast<std::size_t>(kind)];
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const SimulationAction &action)
{
    return stream << "\n  {SimulationActionKind::" << nameOf(action.kind) << ", " << action.entry << ", " << action.amount << ", "
                  << action.length.count() << "ms, " << action.after.count() << "ms}";
}

ShardSimulation::ShardSimulation(ShardLogSettings settings, unsigned count)
    : m_settings(settings)
{
    entries.resize(count);
    for (std::size_t n = 0; n < count; n++) {
        entries[n].name.text = std::string(1, static_cast<char>('a' + n));
        entries[n].clockOffset = 1000s * static_cast<int>(n + 1) * (n % 2 == 0 ? 1 : 3);
        entries[n].clockRate = 1.0 + 0.01 * (static_cast<double>(n) - 1.0); // 1% slow, exact, 1% and 2% fast.
    }
    for (std::size_t n = 0; n < count; n++) {
        start(n);
    }
}

ShardId ShardSimulation::shard()
{
    return ShardId{7};
}

TimePoint ShardSimulation::trueTime() const
{
    return m_now;
}

const std::vector<std::string> &ShardSimulation::violations() const
{
    return m_violations;
}

std::size_t ShardSimulation::durableCount() const
{
    const auto it = m_durable.find(shard());
    return it == m_durable.end() ? 0 : it->second.size();
}

Now ShardSimulation::clockOf(const SimulatedEntry &entry) const
{
    const auto passed = std::chrono::duration<double, std::micro>(m_now.time_since_epoch()) * entry.clockRate;
    return Now{TimePoint(std::chrono::duration_cast<Duration>(passed) + entry.clockOffset), WallTime()};
}

std::vector<EntryName> ShardSimulation::successorsOf(std::size_t index) const
{
    std::vector<EntryName> names;
    const std::size_t others = entries.size() - 1;
    for (std::size_t n = 0; n < std::min<std::size_t>(others, entries[index].successorCount); n++) {
        const std::size_t turn = (entries[index].successorShift + n) % others;
        names.push_back(entries[(index + 1 + turn) % entries.size()].name);
    }
    return names;
}

bool ShardSimulation::isStoreUnavailableFor(const SimulatedEntry &entry) const
{
    return entry.storeFailed || std::any_of(entry.logs.begin(), entry.logs.end(), [](const auto &it) {
               return it.second->isStoreUnavailable();
           });
}

void ShardSimulation::start(std::size_t index)
{
    SimulatedEntry &entry = entries[index];
    entry.running = true;
    entry.incarnation.value = m_nextIncarnation++;
    entry.logs.clear();
    entry.live.clear();
    entry.reads.clear();
    entry.scan.reset();
    entry.poll.reset();
    entry.storeFailed = false;
    entry.answers.clear();
    entry.inbox.clear();
    entry.out = ShardLogOutput();
    entry.out.nextRequest.value = entry.incarnation.value * 1'000'000;
    const Now now = clockOf(entry);
    entry.nextHeartbeat = now.steady;
    entry.leaseMonitor = std::make_unique<LeaseMonitor>(entry.name, entry.incarnation, m_settings, Heartbeat);
    // Every entry has a shard of its own, so that its requests show whether the store is available.
    const ShardId own = m_created ? ShardId{1000 + entry.incarnation.value} : shard();
    m_created = true;
    entry.logs[own] = std::make_unique<ShardLog>(own, entry.name, entry.incarnation, m_settings);
    entry.logs[own]->setSuccessors(successorsOf(index));
    entry.logs[own]->create(now, entry.out);
    drain(entry, index);
}

void ShardSimulation::sendToStore(SimulatedEntry &entry, std::size_t index, StoreRequestId id, const StoreRequest &body)
{
    StoreFault fault = m_now < entry.faultUntil ? entry.fault : StoreFault::None;
    const bool read = std::holds_alternative<StoreGet>(body) || std::holds_alternative<StoreScan>(body);
    if (fault == StoreFault::Stale && !read) {
        fault = StoreFault::None;
    }
    const Duration delay = fault == StoreFault::Delayed ? entry.faultDelay : Duration(0);
    store.submit(index, id, body, fault, m_now, delay);
}

void ShardSimulation::sendMessage(std::size_t from, const EntryName &to, const EntryToEntry &message)
{
    const SimulatedEntry &sender = entries[from];
    if (m_now < sender.cutUntil) {
        return;
    }
    for (std::size_t n = 0; n < entries.size(); n++) {
        if (entries[n].name == to) {
            const Duration slow = m_now < sender.slowUntil ? sender.slowBy : Duration(0);
            m_messages.push_back(SimulatedMessage{m_now + LinkDelay + slow, n, sender.name, message});
        }
    }
}

void ShardSimulation::drain(SimulatedEntry &entry, std::size_t index)
{
    for (const ShardStoreRequest &it : entry.out.store) {
        sendToStore(entry, index, it.request, it.body);
    }
    for (const ShardPromiseRequest &it : entry.out.promises) {
        sendMessage(index, it.successor, it.message);
    }
    entry.out.store.clear();
    entry.out.promises.clear();
    entry.out.logs.clear();
}

void ShardSimulation::takeRecovered(SimulatedEntry &entry, ShardId id)
{
    if (entry.out.recovered.empty()) {
        return;
    }
    entry.live[id] = std::move(entry.out.recovered);
    entry.out.recovered.clear();
}

void ShardSimulation::recordDurable(const SimulatedEntry &entry, ShardId id)
{
    static const std::vector<JournalRecord> none;
    const auto found = entry.live.find(id);
    const std::vector<JournalRecord> &live = found == entry.live.end() ? none : found->second;
    auto &durable = m_durable[id];
    const ShardLog &log = *entry.logs.at(id);
    const std::size_t count = std::min<std::size_t>(log.durable().value, live.size());
    for (std::size_t n = 0; n < count; n++) {
        const auto [it, added] = durable.emplace(RecordNumber{n + 1}, serialOf(live[n]));
        if (!added && it->second != serialOf(live[n])) {
            m_violations.push_back("record " + std::to_string(n + 1) + " at " + entry.name.text + " differs from the durable one");
        }
    }
    if (log.canOrder(clockOf(entry).steady) && live.size() < durable.size()) {
        m_violations.push_back(entry.name.text + " holds the shard without all durable records");
    }
}

void ShardSimulation::endClaim(SimulatedEntry &entry, ShardId id, Now now)
{
    const auto it = entry.logs.find(id);
    if (it == entry.logs.end() || it->second->phase() == ShardPhase::Claiming) {
        return;
    }
    const ShardLog &log = *it->second;
    const bool lost = log.phase() == ShardPhase::Lost;
    if (entry.leaseMonitor->isTakingOver(id)) {
        entry.leaseMonitor->onTakeOverEnded(id, !lost, log.conflictingRow(), now);
        if (!lost && log.epoch() <= m_epochs[id]) {
            m_violations.push_back("the epoch did not grow");
        }
    }
    m_epochs[id] = std::max(m_epochs[id], log.epoch());
    if (lost) {
        entry.logs.erase(it);
        entry.live.erase(id);
    }
}

void ShardSimulation::onAnswer(std::size_t index, const FakeAnswer &answer, Now now)
{
    SimulatedEntry &entry = entries[index];
    entry.storeFailed = std::holds_alternative<StoreFailed>(answer.answer);
    if (entry.poll == answer.request) {
        entry.poll.reset();
        return;
    }
    if (entry.scan == answer.request) {
        entry.scan.reset();
        const auto *page = std::get_if<StoreRows>(&answer.answer);
        page != nullptr ? entry.leaseMonitor->onScan(*page, now) : entry.leaseMonitor->onScanFailed(now);
        return;
    }
    const auto read = entry.reads.find(answer.request);
    if (read != entry.reads.end()) {
        const auto *rows = std::get_if<StoreRows>(&answer.answer);
        if (rows != nullptr && !rows->rows.empty()) {
            entry.leaseMonitor->onRow(rows->rows.front(), now);
        }
        entry.reads.erase(read);
        return;
    }
    for (auto &[id, log] : entry.logs) {
        if (log->onStoreReply(answer.request, answer.answer, now, entry.out)) {
            takeRecovered(entry, id);
            recordDurable(entry, id);
            endClaim(entry, id, now);
            return;
        }
    }
}

void ShardSimulation::onMessage(std::size_t index, const EntryName &from, const EntryToEntry &message, Now now)
{
    SimulatedEntry &entry = entries[index];
    if (const auto *status = std::get_if<EntryStatus>(&message)) {
        for (const HeldLease &it : status->leases) {
            const auto log = entry.logs.find(it.shard);
            if (log != entry.logs.end()) {
                log->second->onOtherHolder(it, entry.out);
                endClaim(entry, it.shard, now);
            }
        }
        entry.leaseMonitor->onStatus(*status, now);
    } else if (const auto *request = std::get_if<PromiseRequest>(&message)) {
        sendMessage(index, from, entry.leaseMonitor->onPromiseRequest(*request, isStoreUnavailableFor(entry), now));
    } else if (const auto *answer = std::get_if<PromiseAnswer>(&message)) {
        const auto log = entry.logs.find(answer->shard);
        if (log != entry.logs.end()) {
            log->second->onPromise(from, *answer, now);
        }
    }
}

void ShardSimulation::heartbeat(std::size_t index, Now now)
{
    SimulatedEntry &entry = entries[index];
    if (now.steady < entry.nextHeartbeat) {
        return;
    }
    entry.nextHeartbeat = now.steady + Heartbeat;
    EntryStatus status;
    status.entry = entry.name;
    status.incarnation = entry.incarnation;
    for (const auto &[id, log] : entry.logs) {
        if (log->phase() != ShardPhase::Claiming) {
            status.leases.push_back(log->heldLease());
        }
    }
    for (const SimulatedEntry &it : entries) {
        if (it.name != entry.name) {
            sendMessage(index, it.name, status);
        }
    }
}

void ShardSimulation::tickLogs(SimulatedEntry &entry, Now now)
{
    std::vector<ShardId> ids;
    for (auto &[id, log] : entry.logs) {
        ids.push_back(id);
    }
    for (const ShardId id : ids) {
        ShardLog &log = *entry.logs.at(id);
        log.tick(now, entry.out);
        takeRecovered(entry, id);
        if (log.isSnapshotDue()) {
            log.writeSnapshot(entry.live[id], now, entry.out);
        }
        recordDurable(entry, id);
        endClaim(entry, id, now);
    }
}

void ShardSimulation::tickMonitor(SimulatedEntry &entry, std::size_t index, Now now)
{
    const LeaseMonitorDue due = entry.leaseMonitor->tick(isStoreUnavailableFor(entry), now);
    for (const TakeOverDue &it : due.takeOvers) {
        if (entry.logs.count(it.shard) > 0) {
            entry.leaseMonitor->onTakeOverEnded(it.shard, false, std::nullopt, now);
            continue;
        }
        auto &log = entry.logs[it.shard];
        log = std::make_unique<ShardLog>(it.shard, entry.name, entry.incarnation, m_settings);
        log->setSuccessors(successorsOf(index));
        log->takeOverVersion(it.version, now, entry.out);
    }
    for (const ShardId id : due.reads) {
        const StoreRequestId request = entry.out.nextRequest;
        entry.out.nextRequest.value++;
        entry.reads[request] = id;
        sendToStore(entry, index, request, StoreGet{leaseKey(id)});
    }
    if (due.scan) {
        entry.scan = entry.out.nextRequest;
        entry.out.nextRequest.value++;
        sendToStore(entry, index, *entry.scan, *due.scan);
    }
}

} // namespace Vanillahall
