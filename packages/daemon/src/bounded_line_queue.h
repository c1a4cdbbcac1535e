/** Lines on their way to a file descriptor that must never block. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Vanillahall {

/** A bounded buffer of whole lines. */
class BoundedLineQueue
{
public:
    /** @param fd Descriptor that is written to. */
    explicit BoundedLineQueue(int fd);

    // Commands.

    /** Adds a line; it is left out and counted if the buffer is full. */
    void add(std::string_view line);
    /** Writes what the reader takes without blocking. @return Lines left out since the last call, once there is room again. */
    std::uint64_t flush();

    // Queries.

    /** @return Bytes that wait. */
    [[nodiscard]] std::size_t size() const;

private:
    int m_fd;
    std::string m_text;
    std::uint64_t m_leftOut = 0;
};

} // namespace Vanillahall
