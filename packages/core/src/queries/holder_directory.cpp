#include "vanillahall/core/holder_directory_base.h"

#include "holder_directory_state.h"

namespace Vanillahall {

HolderLookup HolderDirectory::find(ShardId shard, Now now) const
{
    const auto it = m_state->shards.find(shard);
    if (it == m_state->shards.end()) {
        return HolderLookup{HolderKnowledge::Unknown, Holder()};
    }
    const DirectoryRow &row = it->second;
    if (row.known) {
        return HolderLookup{HolderKnowledge::Known, row.holder};
    }
    if (row.missingUntil && now.steady < *row.missingUntil) {
        return HolderLookup{HolderKnowledge::Missing, Holder()};
    }
    const bool reading = row.readStarted && now.steady < *row.readStarted + m_state->settings.readTimeout;
    return HolderLookup{reading ? HolderKnowledge::Reading : HolderKnowledge::Unknown, row.holder};
}

std::size_t HolderDirectory::size() const
{
    return m_state->shards.size();
}

} // namespace Vanillahall
