/** Cache of which entry holds which shard. Its content is only a hint: the holder itself decides whether it holds a shard. */
#pragma once

#include "vanillahall/core/message_type.h"
#include "vanillahall/core/store_type.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Vanillahall {

/** Lifetimes and limits of the directory. */
struct HolderDirectorySettings
{
    Duration missingLifetime = std::chrono::seconds(5); ///< The lease row of a shard that doesn't exist isn't read again for this long.
    Duration minReadInterval = std::chrono::milliseconds(500); ///< Shortest time from the end of a read of a lease row to its next read.
    Duration readTimeout = std::chrono::milliseconds(800);     ///< A read without a reply counts as failed after this.
    std::size_t maxShards = 20'000;                            ///< Most shards in the cache; the least recently used are evicted first.
};

/** Holder of a shard, as last known. */
struct Holder
{
    EntryName owner;    ///< The holder; empty if the shard was handed over and has not been taken over yet.
    Epoch epoch;        ///< Its fencing number.
    RowVersion version; ///< Version of the lease row that named the holder; 0 if unknown.
};

/** What the directory knows about a shard. */
enum class HolderKnowledge : std::uint8_t {
    Known,   ///< The holder is known.
    Missing, ///< The shard doesn't exist.
    Unknown, ///< The lease row has to be read.
    Reading, ///< The lease row is being read.
};

/** Result of a look-up. */
struct HolderLookup
{
    HolderKnowledge knowledge = HolderKnowledge::Unknown; ///< What is known.
    Holder holder;                                        ///< The holder, if it is known.
};

struct HolderDirectoryState;

/** Cache of shards and their holders. An entry of the cache is never replaced by one of an older epoch or row version. */
class HolderDirectory
{
public:
    explicit HolderDirectory(HolderDirectorySettings settings);
    ~HolderDirectory();
    HolderDirectory(HolderDirectory &&) noexcept;
    HolderDirectory &operator=(HolderDirectory &&) noexcept;

    // Commands.

    /** Records the leases named by a heartbeat. */
    void onStatus(const EntryStatus &status, Now now);
    /** Records a lease row that was read. */
    void onRow(const StoredRow &row, Now now);
    /** Records that a lease row was read and doesn't exist. */
    void onMissing(ShardId shard, Now now);
    /** Records that a lease row could not be read. */
    void onReadFailed(ShardId shard, Now now);
    /** Records that an entry isn't the holder by its own reply, or can't be reached. If it is the known holder, the row has to be read. */
    void onNotHolder(ShardId shard, const EntryName &entry, Now now);
    /** Records that this entry has become the holder of a shard. */
    void onHeld(ShardId shard, const Holder &holder, Now now);
    /**
     * Starts a read of a lease row, unless one is in progress or has ended recently.
     * @return True if the caller has to read the row now.
     */
    bool beginRead(ShardId shard, Now now);

    // Queries.

    /** Looks up a shard. */
    [[nodiscard]] HolderLookup find(ShardId shard, Now now) const;
    /** @return Number of shards in the cache. */
    [[nodiscard]] std::size_t size() const;

private:
    std::unique_ptr<HolderDirectoryState> m_state;
};

} // namespace Vanillahall
