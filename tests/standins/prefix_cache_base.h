/** Prefix cache of the engine stand-in. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall {

/** A message of a prompt, identified by its prefix. */
struct PrefixLink
{
    std::uint64_t hash{};   ///< Hash of the prompt up to and including this message.
    std::uint64_t tokens{}; ///< Tokens of this message alone.
};

using PrefixChain = std::vector<PrefixLink>; ///< A prompt, message by message.

/** @return The hash of a prefix followed by one more message. */
std::uint64_t chainHash(std::uint64_t prefix, const std::string &message);

/** @return Number of tokens of a prompt. */
std::uint64_t tokensOf(const PrefixChain &chain);

/** LRU cache of prompt prefixes at message granularity, with a capacity in tokens. Pinned prompts are not evicted. */
class PrefixCache
{
public:
    /** Called when a pinned prefix was stored or evicted. */
    using Listener = std::function<void(bool stored, const std::string &pin, std::uint64_t tokens)>;

    PrefixCache(std::uint64_t capacity, Listener listener);

    /** Looks a prompt up and marks its cached messages as recently used. @return Number of tokens of the longest cached prefix. */
    std::uint64_t match(const PrefixChain &chain);

    /** Stores as much of a prompt as fits, evicting the least recently used prefixes that are not pinned. */
    void store(const PrefixChain &chain);

    /** Pins a prompt under a name; replaces the name's earlier pin. */
    void pin(const std::string &name, const PrefixChain &chain);

    /** Removes a pin. @return False if the name is unknown. */
    bool unpin(const std::string &name);

    /** Removes all pins. */
    void unpinAll();

    /** @return The pinned prompts by name. */
    [[nodiscard]] const std::map<std::string, PrefixChain> &pins() const;

    /** @return Number of cached tokens. */
    [[nodiscard]] std::uint64_t used() const;

    /** @return Capacity in tokens. */
    [[nodiscard]] std::uint64_t capacity() const;

private:
    /** A cached message. */
    struct Node
    {
        std::uint64_t parent{};   ///< Hash of the preceding prefix; 0 if none.
        std::uint64_t tokens{};   ///< Its own tokens.
        std::uint64_t lastUse{};  ///< Logical time of the last use.
        std::uint32_t children{}; ///< Number of cached messages that follow it directly.
        std::uint32_t pins{};     ///< Number of pinned prompts that contain it.
    };

    bool evictOne();
    void remove(std::uint64_t hash);
    void addPins(const PrefixChain &chain, int change);

    std::uint64_t m_capacity;
    Listener m_listener;
    std::uint64_t m_used = 0;
    std::uint64_t m_clock = 0;
    std::unordered_map<std::uint64_t, Node> m_nodes;
    std::map<std::string, PrefixChain> m_pins;
};

} // namespace Vanillahall
