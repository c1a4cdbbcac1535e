/** Kept turns that were read or written here a while ago, within a bound in bytes. */
#pragma once

#include "vanillahall/core/conversation_type.h"

#include <list>
#include <unordered_map>

namespace Vanillahall::Forward {

/** The least recently used turns are forgotten first. */
class TurnCache
{
public:
    /** @param maxBytes Most bytes of turns held. */
    explicit TurnCache(std::size_t maxBytes);

    // Commands.

    /** Holds a turn. One that is larger than the whole cache isn't held. */
    void put(const TurnRecord &turn);
    /** @return A turn, or null. It counts as used. */
    TurnRecord use(const std::string &id);
    /** Forgets a turn. */
    void remove(const std::string &id);

    // Queries.

    /** @return Bytes of turns held. */
    [[nodiscard]] std::size_t bytes() const;
    /** @return Number of turns held. */
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::list<TurnRecord> m_byUse; ///< Least recently used first.
    std::unordered_map<std::string, std::list<TurnRecord>::iterator> m_turns;
};

} // namespace Vanillahall::Forward
