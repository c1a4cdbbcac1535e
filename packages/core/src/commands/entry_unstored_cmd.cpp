#include "entry_unstored_func.h"

#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_peer_func.h"
#include "entry_route_func.h"
#include "entry_shard_func.h"
#include "vanillahall/core/id_func.h"

namespace Vanillahall {

namespace {

constexpr Duration OfferInterval = std::chrono::milliseconds(500); ///< Between two offers; as often as heartbeats.
constexpr Duration OfferLimit = std::chrono::minutes(15);          ///< As long as a shard may stay without a holder: its orphanTime.

/** Adds an ended turn of an earlier holder to the journal. */
void recordTurn(EntryState &entry, HeldShard &shard, const Program &program, const TurnFinished &record)
{
    const RecordNumber number = appendRecord(entry, shard, record);
    shard.ledger.settle(program.root, record.key, record.spentTokens);
    shard.undurable[record.key] = number;
    shard.recoveredCalls.erase(record.key);
    shard.lastAttempt.erase(record.key);
    logLine(entry, LogLevel::Warning, EventNumber::TurnDone, record.key, record.server.text, "from an earlier holder of the shard");
    waitDurable(shard, number, TurnWait{record.key, {record.server}, record.server, GateTime()});
    resumeNextFound(entry, shard, record.key.program);
}

/** @return True if the earlier holder may forget the turn. */
bool takeTurn(EntryState &entry, HeldShard &shard, const TurnFinished &record)
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
            return true; // A caller has asked again since; the newer order decides.
        }
        finishCall(entry, record.key, record.outcome);
    } else if (record.key.turn.value == lastFinished(*program).value + 1) {
        recordTurn(entry, shard, *program, record);
    }
    return false;
}

std::vector<CallKey> takeTurns(EntryState &entry, HeldShard &shard, const std::vector<TurnFinished> &turns)
{
    std::vector<CallKey> kept;
    for (const TurnFinished &it : turns) {
        if (takeTurn(entry, shard, it)) {
            kept.push_back(it.key);
        }
    }
    return kept;
}

UnstoredTurns offerOf(ShardId shard, const UnstoredShard &left)
{
    UnstoredTurns offer;
    offer.shard = shard;
    for (const auto &[key, record] : left.turns) {
        offer.turns.push_back(record);
    }
    return offer;
}

/** Offers turns to the shard's holder, which may be this entry again. */
void offerTurns(EntryState &entry, ShardId shard)
{
    UnstoredShard &left = entry.unstored.at(shard);
    left.nextOffer = entry.now.steady + OfferInterval;
    if (HeldShard *own = servingShard(entry, shard)) {
        onTurnsKept(entry, TurnsKept{shard, takeTurns(entry, *own, offerOf(shard, left).turns)});
        return;
    }
    HolderLookup lookup = entry.directory.find(shard, entry.now);
    if (left.unanswered) {
        entry.directory.onNotHolder(shard, lookup.holder.owner, entry.now);
        lookup = entry.directory.find(shard, entry.now);
    }
    const EntryName &holder = lookup.holder.owner;
    left.unanswered = lookup.knowledge == HolderKnowledge::Known && !holder.empty() && holder != entry.settings.name;
    if (left.unanswered) {
        sendToEntry(entry, holder, offerOf(shard, left));
    } else if (!entry.shards.contains(shard)) {
        readLease(entry, shard);
    }
}

} // namespace

void keepUnstoredTurns(EntryState &entry, const HeldShard &shard)
{
    UnstoredShard left;
    for (const auto &[key, number] : shard.undurable) {
        const Program *program = shard.programs.find(key.program);
        if (program == nullptr || program->ended || number <= shard.log.durable()) {
            continue;
        }
        const auto turn = program->turns.find(key.turn);
        if (turn != program->turns.end() && turn->second.outcome) {
            left.turns.emplace(key, finishedTurn(key, turn->second, *turn->second.outcome));
        }
    }
    if (left.turns.empty()) {
        return;
    }
    left.nextOffer = entry.now.steady;
    left.giveUp = entry.now.steady + OfferLimit;
    UnstoredShard &kept = entry.unstored[shard.log.shard()];
    left.turns.merge(kept.turns);
    kept = std::move(left);
}

void sweepUnstoredTurns(EntryState &entry)
{
    std::vector<ShardId> due;
    std::erase_if(entry.unstored, [&](auto &it) {
        auto &[shard, left] = it;
        if (entry.now.steady >= left.giveUp) {
            for (const auto &[key, record] : left.turns) {
                logLine(entry, LogLevel::Error, EventNumber::LeaseLost, key, {}, "a turn that the store doesn't have: no holder took it");
            }
            return true;
        }
        if (entry.now.steady >= left.nextOffer) {
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
        sendToEntry(entry, from, TurnsKept{message.shard, takeTurns(entry, *shard, message.turns)});
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
