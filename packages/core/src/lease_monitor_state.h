/** State of the watch over other entries' leases. Changed only by the commands of LeaseMonitor. */
#pragma once

#include "vanillahall/core/lease_monitor_base.h"

#include <map>
#include <set>

namespace Vanillahall {

/** What is known of one shard. */
struct WatchedShard
{
    EntryName holder;                   ///< Who holds it; empty if it was handed over.
    RowVersion version;                 ///< Newest known version of its row.
    std::vector<EntryName> successors;  ///< Named in that version.
    bool retired{};                     ///< True if the row says so.
    TimePoint seen;                     ///< A moment not before that version was in the store: when this entry was first told.
    TimePoint heard;                    ///< Newest heartbeat that named the shard.
    std::optional<TimePoint> asked;     ///< When a read of the row was last asked for.
    std::optional<TimePoint> firstRead; ///< First read from the store that showed this version.
    std::optional<TimePoint> lastRead;  ///< Newest read from the store that showed this version.
    TimePoint notBefore;                ///< No takeover before this, after one that failed.
    bool readWanted{};                  ///< True if the row shall be read without waiting for silence.
    bool orphan{};                      ///< True if the row has stayed unchanged for so long that any entry may take it.
};

/** Everything that a LeaseMonitor knows. */
struct LeaseMonitorState
{
    EntryName self;                         ///< This entry.
    Incarnation incarnation;                ///< This run of it.
    ShardLogSettings settings;              ///< How leases work.
    Duration heartbeat{};                   ///< Time between two heartbeats of an entry.
    std::map<ShardId, WatchedShard> shards; ///< Shards of others.
    std::map<ShardId, TimePoint> promises;  ///< Until when this entry won't take a shard over.
    std::set<ShardId> takingOver;           ///< Takeovers under way.
    std::optional<TimePoint> nextScan;      ///< When the next search for orphans begins; nothing before the first tick.
    std::optional<ShardId> scanFrom;        ///< Where the search goes on; nothing between two searches.
    bool scanAsked{};                       ///< True while a page is being read.
};

} // namespace Vanillahall
