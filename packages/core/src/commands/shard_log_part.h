/** Functions shared by the commands of ShardLog. */
#pragma once

#include "shard_log_state.h"

namespace Vanillahall {

/** Assigns a number to a request and adds it to the output. */
StoreRequestId sendStoreRequest(ShardLogOutput &out, StoreRequest body);
/** Adds a log line about the shard to the output. */
void writeLog(const ShardLogState &state, LogLevel level, EventNumber event, const std::string &text, ShardLogOutput &out);
/** Records from a reply whether the store is available. */
void recordStoreReply(ShardLogState &state, const StoreAnswer &answer);
/** Switches between Held and Lapsed depending on the end of the lease. */
void updatePhase(ShardLogState &state, Now now, ShardLogOutput &out);
/** Sets the phase to Lost and discards pending work on the shard. */
void markLost(ShardLogState &state, const std::string &why, ShardLogOutput &out);

// Lease writes.

/** Starts a write that creates the row or takes the lease from another holder. */
void startClaim(ShardLogState &state, LeaseWriteKind kind, RowVersion expected, LeaseRow row, Now now, ShardLogOutput &out);
/** Builds the next commit or hand-over from the pending records. */
LeaseWrite buildCommit(ShardLogState &state);
/** Sends or retries the write of the lease row, or reads the row back, when due. */
void driveWrite(ShardLogState &state, Now now, ShardLogOutput &out);
/** Processes the reply to the write in progress. */
void onWriteAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);
/** Processes the row read after a conflict. */
void onReadBack(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);
/** @return True if the next write may hand the shard over. */
bool isReadyToHandOver(const ShardLogState &state);

// Reading the journal.

/** Starts reading the journal after a takeover. */
void startLoad(ShardLogState &state, Now now, ShardLogOutput &out);
/** Requests the next part of the journal, unless a request is in progress. */
void driveLoad(ShardLogState &state, Now now, ShardLogOutput &out);
/** Processes a part of the journal. */
void onLoadAnswer(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out);

// Snapshots and clean-up.

/** Writes a prepared snapshot and removes obsolete rows and objects, when due. */
void driveSnapshot(ShardLogState &state, Now now, ShardLogOutput &out);
/** Processes the reply to the write of the snapshot object. */
void onSnapshotAnswer(ShardLogState &state, const StoreAnswer &answer);
/** Processes a page of segments left by an earlier holder. */
void onCleanupScan(ShardLogState &state, const StoreAnswer &answer);
/** Processes the reply to the removal of an object. */
void onObjectRemoved(ShardLogState &state, const StoreAnswer &answer);
/** Prepares the removal of segments and objects that earlier holders may have left. */
void startCleanup(ShardLogState &state);

// Promises.

/** Requests promises from the successors while the store is unavailable, when due. */
void drivePromises(ShardLogState &state, Now now, ShardLogOutput &out);

} // namespace Vanillahall
