#include "entry_peer_func.h"
#include "entry_shard_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration DrainTimeout = std::chrono::seconds(4); ///< After this a shard is handed over although calls are still running.

bool hasCalls(const EntryState &entry, ShardId shard)
{
    return std::any_of(entry.calls.begin(), entry.calls.end(), [shard](const auto &it) {
        return it.first.program.shard == shard;
    });
}

bool isIdle(const EntryState &entry)
{
    const bool waits = std::any_of(entry.shards.begin(), entry.shards.end(), [](const auto &it) {
        return !it.second.waits.empty();
    });
    return entry.calls.empty() && !waits;
}

void handOverWhenDrained(EntryState &entry, HeldShard &shard)
{
    const ShardId id = shard.log.shard();
    const bool drained = !hasCalls(entry, id) || entry.now.steady - entry.stop->since > DrainTimeout;
    const std::vector<EntryName> successors = successorsOf(entry, id);
    if (shard.programs.programs().empty()) {
        handOverShard(entry, shard, EntryName());
    } else if (drained && !successors.empty()) {
        handOverShard(entry, shard, successors.front());
        entry.nextHeartbeat = entry.now.steady;
    }
}

} // namespace

void beginStop(EntryState &entry)
{
    if (entry.stop) {
        return;
    }
    entry.stop = PlannedStop{entry.now.steady, false};
    entry.nextHeartbeat = entry.now.steady;
    logLine(entry, LogLevel::Info, EventNumber::StopBegun, std::nullopt, {}, {});
}

void sweepStop(EntryState &entry)
{
    if (!entry.stop || entry.stop->finished) {
        return;
    }
    bool alone = true;
    for (auto &[id, shard] : entry.shards) {
        alone = alone && successorsOf(entry, id).empty();
        if (servingShard(entry, id) != nullptr) {
            handOverWhenDrained(entry, shard);
        }
    }
    const bool drained = entry.shards.empty() || (alone && isIdle(entry));
    const bool timedOut = entry.now.steady - entry.stop->since > entry.settings.stopLimit;
    if ((drained && entry.requests.empty() && entry.unstored.empty()) || timedOut) {
        entry.stop->finished = true;
        logLine(entry, LogLevel::Info, EventNumber::StopDone, std::nullopt, {}, {});
        addAction(entry, StopFinished());
    }
}

} // namespace Vanillahall
