#include "vanillahall/core/turn_cache_base.h"

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t BytesBesideText = 300; ///< Overhead per turn: list and map entries, ids and the record itself.

std::size_t sizeOf(const StoredTurn &turn)
{
    std::size_t bytes = BytesBesideText + turn.text.size();
    for (const auto &it : turn.bases) {
        bytes += sizeof(std::string) + it.size();
    }
    return bytes;
}

} // namespace

TurnCache::TurnCache(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void TurnCache::put(const TurnRecord &turn)
{
    remove(turn->id);
    const auto bytes = sizeOf(*turn);
    if (bytes > m_maxBytes) {
        return;
    }
    while (m_bytes + bytes > m_maxBytes) {
        remove(m_byUse.front()->id);
    }
    m_turns[turn->id] = m_byUse.insert(m_byUse.end(), turn);
    m_bytes += bytes;
}

TurnRecord TurnCache::get(const std::string &id)
{
    const auto it = m_turns.find(id);
    if (it == m_turns.end()) {
        return nullptr;
    }
    m_byUse.splice(m_byUse.end(), m_byUse, it->second);
    return *it->second;
}

void TurnCache::remove(const std::string &id)
{
    const auto it = m_turns.find(id);
    if (it == m_turns.end()) {
        return;
    }
    const auto position = it->second;
    m_turns.erase(it);
    m_bytes -= sizeOf(**position);
    m_byUse.erase(position);
}

std::size_t TurnCache::bytes() const
{
    return m_bytes;
}

std::size_t TurnCache::size() const
{
    return m_turns.size();
}

} // namespace Vanillahall::Forward
