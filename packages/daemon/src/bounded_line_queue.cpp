#include "bounded_line_queue.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxBufferedBytes = std::size_t{512} * 1024; ///< About 1,500 lines: a few seconds of log output of a busy entry.
constexpr std::size_t MaxWriteBytes = 4096; ///< PIPE_BUF: a pipe that polls writable accepts this much without blocking.

bool isWritable(int fd)
{
    pollfd descriptor{fd, POLLOUT, 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace

BoundedLineQueue::BoundedLineQueue(int fd)
    : m_fd(fd)
{
}

void BoundedLineQueue::add(std::string_view line)
{
    if (m_text.size() + line.size() + 1 > MaxBufferedBytes) {
        m_droppedLines++;
        return;
    }
    m_text.append(line).append("\n");
}

std::uint64_t BoundedLineQueue::flush()
{
    std::size_t written = 0;
    while (written < m_text.size() && isWritable(m_fd)) {
        const auto n = write(m_fd, m_text.data() + written, std::min(MaxWriteBytes, m_text.size() - written));
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_text.erase(0, written);
    const bool hasRoom = m_text.size() < MaxBufferedBytes / 2;
    return hasRoom ? std::exchange(m_droppedLines, 0) : 0;
}

std::size_t BoundedLineQueue::size() const
{
    return m_text.size();
}

} // namespace Vanillahall
