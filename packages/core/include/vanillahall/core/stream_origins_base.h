/**
 * Software versions that began the streams of this entry.
 * Load pattern: servers or entries are lost while servers of two versions serve, and clients resume many streams at once. An entry that has
 * forwarded a stream's beginning knows its version without a call to the store.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <deque>
#include <unordered_map>

namespace Vanillahall::Forward {

inline constexpr std::size_t MaxStreamOrigins = 20000;                     ///< Streams that are remembered; about 3 MB.
inline constexpr Duration StreamOriginLifetime = std::chrono::seconds(60); ///< Clients resume a stream within the deadline of its request.

/** Remembers the version that began each stream, by the id of the request that brought its first event. */
class StreamOrigins
{
public:
    // Commands.

    /** Records a stream. The first record of a request stays. */
    void record(const std::string &request, const SoftwareVersion &software, TimePoint now);

    // Queries.

    /** @return Version that began a stream; nothing if unknown. */
    [[nodiscard]] std::optional<SoftwareVersion> find(const std::string &request) const;
    /** @return Number of remembered streams. */
    [[nodiscard]] std::size_t size() const;

private:
    /** A remembered stream, in the order of their beginnings. */
    struct Entry
    {
        std::string request;
        TimePoint recordedAt{};
    };

    std::unordered_map<std::string, SoftwareVersion> m_software;
    std::deque<Entry> m_entries; ///< Oldest first.
};

} // namespace Vanillahall::Forward
