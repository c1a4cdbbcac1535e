#include "vanillahall/core/holder_directory_base.h"

#include "holder_directory_state.h"

#include <algorithm>
#include <vector>

namespace Vanillahall {

namespace {

/** Evicts the least recently used tenth of the shards. */
void evictLeastRecentlyUsed(HolderDirectoryState &state)
{
    constexpr std::size_t EvictedPart = 10;
    std::vector<TimePoint> times;
    times.reserve(state.shards.size());
    for (const auto &[id, row] : state.shards) {
        times.push_back(row.lastUsed);
    }
    const auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() / EvictedPart);
    std::nth_element(times.begin(), limit, times.end());
    std::erase_if(state.shards, [&](const auto &it) {
        return it.second.lastUsed <= *limit;
    });
}

DirectoryRow &findOrInsertRow(HolderDirectoryState &state, ShardId shard, Now now)
{
    if (state.shards.size() >= state.settings.maxShards && state.shards.count(shard) == 0) {
        evictLeastRecentlyUsed(state);
    }
    DirectoryRow &row = state.shards[shard];
    row.lastUsed = now.steady;
    return row;
}

/** Updates the holder, unless a newer one is known. */
void updateHolder(DirectoryRow &row, const Holder &holder)
{
    const bool newer = holder.epoch > row.holder.epoch || (holder.epoch == row.holder.epoch && holder.version >= row.holder.version);
    if (!newer) {
        return;
    }
    row.holder = holder;
    row.known = true;
    row.missingUntil.reset();
}

} // namespace

HolderDirectory::HolderDirectory(HolderDirectorySettings settings)
    : m_state(std::make_unique<HolderDirectoryState>())
{
    m_state->settings = settings;
}

HolderDirectory::~HolderDirectory() = default;
HolderDirectory::HolderDirectory(HolderDirectory &&) noexcept = default;
HolderDirectory &HolderDirectory::operator=(HolderDirectory &&) noexcept = default;

void HolderDirectory::onStatus(const EntryStatus &status, Now now)
{
    for (const HeldLease &it : status.leases) {
        updateHolder(findOrInsertRow(*m_state, it.shard, now), Holder{status.entry, it.epoch, it.version});
    }
}

void HolderDirectory::onRow(const StoredRow &row, Now now)
{
    const auto *lease = std::get_if<LeaseRow>(&row.value);
    if (lease == nullptr) {
        return;
    }
    DirectoryRow &known = findOrInsertRow(*m_state, lease->shard, now);
    known.readStarted.reset();
    known.readEnded = now.steady;
    if (lease->retired) {
        known.known = false;
        known.missingUntil = now.steady + m_state->settings.missingLifetime;
        return;
    }
    updateHolder(known, Holder{lease->owner, lease->epoch, row.version});
}

void HolderDirectory::onMissing(ShardId shard, Now now)
{
    DirectoryRow &row = findOrInsertRow(*m_state, shard, now);
    row.readStarted.reset();
    row.readEnded = now.steady;
    if (!row.known) {
        row.missingUntil = now.steady + m_state->settings.missingLifetime;
    }
}

void HolderDirectory::onReadFailed(ShardId shard, Now now)
{
    DirectoryRow &row = findOrInsertRow(*m_state, shard, now);
    row.readStarted.reset();
    row.readEnded = now.steady;
}

void HolderDirectory::onNotHolder(ShardId shard, const EntryName &entry, Now now)
{
    DirectoryRow &row = findOrInsertRow(*m_state, shard, now);
    if (row.holder.owner == entry) {
        row.known = false;
    }
}

void HolderDirectory::onHeld(ShardId shard, const Holder &holder, Now now)
{
    updateHolder(findOrInsertRow(*m_state, shard, now), holder);
}

bool HolderDirectory::beginRead(ShardId shard, Now now)
{
    DirectoryRow &row = findOrInsertRow(*m_state, shard, now);
    const HolderDirectorySettings &settings = m_state->settings;
    if (row.readStarted && now.steady < *row.readStarted + settings.readTimeout) {
        return false;
    }
    if (row.readEnded && now.steady < *row.readEnded + settings.minReadInterval) {
        return false;
    }
    row.readStarted = now.steady;
    return true;
}

} // namespace Vanillahall
