/** State of HolderDirectory. Changed only by its commands. */
#pragma once

#include "vanillahall/core/holder_directory_base.h"

#include <optional>
#include <unordered_map>

namespace Vanillahall {

/** Cached information about one shard. */
struct DirectoryRow
{
    Holder holder;                         ///< The newest holder that was reported.
    bool known{};                          ///< False if the lease row has to be read.
    std::optional<TimePoint> missingUntil; ///< Until when the shard is assumed not to exist.
    std::optional<TimePoint> readStarted;  ///< Start of the read in progress.
    std::optional<TimePoint> readEnded;    ///< End of the newest read.
    TimePoint lastUsed;                    ///< Time of the last command that accessed the row.
};

/** All state of a HolderDirectory. */
struct HolderDirectoryState
{
    HolderDirectorySettings settings;                 ///< Lifetimes and limits.
    std::unordered_map<ShardId, DirectoryRow> shards; ///< Known shards.
};

} // namespace Vanillahall
