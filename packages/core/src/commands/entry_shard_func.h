/** Shards held or claimed by this entry: journals, takeovers, hand-overs. */
#pragma once

#include "entry_state.h"

namespace Vanillahall {

/** Creates the shard that new programs are created in. */
void createOwnShard(EntryState &entry);

/** Takes over a shard whose lease has expired or that was handed over. */
void takeOverShard(EntryState &entry, const TakeOverDue &due);

/** Appends a record to the journal and applies it to the program registry. @pre servingShard() returned the shard. */
RecordNumber appendRecord(EntryState &entry, HeldShard &shard, const JournalRecord &record);

/** Ends a program and its sub-agents. @return The record after which that is durable. */
RecordNumber endProgram(EntryState &entry, HeldShard &shard, const ProgramId &id);

/** Hands a shard over. @param to The next holder; empty if the shard is to be retired. */
void handOverShard(EntryState &entry, HeldShard &shard, const EntryName &to);

/** Handles a reply of the store. @return True if it belongs to a request of a shard. */
bool onShardStore(EntryState &entry, const StoreReplyReceived &event);

/** Renews leases and commits journals as scheduled. */
void tickShards(EntryState &entry);

/** Handles shards that have been loaded or lost and records that have become durable. */
void processShardChanges(EntryState &entry);

/** Checks time limits, writes snapshots, removes programs that ended long ago and retires empty shards. */
void sweepShards(EntryState &entry);

/** Handles a gate's report of what it holds for a shard that was taken over. */
void onShardAdopted(EntryState &entry, const ServerName &server, const ShardAdopted &message);

/** @return True until all known gates have reported what they hold for a shard that was taken over, or the adoption time-out has passed. */
bool isAdopting(const EntryState &entry, const HeldShard &shard);

/**
 * @return True if a known gate hasn't reported yet what it holds for a shard that was taken over. Unlike isAdopting(), there is no
 * time-out.
 */
bool isGateMissing(const EntryState &entry, const HeldShard &shard);

/** @return True if the platform's store is unavailable to this entry. */
bool isStoreUnavailable(const EntryState &entry);

/** Handles another entry's statement that it holds a shard. */
void onOtherHolder(EntryState &entry, const HeldLease &lease);

} // namespace Vanillahall
