/** State of LeaseMonitor. Changed only by its commands. */
#pragma once

#include "vanillahall/core/lease_monitor_base.h"

#include <map>
#include <set>

namespace Vanillahall {

/** What is known about one shard of another entry. */
struct MonitoredShard
{
    EntryName holder;                         ///< The holder; empty if the shard was handed over.
    RowVersion version;                       ///< Newest known version of the lease row.
    std::vector<EntryName> successors;        ///< Successors that this version names.
    bool retired{};                           ///< True if the row marks the shard as retired.
    TimePoint versionSeenAt;                  ///< When this entry first learnt of this version; the row had it in the store by then.
    TimePoint lastHeartbeat;                  ///< Time of the newest heartbeat that named the shard.
    std::optional<TimePoint> readRequestedAt; ///< When a read of the row was last requested.
    std::optional<TimePoint> firstReadAt;     ///< Time of the first read from the store that returned this version.
    std::optional<TimePoint> lastReadAt;      ///< Time of the newest read from the store that returned this version.
    TimePoint earliestTakeOver;               ///< Earliest time of the next takeover after a failed one.
    bool readNeeded{};                        ///< True if the row has to be read although heartbeats of the holder still arrive.
    bool orphan{};                            ///< True if the row has been unchanged for so long that any entry may take over the shard.
};

/** All state of a LeaseMonitor. */
struct LeaseMonitorState
{
    EntryName self;                           ///< This entry.
    Incarnation incarnation;                  ///< Incarnation of this entry's process.
    ShardLogSettings settings;                ///< Settings of leases.
    Duration heartbeat{};                     ///< Interval of the heartbeats of an entry.
    std::map<ShardId, MonitoredShard> shards; ///< Shards of other entries.
    std::map<ShardId, TimePoint> promises;    ///< Until when this entry has promised not to take over a shard.
    std::set<ShardId> takingOver;             ///< Shards whose takeover is in progress.
    std::optional<TimePoint> nextScan;        ///< When the next scan for orphaned shards starts; nothing before the first tick.
    std::optional<ShardId> scanFrom;          ///< First shard of the next page of the scan; nothing between two scans.
    bool scanPending{};                       ///< True while a page is being read.
};

} // namespace Vanillahall
