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

/** Broken attempts of one content at one entry. */
struct CrashCount
{
    std::uint64_t content{}; ///< Hash of the content.
    std::uint32_t breaks{};  ///< Attempts that ended with a broken connection.
};

inline constexpr std::uint32_t CrashLimit = 3; ///< Broken attempts after which a content is refused; fewer happen by chance.
inline constexpr Duration CrashMemory = std::chrono::seconds(120); ///< A count is kept for so long after its last change.

/** @return Hash of what makes two requests the same content. */
std::uint64_t contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body);

/** Counts of all entries. */
class CrashBook
{
public:
    // Commands.

    /** An attempt broke. @return The count of this entry, to be shared. */
    CrashCount broke(std::uint64_t content, TimePoint now);
    /** An attempt was answered: its content doesn't crash servers. @return True if a count was kept until now. */
    bool worked(std::uint64_t content);
    /** Takes the counts that other entries share, all of them. */
    void share(const std::vector<CrashCount> &others);
    /** Forgets old counts of this entry. @return Their contents, whose shared counts may be removed. */
    std::vector<std::uint64_t> forget(TimePoint now);

    // Queries.

    /** @return True if a content is refused. */
    [[nodiscard]] bool isRefused(std::uint64_t content) const;

private:
    /** Count of this entry. */
    struct Own
    {
        std::uint32_t breaks = 0; ///< Broken attempts.
        TimePoint last{};         ///< The last one.
    };

    std::unordered_map<std::uint64_t, Own> m_own;
    std::unordered_map<std::uint64_t, std::uint32_t> m_others;
};

} // namespace Vanillahall::Forward
