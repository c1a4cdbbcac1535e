#include "entry_shard_func.h"

#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_gate_func.h"
#include "entry_peer_func.h"
#include "entry_pending_command_func.h"
#include "entry_unstored_func.h"
#include "vanillahall/core/id_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration AdoptionTimeout = std::chrono::seconds(1); ///< New turns wait this long after a takeover for the reports of gates.

/** Turns the output of a shard's log into actions and applies recovered records. */
void applyOutput(EntryState &entry, HeldShard &shard, ShardLogOutput &out)
{
    entry.nextStoreRequest = out.nextRequest;
    for (ShardStoreRequest &it : out.store) {
        addAction(entry, SendStoreRequest{it.request, std::move(it.body), entry.settings.log.storeTimeLimit});
    }
    for (const ShardPromiseRequest &it : out.promises) {
        sendToEntry(entry, it.successor, it.message);
    }
    for (const JournalRecord &it : out.recovered) {
        shard.programs.apply(it);
    }
    for (WriteLog &it : out.logs) {
        addAction(entry, std::move(it));
    }
}

/** Runs a command of a shard's log and applies its output. */
template<typename Command>
void runLogCommand(EntryState &entry, HeldShard &shard, Command command)
{
    ShardLogOutput out;
    out.nextRequest = entry.nextStoreRequest;
    command(shard.log, out);
    applyOutput(entry, shard, out);
}

ShardId generateShardId(EntryState &entry)
{
    entry.generatedSerials++;
    const std::string seed = entry.settings.name.text + "/" + std::to_string(entry.settings.incarnation.value) + "/"
        + std::to_string(entry.settings.shard.value) + "/" + std::to_string(entry.generatedSerials);
    return ShardId{contentHash(seed).low};
}

HeldShard &addShard(EntryState &entry, ShardId id)
{
    ShardLog log(id, entry.settings.name, entry.settings.incarnation, entry.settings.log);
    return entry.shards.insert_or_assign(id, HeldShard(std::move(log))).first->second;
}

void loadLedger(HeldShard &shard)
{
    for (const auto &[id, program] : shard.programs.programs()) {
        if (program.root == id) {
            shard.ledger.open(id, program.budget, program.began);
        }
    }
    for (const auto &[id, program] : shard.programs.programs()) {
        for (const auto &[number, turn] : program.turns) {
            if (turn.outcome) {
                shard.ledger.settle(program.root, CallKey{id, number}, turn.spentTokens);
            }
        }
    }
}

void onShardLoaded(EntryState &entry, HeldShard &shard)
{
    shard.loaded = true;
    const ShardId id = shard.log.shard();
    entry.directory.onHeld(id, Holder{entry.settings.name, shard.log.epoch(), shard.log.heldLease().version}, entry.now);
    if (!shard.takenOver) {
        return;
    }
    loadLedger(shard);
    shard.adoptionDeadline = entry.now.steady + AdoptionTimeout;
    for (const ServerName &server : entry.workers.servers()) {
        connectGate(entry, server);
        requestAdoption(entry, shard, server);
    }
    for (const CallKey &key : shard.programs.openIntents()) {
        resumeIntendedCall(entry, shard, key);
    }
}

