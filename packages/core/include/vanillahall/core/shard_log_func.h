/** Row keys of leases and journals, and the size of records. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <cstddef>

namespace Vanillahall {

/** @return Key of a shard's lease row. */
RowKey leaseKey(ShardId shard);

/** @return Key of a journal segment; keys of one shard sort by segment number. */
RowKey segmentKey(ShardId shard, SegmentNumber number);

/** @return A scan over one page of lease rows, in order of their shards. @param from First shard. */
StoreScan leaseScan(ShardId from);

/** @return Estimated size of a record in the store, in bytes. */
std::size_t recordBytes(const JournalRecord &record);

} // namespace Vanillahall
