#include "client_account.h"

#include <algorithm>
#include <tuple>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t ReliefDivisor = 8; ///< An eighth of the limit is released at once, so that the clients aren't sorted for each byte.
constexpr std::size_t ShortDivisor = 2;  ///< Buffers stay small while more than half of the limit is in use.
constexpr Duration MinHeldTime = std::chrono::milliseconds(1); ///< Makes the bytes decide between clients that came at the same time.

double weight(const ClosableClient &client, TimePoint now)
{
    const auto held
        = std::max(now - client.heldSince, Duration::zero()) + std::max(now - client.progressAt, Duration::zero()) + MinHeldTime;
    return static_cast<double>(client.bytes) * std::chrono::duration<double>(held).count();
}

} // namespace

ClientAccount::ClientAccount(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void ClientAccount::change(Holding holding, std::size_t oldBytes, std::size_t newBytes)
{
    auto &bytes = m_bytes.at(static_cast<std::size_t>(holding));
    bytes = bytes - oldBytes + newBytes;
    m_total = m_total - oldBytes + newBytes;
}

std::size_t ClientAccount::bytes(Holding holding) const
{
    return m_bytes.at(static_cast<std::size_t>(holding));
}

std::size_t ClientAccount::total() const
{
    return m_total;
}

bool ClientAccount::fits(std::size_t bytes) const
{
    return m_total + bytes <= m_maxBytes;
}

bool ClientAccount::isOver() const
{
    return m_total > m_maxBytes;
}

bool ClientAccount::isShort() const
{
    return m_total > m_maxBytes / ShortDivisor;
}

std::size_t ClientAccount::excess() const
{
    return isOver() ? m_total - (m_maxBytes - m_maxBytes / ReliefDivisor) : 0;
}

HeldBytes::HeldBytes(std::shared_ptr<ClientAccount> account, Holding holding)
    : m_account(std::move(account))
    , m_holding(holding)
{
}

HeldBytes::~HeldBytes()
{
    set(0);
}

void HeldBytes::set(std::size_t bytes)
{
    m_account->change(m_holding, m_bytes, bytes);
    m_bytes = bytes;
}

std::size_t HeldBytes::bytes() const
{
    return m_bytes;
}

std::vector<std::uint64_t> selectForMemory(std::vector<ClosableClient> clients, std::size_t excess, TimePoint now)
{
    std::erase_if(clients, [](const ClosableClient &it) {
        return it.bytes < MinClosedBytes;
    });
    std::sort(clients.begin(), clients.end(), [now](const ClosableClient &left, const ClosableClient &right) {
        return weight(left, now) > weight(right, now);
    });
    std::vector<std::uint64_t> chosen;
    std::size_t released = 0;
    for (const auto &it : clients) {
        if (released >= excess) {
            break;
        }
        released += it.bytes;
        chosen.push_back(it.id);
    }
    return chosen;
}

std::vector<std::uint64_t> selectForConnections(std::vector<ClosableClient> clients, std::size_t count)
{
    count = std::min(count, clients.size());
    std::partial_sort(clients.begin(),
                      clients.begin() + static_cast<std::ptrdiff_t>(count),
                      clients.end(),
                      [](const ClosableClient &left, const ClosableClient &right) {
                          return std::make_tuple(!left.isClosing, left.hasBeenServed, left.progressAt)
                              < std::make_tuple(!right.isClosing, right.hasBeenServed, right.progressAt);
                      });
    std::vector<std::uint64_t> chosen;
    for (std::size_t n = 0; n < count; n++) {
        chosen.push_back(clients[n].id);
    }
    return chosen;
}

} // namespace Vanillahall::Forward
