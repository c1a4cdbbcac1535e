/**
 * Detection of requests that crash the servers that run them.
 * Load pattern: one request crashes a server, its client sends it again through any entry, and each further attempt crashes another server
 * with all requests running there. Entries count failed attempts by content and share the counts, so that only a few servers are lost.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
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

/** @return Hash that identifies the content of a request: method, target and body, or the program instead of an empty body. */
std::uint64_t contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body);

/** Counts broken attempts of this entry and of the other entries. */
class CrashTracker
{
public:
    // Commands.

    /** Records a broken attempt. @return Its record, to be shared. */
    CrashRecord recordCrash(std::uint64_t content, TimePoint now);
    /** Records an attempt that got a response, so its content doesn't crash servers. @return Records of this entry that no longer count. */
    std::vector<CrashRecord> recordSuccess(std::uint64_t content);
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
    /** @return Number of records of a content, of this entry and of the others. */
    [[nodiscard]] std::size_t recordCount(std::uint64_t content) const;

private:
    /** Records of this entry for one content. */
    struct OwnRecords
    {
        std::vector<std::uint64_t> serials; ///< Serial numbers of the records.
        TimePoint lastCrash{};              ///< Time of the last broken attempt.
    };

    std::vector<CrashRecord> removeRecords(std::unordered_map<std::uint64_t, OwnRecords>::iterator own);

    std::unordered_map<std::uint64_t, OwnRecords> m_own;
    std::unordered_map<std::uint64_t, std::size_t> m_sharedCounts; ///< Number of records of other entries, by content.
    std::uint64_t m_serial = 0;
};

} // namespace Vanillahall::Forward
