/** Parts of ShardLog's commands. */
#pragma once

#include "shard_log_state.h"

namespace Vanillahall {

/** Gives a request its number and hands it to the owner. */
StoreRequestId sendStoreRequest(ShardLogOutput &out, StoreRequest body);
/** Adds a log line about the shard. */
void writeLog(const ShardLogState &state, LogLevel level, EventNumber event, const std::string &text, ShardLogOutput &out);
/** Notes whether the store answered. */
void noteStore(ShardLogState &state, const StoreAnswer &answer);
/** Changes between Held and Lapsed by the lease's end. */
void updatePhase(ShardLogState &state, Now now, ShardLogOutput &out);
/** Ends this entry's part in the shard. */
void loseShard(ShardLogState &state, const std::string &why, ShardLogOutput &out);

// Lease writes.

/** Starts a write that makes the row or takes it from another holder. */
void startClaim(ShardLogState &state, LeaseWriteKind kind, RowVersion expected, LeaseRow row, Now now, ShardLogOutput &out);
/** Makes the next commit or hand-over from what waits. */
LeaseWrite buildCommit(ShardLogState &state);
/** Sends, repeats or reads back the write of the lease row, as due. */
void driveWrite(ShardLogState &state, Now now, ShardLogOutput &out);
/** Takes in the answer to the write under way. */
void onWriteAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);
/** Takes in the row read after a conflict. */
void onReadBack(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);
/** @return True if the next write may give the lease away. */
bool readyToHandOver(const ShardLogState &state);

// Reading the journal.

/** Starts reading the journal after a takeover. */
void startLoad(ShardLogState &state, Now now, ShardLogOutput &out);
/** Asks for the next part, if none is under way. */
void driveLoad(ShardLogState &state, Now now, ShardLogOutput &out);
/** Takes in a part. */
void onLoadAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);

// Snapshots and clean-up.

/** Writes a waiting snapshot and removes what was replaced, as due. */
void driveSnapshot(ShardLogState &state, Now now, ShardLogOutput &out);
/** Takes in the answer to the write of the object. */
void onSnapshotAnswer(ShardLogState &state, const StoreAnswer &answer);
/** Takes in segments left by an earlier holder. */
void onCleanupScan(ShardLogState &state, const StoreAnswer &answer);
/** Takes in the answer to the removal of an object. */
void onObjectRemoved(ShardLogState &state, const StoreAnswer &answer);
/** Prepares the removal of what earlier holders may have left. */
void startCleanup(ShardLogState &state);

// Promises.

/** Asks for promises while the store is away, as due. */
void drivePromises(ShardLogState &state, Now now, ShardLogOutput &out);

} // namespace Vanillahall
