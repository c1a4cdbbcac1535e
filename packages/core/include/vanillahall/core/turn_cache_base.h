/** Cache of stored turns that this entry has read or written, limited in bytes. */
#pragma once

#include "vanillahall/core/conversation_type.h"

#include <list>
#include <unordered_map>

namespace Vanillahall::Forward {

/** LRU cache of stored turns. */
class TurnCache
{
public:
    /** @param maxBytes Maximum total size. */
    explicit TurnCache(std::size_t maxBytes);

    // Commands.

    /** Inserts a turn, evicting the least recently used ones. A turn larger than the whole cache isn't inserted. */
    void put(const TurnRecord &turn);
    /** Looks up a turn and marks it as recently used. @return The turn, or null. */
    TurnRecord get(const std::string &id);
    /** Removes a turn. */
    void remove(const std::string &id);

    // Queries.

    /** @return Total size of the cached turns in bytes. */
    [[nodiscard]] std::size_t bytes() const;
    /** @return Number of cached turns. */
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::list<TurnRecord> m_byUse; ///< Least recently used first.
    std::unordered_map<std::string, std::list<TurnRecord>::iterator> m_turns;
};

} // namespace Vanillahall::Forward
