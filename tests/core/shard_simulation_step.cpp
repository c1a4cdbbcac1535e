/** Time steps and scheduled events of the simulation of shards. */
#include "shard_simulation.h"
#include <algorithm>
#include <ostream>

namespace Vanillahall {

using namespace std::chrono_literals;

namespace {

constexpr Duration TimeStep = 10ms;
constexpr Duration PollInterval = 2s;

JournalRecord makeRecord(ShardId shard, std::uint64_t serial)
{
    ProgramEnded it;
    it.program = ProgramId{shard, serial};
    return it;
}

} // namespace

void ShardSimulation::stepEntry(std::size_t index)
{
    SimulatedEntry &entry = entries[index];
    if (!entry.running) {
        if (m_now >= entry.startAt) {
            start(index);
        }
        return;
    }
    if (m_now < entry.pausedUntil) {
        return;
    }
    const Now now = clockOf(entry);
    for (const auto &[from, message] : std::exchange(entry.inbox, {})) {
        onMessage(index, from, message, now);
    }
    for (const FakeAnswer &it : std::exchange(entry.answers, {})) {
        onAnswer(index, it, now);
    }
    tickLogs(entry, now);
    tickMonitor(entry, index, now);
    if (!entry.poll && now.steady >= entry.nextPoll) {
        entry.nextPoll = now.steady + PollInterval;
        entry.poll = entry.out.nextRequest;
        entry.out.nextRequest.value++;
        sendToStore(entry, index, *entry.poll, StoreGet{RowKey{"config"}});
    }
    drain(entry, index);
    heartbeat(index, now);
}

void ShardSimulation::checkSingleHolder()
{
    std::map<ShardId, std::string> holders;
    for (const SimulatedEntry &entry : entries) {
        for (const auto &[id, log] : entry.logs) {
            if (!entry.running || !log->canOrder(clockOf(entry).steady)) {
                continue;
            }
            std::string &holder = holders[id];
            if (!holder.empty()) {
                m_violations.push_back("both " + holder + " and " + entry.name.text + " may order calls");
            }
            holder = entry.name.text;
        }
    }
}

void ShardSimulation::step()
{
    m_now += TimeStep;
    for (FakeAnswer &it : store.advance(m_now)) {
        SimulatedEntry &entry = entries[it.client];
        if (entry.running && it.request.value / 1'000'000 == entry.incarnation.value) {
            entry.answers.push_back(std::move(it));
        }
    }
    for (const SimulatedMessage &it : m_messages) {
        if (it.arrives <= m_now && entries[it.to].running) {
            entries[it.to].inbox.emplace_back(it.from, it.message);
        }
    }
    std::erase_if(m_messages, [&](const SimulatedMessage &it) {
        return it.arrives <= m_now;
    });
    for (std::size_t n = 0; n < entries.size(); n++) {
        stepEntry(n);
        checkSingleHolder();
    }
}

void ShardSimulation::run(Duration time)
{
    for (const TimePoint end = m_now + time; m_now < end && m_violations.empty();) {
        step();
    }
}

void ShardSimulation::endFaults()
{
    for (SimulatedEntry &entry : entries) {
        entry.pausedUntil = m_now;
        entry.faultUntil = m_now;
        entry.cutUntil = m_now;
        entry.slowUntil = m_now;
        entry.startAt = std::min(entry.startAt, m_now);
    }
}

std::optional<std::size_t> ShardSimulation::holderOf(ShardId shard) const
{
    for (std::size_t n = 0; n < entries.size(); n++) {
        const auto it = entries[n].logs.find(shard);
        if (entries[n].running && it != entries[n].logs.end() && it->second->canOrder(clockOf(entries[n]).steady)) {
            return n;
        }
    }
    return std::nullopt;
}

void ShardSimulation::perform(const SimulationAction &action)
{
    SimulatedEntry &entry = entries[action.entry % entries.size()];
    const bool awake = entry.running && m_now >= entry.pausedUntil;
    const auto setFault = [&](SimulatedEntry &it, StoreFault fault) {
        it.fault = fault;
        it.faultUntil = m_now + action.length;
        it.faultDelay = action.amount * 100ms;
    };
    switch (action.kind) {
    case SimulationActionKind::Append:
        for (auto &[id, log] : entry.logs) {
            const bool canAppend = log->phase() == ShardPhase::Held || log->phase() == ShardPhase::Lapsed;
            for (unsigned n = 0; n < action.amount && awake && canAppend && !log->isHandingOver(); n++) {
                entry.live[id].push_back(makeRecord(id, m_nextSerial));
                log->append(makeRecord(id, m_nextSerial++), clockOf(entry), entry.out);
            }
        }
        break;
    case SimulationActionKind::StoreRefuses:
        setFault(entry, StoreFault::Refused);
        break;
    case SimulationActionKind::StoreSilent:
        setFault(entry, StoreFault::Silent);
        break;
    case SimulationActionKind::AnswersLost:
        setFault(entry, StoreFault::AnswerLost);
        break;
    case SimulationActionKind::WritesDelayed:
        setFault(entry, StoreFault::Delayed);
        break;
    case SimulationActionKind::StaleReads:
        setFault(entry, StoreFault::Stale);
        break;
    case SimulationActionKind::StoreDown:
        std::for_each(entries.begin(), entries.end(), [&](SimulatedEntry &it) {
            setFault(it, action.amount % 2 == 0 ? StoreFault::Refused : StoreFault::Silent);
        });
        break;
    case SimulationActionKind::Pause:
        entry.pausedUntil = m_now + action.length;
        break;
    case SimulationActionKind::Crash:
        entry.running = false;
        entry.startAt = m_now + action.length;
        break;
    case SimulationActionKind::LinkCut:
        entry.cutUntil = m_now + action.length;
        break;
    case SimulationActionKind::LinkSlow:
        entry.slowUntil = m_now + action.length;
        entry.slowBy = action.amount * 100ms;
        break;
    case SimulationActionKind::HandOver:
        for (auto &[id, log] : entry.logs) {
            if (awake && log->phase() == ShardPhase::Held) {
                log->handOver(entries[(action.entry + 1) % entries.size()].name, clockOf(entry), entry.out);
            }
        }
        break;
    case SimulationActionKind::Rename:
        entry.successorShift = action.amount;
        entry.successorCount = action.amount % 3;
        for (auto &[id, log] : entry.logs) {
            log->setSuccessors(successorsOf(action.entry % entries.size()));
        }
        break;
    }
    run(action.after);
}

} // namespace Vanillahall
