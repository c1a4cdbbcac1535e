#include "entry_unstored_func.h"

#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_peer_func.h"
#include "entry_route_func.h"
#include "entry_shard_func.h"
#include "vanillahall/core/id_func.h"

namespace Vanillahall {

namespace {

constexpr Duration OfferInterval = std::chrono::milliseconds(500); ///< Interval of offers; equal to that of heartbeats.
constexpr Duration OfferTimeout
    = std::chrono::minutes(15); ///< Turns are offered for this long; equal to orphanTime, as a shard may have no holder until then.

/** Appends an ended turn of an earlier holder to the journal. */
void recordTurn(EntryState &entry, HeldShard &shard, const Program &program, const TurnFinished &record)
{
    const RecordNumber number = appendRecord(entry, shard, record);
    shard.ledger.settle(program.root, record.key, record.spentTokens);
    shard.undurable[record.key] = number;
    shard.recoveredCalls.erase(record.key);
    shard.lastAttempt.erase(record.key);
    logLine(entry,
            LogLevel::Warning,
            EventNumber::TurnDone,
            record.key,
            record.server.text,
            "ended turn received from an earlier holder of the shard");
    runWhenDurable(shard, number, TurnWait{record.key, {record.server}, record.server, GateTime()});
    resumeNextRecoveredCall(entry, shard, record.key.program);
}

/** Accepts an offered turn. @return True if the earlier holder may discard it. */
bool acceptTurn(EntryState &entry, HeldShard &shard, const TurnFinished &record)
{
    const Program *program = shard.programs.find(record.key.program);
    if (program == nullptr || program->ended) {
        return true;
    }
    const auto turn = program->turns.find(record.key.turn);
    if (turn != program->turns.end() && turn->second.outcome) {
        return !shard.undurable.contains(record.key);
    }
    if (const LiveCall *call = findCall(entry, record.key)) {
        if (call->attempt != record.attempt) {
            return true; // A caller has submitted it again since; the newer attempt decides.
        }
        finishCall(entry, record.key, record.outcome);
    } else if (record.key.turn.value == lastFinished(*program).value + 1) {
        recordTurn(entry, shard, *program, record);
    }
    return false;
}

std::vector<CallKey> acceptTurns(EntryState &entry, HeldShard &shard, const std::vector<TurnFinished> &turns)
{
    std::vector<CallKey> kept;
    for (const TurnFinished &it : turns) {
        if (acceptTurn(entry, shard, it)) {
            kept.push_back(it.key);
        }
    }
    return kept;
}

UnstoredTurns makeOffer(ShardId shard, const UnstoredShard &unstored)
{
    UnstoredTurns offer;
    offer.shard = shard;
    for (const auto &[key, record] : unstored.turns) {
        offer.turns.push_back(record);
    }
    return offer;
}

/** Offers the turns to the shard's holder, which may be this entry again. */
void offerTurns(EntryState &entry, ShardId shard)
{
    UnstoredShard &unstored = entry.unstored.at(shard);
    unstored.nextOffer = entry.now.steady + OfferInterval;
    if (HeldShard *own = servingShard(entry, shard)) {
        onTurnsKept(entry, TurnsKept{shard, acceptTurns(entry, *own, makeOffer(shard, unstored).turns)});
        return;
    }
    HolderLookup lookup = entry.directory.find(shard, entry.now);
    if (unstored.unanswered) {
        entry.directory.onNotHolder(shard, lookup.holder.owner, entry.now);
        lookup = entry.directory.find(shard, entry.now);
    }
    const EntryName &holder = lookup.holder.owner;
    unstored.unanswered = lookup.knowledge == HolderKnowledge::Known && !holder.empty() && holder != entry.settings.name;
    if (unstored.unanswered) {
        sendToEntry(entry, holder, makeOffer(shard, unstored));
    } else if (!entry.shards.contains(shard)) {
        readLease(entry, shard);
    }
}

} // namespace

void retainUnstoredTurns(EntryState &entry, const HeldShard &shard)
{
    UnstoredShard unstored;
    for (const auto &[key, number] : shard.undurable) {
        const Program *program = shard.programs.find(key.program);
        if (program == nullptr || program->ended || number <= shard.log.durable()) {
            continue;
        }
        const auto turn = program->turns.find(key.turn);
        if (turn != program->turns.end() && turn->second.outcome) {
            unstored.turns.emplace(key, finishedTurn(key, turn->second, *turn->second.outcome));
        }
    }
    if (unstored.turns.empty()) {
        return;
    }
    unstored.nextOffer = entry.now.steady;
    unstored.deadline = entry.now.steady + OfferTimeout;
    UnstoredShard &retained = entry.unstored[shard.log.shard()];
    unstored.turns.merge(retained.turns);
    retained = std::move(unstored);
}

void sweepUnstoredTurns(EntryState &entry)
{
    std::vector<ShardId> due;
    std::erase_if(entry.unstored, [&](auto &it) {
        auto &[shard, unstored] = it;
        if (entry.now.steady >= unstored.deadline) {
            for (const auto &[key, record] : unstored.turns) {
                logLine(entry, LogLevel::Error, EventNumber::LeaseLost, key, {}, "ended turn lost: not durable, and no holder accepted it");
            }
            return true;
        }
        if (entry.now.steady >= unstored.nextOffer) {
            due.push_back(shard);
        }
        return false;
    });
    for (const ShardId shard : due) {
        offerTurns(entry, shard);
    }
}

void onUnstoredTurns(EntryState &entry, const EntryName &from, const UnstoredTurns &message)
{
    if (HeldShard *shard = servingShard(entry, message.shard)) {
        sendToEntry(entry, from, TurnsKept{message.shard, acceptTurns(entry, *shard, message.turns)});
    }
}

void onTurnsKept(EntryState &entry, const TurnsKept &message)
{
    const auto it = entry.unstored.find(message.shard);
    if (it == entry.unstored.end()) {
        return;
    }
    it->second.unanswered = false;
    for (const CallKey &key : message.turns) {
        it->second.turns.erase(key);
    }
    if (it->second.turns.empty()) {
        entry.unstored.erase(it);
    }
}

} // namespace Vanillahall
