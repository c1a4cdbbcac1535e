/**
 * Detection of requests that crash the servers that run them.
 * Load pattern: one request crashes a server, its client sends it again through any entry, with changes that don't matter to the fault, and
 * each further attempt crashes another server with all requests running there. Entries record failed attempts with the features of their
 * requests and share the records, so that only a few servers are lost. A crash breaks many attempts at once, often while the store is in
 * trouble too: records are shared in batches, until the store has them.
 */
#pragma once

#include "vanillahall/core/crash/crash_attribution_func.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

inline constexpr Duration CrashRecordLifetime = std::chrono::seconds(120); ///< Age from which a record doesn't count any more.
inline constexpr Duration MinCrashHold = std::chrono::seconds(90); ///< Least time from the last crash of a feature until it is tried again.
inline constexpr std::size_t SuccessSharers = 16; ///< Number of entries that share a success of a feature that all of them see.
inline constexpr Duration CrashRetryInterval = std::chrono::milliseconds(400); ///< Delay after a failed write.
inline constexpr std::size_t MaxSharedCrashes = 100;                           ///< Records in one write; the store takes up to 100 rows.
inline constexpr std::size_t MaxUnsharedCrashes = 5000; ///< Records that wait for the store; beyond that the oldest are dropped.
inline constexpr std::size_t MaxAttributedCrashes
    = 400; ///< Records that are attributed; beyond that the oldest of harmless requests don't count.

/** Counts broken attempts of this entry and of the other entries. */
class CrashTracker
{
public:
    // Commands.

    /**
     * Sets how long a feature is refused after its last crash. Entries with different values don't all try it again at once.
     * @param hold From MinCrashHold to CrashRecordLifetime.
     */
    void setHold(Duration hold);
    /** Sets the number of entries, which limits how many of them share the same success. */
    void setEntries(std::size_t count);
    /** Records a broken attempt. Its record is shared by the next beginShare(). @return Features that are refused from now on. */
    std::vector<AttributedFeature> recordCrash(const CrashedAttempt &attempt, TimePoint now);
    /** @return Records to write to the store now; none if there are none, if a write is under way, or shortly after a failed one. */
    std::vector<CrashEvidence> beginShare(TimePoint now);
    /**
     * Handles the end of the write that beginShare() has started.
     * @param isStored False if it failed or its outcome is unknown.
     * @return Records of it that no longer count and are to be removed from the store.
     */
    std::vector<CrashRecord> endShare(bool isStored, TimePoint now);
    /** Handles the return of the store after an outage: waiting records are written at once. */
    void onStoreBack(TimePoint now);
    /**
     * Records an attempt that succeeded. Its content doesn't crash servers, unless it has crashed one since the attempt was sent, and its
     * other features are no explanation of the crashes until now. The latter is shared if other entries may be about to refuse them.
     * @param sentAt When the attempt was sent.
     * @return Records of this entry that no longer count.
     */
    std::vector<CrashRecord> recordSuccess(const RequestFeatures &features, TimePoint sentAt, TimePoint now);
    /** Replaces the records of the other entries by all that they share. @return Features that are refused from now on. */
    std::vector<AttributedFeature> updateShared(std::vector<CrashEvidence> records, TimePoint now);
    /** Removes the expired records of this entry. @return The removed records. */
    std::vector<CrashRecord> removeExpired(TimePoint now);

    // Queries.

    /** @return The broadest feature for which such a request is refused; null if it isn't refused. */
    [[nodiscard]] const AttributedFeature *refusedFeature(const RequestFeatures &features, TimePoint now) const;
    /** @return Time until a refused feature is tried again. */
    [[nodiscard]] Duration holdLeft(const AttributedFeature &refused, TimePoint now) const;
    /** @return Number of records that the store doesn't have yet. */
    [[nodiscard]] std::size_t unsharedCount() const;
    /** @return Number of records of a content, of this entry and of the others. */
    [[nodiscard]] std::size_t recordCount(std::uint64_t content) const;

private:
    /** Record that the store doesn't have yet. */
    struct UnsharedRecord
    {
        CrashEvidence evidence;
        bool isObsolete = false; ///< True if it no longer counts, but its write is under way.
    };

    /** Keeps a record of this entry, and shares it. */
    void add(CrashEvidence evidence);
    /** Removes own records. @return Those that the store may have. */
    template<typename Predicate>
    std::vector<CrashRecord> removeOwn(const Predicate &isRemoved);
    /** Attributes all crashes again. @return Features that weren't refused before. */
    std::vector<AttributedFeature> attribute(TimePoint now);

    std::deque<CrashEvidence> m_own;                                 ///< Records of this entry, oldest first.
    std::vector<CrashEvidence> m_shared;                             ///< Records of the other entries.
    std::unordered_map<std::uint64_t, AttributedFeature> m_refused;  ///< Refused features, by hash.
    std::unordered_map<std::uint64_t, std::size_t> m_suspects;       ///< Independent crashes of each feature since it was cleared, by hash.
    std::unordered_map<std::uint64_t, std::size_t> m_sharedSuspects; ///< The same as the other entries see it.
    ClearedFeatures m_cleared;                                       ///< Features of successes of this entry, as far as they are suspects.
    Duration m_hold = CrashRecordLifetime;
    std::size_t m_entries = 1;
    std::uint64_t m_serial = 0;
    std::deque<UnsharedRecord> m_unshared; ///< Records that the store doesn't have yet, oldest first.
    std::size_t m_sharing = 0;             ///< Number of records at the front of `m_unshared` whose write is under way.
    TimePoint m_nextShareAt{};             ///< No write starts before this time.
};

} // namespace Vanillahall::Forward
