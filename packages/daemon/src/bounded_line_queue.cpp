#include "bounded_line_queue.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxBuffered = std::size_t{512} * 1024; ///< About 1,500 lines: some seconds of a busy entry.
constexpr std::size_t WriteAtOnce = 4096;                    ///< A pipe that is ready takes this much without blocking.

bool isWritable(int fd)
{
    pollfd waited{fd, POLLOUT, 0};
    return poll(&waited, 1, 0) == 1 && (waited.revents & POLLOUT) != 0;
}

} // namespace

BoundedLineQueue::BoundedLineQueue(int fd)
    : m_fd(fd)
{
}

void BoundedLineQueue::add(std::string_view line)
{
    if (m_text.size() + line.size() + 1 > MaxBuffered) {
        m_leftOut++;
        return;
    }
    m_text.append(line).append("\n");
}

std::uint64_t BoundedLineQueue::flush()
{
    std::size_t done = 0;
    while (done < m_text.size() && isWritable(m_fd)) {
        const auto n = write(m_fd, m_text.data() + done, std::min(WriteAtOnce, m_text.size() - done));
        if (n <= 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    m_text.erase(0, done);
    const bool hasRoom = m_text.size() < MaxBuffered / 2;
    return hasRoom ? std::exchange(m_leftOut, 0) : 0;
}

std::size_t BoundedLineQueue::size() const
{
    return m_text.size();
}

} // namespace Vanillahall
