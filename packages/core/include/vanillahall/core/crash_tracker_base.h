/**
 * Detection of requests that crash the servers that run them.
 * Load pattern: one request crashes a server, its client sends it again through any entry, and each further attempt crashes another server
 * with all requests running there. Entries count failed attempts by content and share the counts, so that only a few servers are lost.
 * A crash breaks many attempts at once, often while the store is in trouble too: records are shared in batches, until the store has them.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

/**
 * One attempt that ended with a broken connection. Records are independent of each other, so shared ones may be written and removed late
 * and in any order.
 */
struct CrashRecord
{
    std::uint64_t content{}; ///< Hash of the request's content.
    std::uint64_t serial{};  ///< Number of the record within its process.

    bool operator==(const CrashRecord &) const = default;
};

inline constexpr std::uint32_t CrashLimit = 3; ///< Broken attempts until a content is refused; fewer can happen by chance.
inline constexpr Duration CrashRecordLifetime = std::chrono::seconds(120); ///< Age from which a record doesn't count any more.
inline constexpr Duration CrashReadInterval = std::chrono::seconds(
    2); ///< Interval between reads of the shared records; all entries may refuse a content 3 s after it crashed its third server.
inline constexpr Duration CrashRetryInterval
    = std::chrono::milliseconds(400); ///< Delay after a failed call, and after the store is back until the records of others are read.
inline constexpr std::size_t MaxSharedCrashes = 100;    ///< Records in one write; the store takes up to 100 rows.
inline constexpr std::size_t MaxUnsharedCrashes = 5000; ///< Records that wait for the store; beyond that the oldest are dropped.

/** Records of one write to the store. */
struct CrashBatch
{
    std::vector<CrashRecord> records;
    TimePoint newestAt{}; ///< When the newest of them was made.
};

/**
 * @param target Path of the request; its query, if any, doesn't count.
 * @return Hash that identifies the content of a request: method, path and body, or the program instead of an empty body.
 */
std::uint64_t
contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body, std::string_view owner = {});

/** Counts broken attempts of this entry and of the other entries. */
class CrashTracker
{
public:
    // Commands.

    /** Records a broken attempt. Its record is shared by the next beginShare(). */
    CrashRecord recordCrash(std::uint64_t content, TimePoint now);
    /** @return Records to write to the store now; nothing if there are none, if a write is under way, or shortly after a failed one. */
    std::optional<CrashBatch> beginShare(TimePoint now);
    /**
     * Handles the end of the write that beginShare() has started.
     * @param isStored False if it failed or its outcome is unknown.
     * @return Records of it that no longer count and are to be removed from the store.
     */
    std::vector<CrashRecord> endShare(bool isStored, TimePoint now);
    /** @return True if the shared records are to be read now; the next read is due after an interval then. */
    bool beginRead(TimePoint now);
    /** Handles a failed read of the shared records. */
    void onReadFailed(TimePoint now);
    /** Handles the return of the store after an outage: waiting records are written at once, and those of the other entries read soon. */
    void onStoreBack(TimePoint now);
    /**
     * Records an attempt that succeeded: its content doesn't crash servers, unless it has crashed one since the attempt was sent.
     * @param sentAt When the attempt was sent.
     * @return Records of this entry that no longer count.
     */
    std::vector<CrashRecord> recordSuccess(std::uint64_t content, TimePoint sentAt);
    /**
     * Replaces the counts of other entries by the contents of all records that they share.
     * @return Contents that are refused from now on.
     */
    std::vector<std::uint64_t> updateShared(const std::vector<std::uint64_t> &contents);
    /** Removes the expired records of this entry. @return The removed records. */
    std::vector<CrashRecord> removeExpired(TimePoint now);

    // Queries.

    /** @return True if a content is refused. */
    [[nodiscard]] bool isRefused(std::uint64_t content) const;
    /** @return Number of records that the store doesn't have yet. */
    [[nodiscard]] std::size_t unsharedCount() const;
    /** @return Number of records of a content, of this entry and of the others. */
    [[nodiscard]] std::size_t recordCount(std::uint64_t content) const;

private:
    /** Records of this entry for one content. */
    struct OwnRecords
    {
        std::vector<std::uint64_t> serials; ///< Serial numbers of the records.
        TimePoint lastCrash{};              ///< Time of the last broken attempt.
    };

    /** Record that the store doesn't have yet. */
    struct UnsharedRecord
    {
        CrashRecord record;
        TimePoint madeAt{};
        bool isObsolete = false; ///< True if it no longer counts, but its write is under way.
    };

    std::vector<CrashRecord> removeRecords(std::unordered_map<std::uint64_t, OwnRecords>::iterator own);

    std::unordered_map<std::uint64_t, OwnRecords> m_own;
    std::unordered_map<std::uint64_t, std::size_t> m_sharedCounts; ///< Number of records of other entries, by content.
    std::uint64_t m_serial = 0;
    std::deque<UnsharedRecord> m_unshared; ///< Records that the store doesn't have yet, oldest first.
    std::size_t m_sharing = 0;             ///< Number of records at the front of `m_unshared` whose write is under way.
    TimePoint m_nextShareAt{};             ///< No write starts before this time.
    TimePoint m_nextReadAt{};              ///< When the shared records are read next.
};

} // namespace Vanillahall::Forward
