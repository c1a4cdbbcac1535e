/** Shards at this entry: journals, takeovers, what waits for durability. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Creates the shard that new programs go to. */
void createOwnShard(EntryState &entry);

/** Takes over a shard whose lease has lapsed, or that was handed over. */
void takeOverShard(EntryState &entry, const TakeOverDue &due);

/** Adds a record to the journal and takes it into the book. @pre servingShard() gave the shard. */
RecordNumber appendRecord(EntryState &entry, HeldShard &shard, const JournalRecord &record);

/** Ends a program and its sub-agents. @return The record after which that is durable. */
RecordNumber endProgram(EntryState &entry, HeldShard &shard, const ProgramId &id);

/** Gives a shard away. @param to Who shall take it; empty if it is to be retired. */
void handOverShard(EntryState &entry, HeldShard &shard, const EntryName &to);

/** Takes in an answer of the store. @return True if a shard had asked. */
bool onShardStore(EntryState &entry, const StoreReplyReceived &event);

/** Lets all journals renew and commit as due. */
void tickShards(EntryState &entry);

/** Notices shards that have been loaded or lost, and records that have become durable. */
void settleShards(EntryState &entry);

/** Looks at time limits, snapshots and programs that ended long ago. */
void sweepShards(EntryState &entry);

/** A gate told what it keeps for a shard that was taken over. */
void onShardAdopted(EntryState &entry, const ServerName &server, const ShardAdopted &message);

/** @return True while gates haven't told yet what they keep for a shard that was taken over. */
bool isAdopting(const EntryState &entry, const HeldShard &shard);

/** @return True if a known gate hasn't told yet what it keeps for a shard that was taken over, however long ago. */
bool isGateMissing(const EntryState &entry, const HeldShard &shard);

/** @return True if the platform's store doesn't answer this entry. */
bool isStoreAway(const EntryState &entry);

/** Takes in that another entry says it holds a shard. */
void noteOtherHolder(EntryState &entry, const HeldLease &lease);

} // namespace Vanillahall
