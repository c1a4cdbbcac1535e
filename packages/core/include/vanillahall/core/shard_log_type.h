/** Settings and phases of the lease and journal of a shard. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace Vanillahall {

/** Settings of leases and journals. */
struct ShardLogSettings
{
    Duration leaseTime = std::chrono::seconds(3);             ///< A lease expires this long after its last successful renewal was sent.
    Duration leaseMargin = std::chrono::milliseconds(300);    ///< A successor waits this much longer than `leaseTime` before it takes over.
    Duration renewInterval = std::chrono::milliseconds(1000); ///< Longest time between two renewals.
    Duration commitWindow = std::chrono::milliseconds(10);    ///< Records are collected for this long into one transaction (group commit).
    Duration storeTimeLimit = std::chrono::milliseconds(800); ///< Time-out of a request to the store.
    Duration outageLimit = std::chrono::minutes(12);          ///< Promises extend a lease until at most this long after its last renewal.
    Duration orphanTime = std::chrono::minutes(15);           ///< Any entry may take over a shard whose row hasn't changed for this long.
    Duration orphanScan = std::chrono::seconds(60);           ///< Time between scans for orphaned shards.
    std::uint32_t successors = 2;                             ///< Number of successors that a lease names.
    std::uint32_t snapshotSegments = 256;                     ///< Number of segments after which a snapshot is written.
    std::uint64_t snapshotBytes = 1 << 20; ///< Size of segments after which a snapshot is written, unless the last snapshot is larger.
    std::size_t segmentBytes = std::size_t{256} * 1024; ///< A segment is closed before it exceeds this size.
};

/** Phase of a shard at this entry. */
enum class ShardPhase : std::uint8_t {
    Claiming, ///< The conditional write that takes the lease is in progress.
    Loading,  ///< The lease is held; the journal is being read.
    Held,     ///< The lease is valid; programs may run.
    Lapsed,   ///< The lease has expired; it can still be renewed unless another entry has taken it.
    Lost,     ///< Another entry has taken the shard, or it was handed over.
};

} // namespace Vanillahall
