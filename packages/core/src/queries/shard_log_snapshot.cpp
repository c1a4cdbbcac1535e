#include "queries/shard_log_snapshot.h"

#include "vanillahall/core/id_func.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace Vanillahall {

namespace {

constexpr std::uint64_t MaxEarlierEpochs = 8; ///< Number of earlier epochs whose objects are removed.

/** Numbers in the key of a snapshot. */
struct SnapshotNumbers
{
    std::uint64_t sequence{}; ///< Increases by one with every snapshot of the shard.
    std::uint64_t epoch{};    ///< Epoch of the holder that wrote it.
};

ObjectKey snapshotKey(ShardId shard, SnapshotNumbers numbers)
{
    return ObjectKey{"snap/" + toText(shard) + "/" + std::to_string(numbers.sequence) + "-" + std::to_string(numbers.epoch)};
}

/** @return Numbers in the key; zeros if the key is empty or invalid. */
SnapshotNumbers parseKey(const ObjectKey &key)
{
    SnapshotNumbers numbers;
    const std::size_t slash = key.text.rfind('/');
    const std::size_t dash = key.text.rfind('-');
    if (slash == std::string::npos || dash == std::string::npos || dash < slash) {
        return numbers;
    }
    const char *begin = key.text.data();
    std::from_chars(begin + slash + 1, begin + dash, numbers.sequence);
    std::from_chars(begin + dash + 1, begin + key.text.size(), numbers.epoch);
    return numbers;
}

} // namespace

ObjectKey nextSnapshotKey(const LeaseRow &row)
{
    return snapshotKey(row.shard, SnapshotNumbers{parseKey(row.snapshot).sequence + 1, row.epoch.value});
}

std::vector<ObjectKey> leftoverObjects(const LeaseRow &row)
{
    std::vector<ObjectKey> keys;
    if (row.lastSegment.value == 0) {
        return keys;
    }
    const SnapshotNumbers present = parseKey(row.snapshot);
    const std::uint64_t newest = row.epoch.value - 1;
    const std::uint64_t oldest = row.epoch.value > MaxEarlierEpochs ? row.epoch.value - MaxEarlierEpochs : 1;
    for (std::uint64_t epoch = std::max(oldest, present.epoch); epoch <= newest; epoch++) {
        keys.push_back(snapshotKey(row.shard, SnapshotNumbers{present.sequence + 1, epoch}));
    }
    for (std::uint64_t epoch = oldest; present.sequence > 1 && epoch <= present.epoch; epoch++) {
        keys.push_back(snapshotKey(row.shard, SnapshotNumbers{present.sequence - 1, epoch}));
    }
    return keys;
}

} // namespace Vanillahall