std::vector<CallKey> callsOf(const EntryState &entry, ShardId id)
{
    std::vector<CallKey> keys;
    for (const auto &[key, call] : entry.calls) {
        if (key.program.shard == id) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

void onShardLost(EntryState &entry, ShardId id)
{
    for (const CallKey &key : callsOf(entry, id)) {
        dropCall(entry, key);
    }
    retainUnstoredTurns(entry, entry.shards.at(id));
    const HeldShard shard = std::move(entry.shards.at(id));
    entry.shards.erase(id);
    entry.directory.onNotHolder(id, entry.settings.name, entry.now);
    for (const DurableWait &it : shard.waits) {
        const auto *wait = std::get_if<AnswerWait>(&it.action);
        for (std::size_t n = 0; wait != nullptr && n < wait->requesters.size(); n++) {
            rerouteRequester(entry, wait->requesters[n], RunState::Unknown);
        }
    }
    if (id == entry.ownShard && !entry.stop) {
        entry.ownShard = generateShardId(entry);
        createOwnShard(entry);
    }
}

/** Handles a change of a shard's phase. @return False if the shard was lost and removed. */
bool handlePhase(EntryState &entry, HeldShard &shard)
{
    const ShardId id = shard.log.shard();
    const ShardPhase phase = shard.log.phase();
    if (shard.takenOver && !shard.takeoverEndReported && phase != ShardPhase::Claiming) {
        shard.takeoverEndReported = true;
        entry.leaseMonitor.onTakeOverEnded(id, phase != ShardPhase::Lost, shard.log.conflictingRow(), entry.now);
    }
    if (phase == ShardPhase::Lost) {
        onShardLost(entry, id);
        return false;
    }
    if (!shard.loaded && phase == ShardPhase::Held) {
        onShardLoaded(entry, shard);
    }
    return true;
}

void removeEndedPrograms(EntryState &entry, HeldShard &shard)
{
    std::vector<ProgramId> roots;
    for (const auto &[id, program] : shard.programs.programs()) {
        if (program.root == id && program.ended && entry.now.wall - *program.ended > entry.settings.endedRetention) {
            roots.push_back(id);
        }
    }
    for (const ProgramId &root : roots) {
        shard.programs.erase(root);
        if (shard.programs.find(root) == nullptr) {
            shard.ledger.close(root);
        }
    }
    std::erase_if(shard.lastAttempt, [&shard](const auto &it) {
        return shard.programs.find(it.first.program) == nullptr;
    });
}

void writeSnapshotIfDue(EntryState &entry, HeldShard &shard)
{
    if (!shard.log.isSnapshotDue()) {
        return;
    }
    runLogCommand(entry, shard, [&](ShardLog &log, ShardLogOutput &out) {
        log.writeSnapshot(shard.programs.records(), entry.now, out);
    });
}

} // namespace

void createOwnShard(EntryState &entry)
{
    HeldShard &shard = addShard(entry, entry.ownShard);
    shard.log.setSuccessors(successorsOf(entry, entry.ownShard));
    runLogCommand(entry, shard, [&entry](ShardLog &log, ShardLogOutput &out) {
        log.create(entry.now, out);
    });
}

void takeOverShard(EntryState &entry, const TakeOverDue &due)
{
    if (entry.shards.contains(due.shard)) {
        return;
    }
    HeldShard &shard = addShard(entry, due.shard);
    shard.takenOver = true;
    shard.log.setSuccessors(successorsOf(entry, due.shard));
    runLogCommand(entry, shard, [&](ShardLog &log, ShardLogOutput &out) {
        log.takeOverVersion(due.version, entry.now, out);
    });
}

RecordNumber appendRecord(EntryState &entry, HeldShard &shard, const JournalRecord &record)
{
    RecordNumber number;
    runLogCommand(entry, shard, [&](ShardLog &log, ShardLogOutput &out) {
        number = log.append(record, entry.now, out);
    });
    shard.programs.apply(record);
    return number;
}

RecordNumber endProgram(EntryState &entry, HeldShard &shard, const ProgramId &id)
{
    for (const ProgramId &member : shard.programs.subtree(id)) {
        const Program &program = *shard.programs.find(member);
        if (program.ended) {
            continue;
        }
        const CallKey key{member, Turn{lastFinished(program).value + 1}};
        if (LiveCall *call = findCall(entry, key)) {
            cancelCall(entry, *call, ErrorCode::Cancelled);
        }
        const RecordNumber number = appendRecord(entry, shard, ProgramEnded{member, entry.now.wall});
        runWhenDurable(shard, number, EndWait{member});
        logLine(entry, LogLevel::Info, EventNumber::ProgramDone, CallKey{member, Turn()}, {}, {});
    }
    return shard.log.appended();
}

void onOtherHolder(EntryState &entry, const HeldLease &lease)
{
    const auto it = entry.shards.find(lease.shard);
    if (it == entry.shards.end()) {
        return;
    }
    runLogCommand(entry, it->second, [&lease](ShardLog &log, ShardLogOutput &out) {
        log.onOtherHolder(lease, out);
    });
}

void handOverShard(EntryState &entry, HeldShard &shard, const EntryName &to)
{
    runLogCommand(entry, shard, [&](ShardLog &log, ShardLogOutput &out) {
        log.handOver(to, entry.now, out);
    });
}

bool onShardStore(EntryState &entry, const StoreReplyReceived &event)
{
    for (auto &[id, shard] : entry.shards) {
        bool handled = false;
        runLogCommand(entry, shard, [&](ShardLog &log, ShardLogOutput &out) {
            handled = log.onStoreReply(event.request, event.answer, entry.now, out);
        });
        if (handled) {
            return true;
        }
    }
    return false;
}

void tickShards(EntryState &entry)
{
    for (auto &[id, shard] : entry.shards) {
        runLogCommand(entry, shard, [&entry](ShardLog &log, ShardLogOutput &out) {
            log.tick(entry.now, out);
        });
    }
}

void processShardChanges(EntryState &entry)
{
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : entry.shards) {
        ids.push_back(id);
    }
    for (const ShardId id : ids) {
        const auto it = entry.shards.find(id);
        if (it != entry.shards.end() && handlePhase(entry, it->second)) {
            runDurableActions(entry, it->second);
        }
    }
}

