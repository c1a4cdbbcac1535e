/** Receive buffer shared by all connections, so that idle ones hold none. */
#pragma once

#include <array>
#include <cstddef>

namespace Vanillahall::Forward {

inline constexpr std::size_t ReadBufferBytes = std::size_t{16} * 1024; ///< Largest number of bytes read at once.
inline constexpr unsigned MaxReadsPerEvent = 4; ///< Reads of one connection before others are served; waiting between them costs more.

/** @return Buffer of the thread. Each loop runs on one thread, and each reader copies what it has read before it returns to the loop. */
inline std::array<char, ReadBufferBytes> &readBuffer()
{
    thread_local std::array<char, ReadBufferBytes> buffer;
    return buffer;
}

} // namespace Vanillahall::Forward
