/**
 * Requests that crash the servers that run them.
 * Load pattern: one request takes a server down, its caller sends it again through any entry, and each further attempt takes another server
 * down with all that runs there. Entries count broken attempts by content and share the counts, so that few servers are lost.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

/** One attempt that ended with a broken connection. Shared marks may be written and removed late and in any order, as each stands for
 * itself. */
struct CrashRecord
{
    std::uint64_t content{}; ///< Hash of the content.
    std::uint64_t serial{};  ///< Number of the mark within its process.

    bool operator==(const CrashRecord &) const = default;
};

inline constexpr std::uint32_t CrashLimit = 3; ///< Broken attempts after which a content is refused; fewer happen by chance.
inline constexpr Duration CrashMemory = std::chrono::seconds(120); ///< Marks older than this don't count.

/** @return Hash of what makes two requests the same content. */
std::uint64_t contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body);

/** Counts of all entries. */
class CrashTracker
{
public:
    // Commands.

    /** An attempt broke. @return Its mark, to be shared. */
    CrashRecord recordCrash(std::uint64_t content, TimePoint now);
    /** An attempt was answered: its content doesn't crash servers. @return Marks of this entry that don't count any more. */
    std::vector<CrashRecord> recordSuccess(std::uint64_t content);
    /** Takes the contents of all marks that other entries share. */
    void updateShared(const std::vector<std::uint64_t> &contents);
    /** Forgets old marks of this entry. @return The marks. */
    std::vector<CrashRecord> removeExpired(TimePoint now);

    // Queries.

    /** @return True if a content is refused. */
    [[nodiscard]] bool isRefused(std::uint64_t content) const;

private:
    /** Marks of this entry for one content. */
    struct Own
    {
        std::vector<std::uint64_t> serials; ///< The marks.
        TimePoint last{};                   ///< The last broken attempt.
    };

    std::vector<CrashRecord> take(std::unordered_map<std::uint64_t, Own>::iterator own);

    std::unordered_map<std::uint64_t, Own> m_own;
    std::unordered_map<std::uint64_t, std::size_t> m_others; ///< Marks of other entries, by content.
    std::uint64_t m_serial = 0;
};

} // namespace Vanillahall::Forward