void sweepShards(EntryState &entry)
{
    for (auto &[id, shard] : entry.shards) {
        expireAnswerWaits(entry, shard);
        shard.log.setSuccessors(successorsOf(entry, id));
        shard.log.setWriteIntervals(entry.storeBudget.commitWindow(), entry.storeBudget.renewInterval());
        if (servingShard(entry, id) == nullptr) {
            continue;
        }
        removeEndedPrograms(entry, shard);
        writeSnapshotIfDue(entry, shard);
        if (id != entry.ownShard && shard.programs.programs().empty() && shard.waits.empty() && !isAdopting(entry, shard)) {
            handOverShard(entry, shard, EntryName());
        }
    }
}

void onShardAdopted(EntryState &entry, const ServerName &server, const ShardAdopted &message)
{
    HeldShard *shard = servingShard(entry, message.shard);
    if (shard == nullptr || message.epoch != shard->log.epoch()) {
        return;
    }
    shard->adoptedGates.insert(server);
    for (const HeldCall &call : message.calls) {
        const Program *program = shard->programs.find(call.key.program);
        const bool live = program != nullptr && !program->ended;
        const auto turn = live ? program->turns.find(call.key.turn) : std::map<Turn, TurnRecord>::const_iterator();
        if (!live) {
            addPendingCommand(entry, server, PendingEnd{call.key.program});
        } else if (turn != program->turns.end()) {
            if (turn->second.outcome) {
                addPendingCommand(entry, server, PendingSettle{call.key, GateTime()});
            }
        } else if (const auto it = shard->recoveredCalls.find(call.key);
                   it == shard->recoveredCalls.end() || it->second.attempt < call.attempt) {
            shard->recoveredCalls[call.key] = RecoveredCall{server, call.attempt, call.content, call.input, call.began};
        }
    }
    onPinnedPrograms(entry, server, message.shard, message.programs);
    for (const HeldCall &call : message.calls) {
        if (shard->programs.find(call.key.program) != nullptr) {
            resumeNextRecoveredCall(entry, *shard, call.key.program);
        }
    }
}

bool isAdopting(const EntryState &entry, const HeldShard &shard)
{
    if (!shard.takenOver || entry.now.steady >= shard.adoptionDeadline) {
        return false;
    }
    return isGateMissing(entry, shard);
}

bool isGateMissing(const EntryState &entry, const HeldShard &shard)
{
    const std::vector<ServerName> servers = entry.workers.servers();
    const auto missing = [&shard](const ServerName &it) {
        return !shard.adoptedGates.contains(it);
    };
    return shard.takenOver && (servers.empty() || std::any_of(servers.begin(), servers.end(), missing));
}

bool isStoreUnavailable(const EntryState &entry)
{
    return std::any_of(entry.shards.begin(), entry.shards.end(), [](const auto &it) {
        return it.second.log.isStoreUnavailable();
    });
}

} // namespace Vanillahall
