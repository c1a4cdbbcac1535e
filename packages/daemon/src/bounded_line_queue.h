/** Queue of output lines for a file descriptor whose writer must never block. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Vanillahall {

/** A bounded queue of complete lines. */
class BoundedLineQueue
{
public:
    /** @param fd Descriptor to write to. */
    explicit BoundedLineQueue(int fd);

    // Commands.

    /** Appends a line. If the queue is full, the line is dropped and counted. */
    void add(std::string_view line);
    /**
     * Writes as much as the descriptor accepts without blocking.
     * @return Number of lines dropped since it was last reported; 0 while the queue is at least half full.
     */
    std::uint64_t flush();

    // Queries.

    /** @return Queued bytes. */
    [[nodiscard]] std::size_t size() const;

private:
    int m_fd;
    std::string m_text;
    std::uint64_t m_droppedLines = 0;
};

} // namespace Vanillahall
