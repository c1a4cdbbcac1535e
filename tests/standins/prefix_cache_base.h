/** Prefix cache of the engine stand-in with message granularity, limited capacity and pins. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall {

/** A message of a prompt. */
struct PrefixLink
{
    std::uint64_t hash{};   ///< Hash of the prompt up to and including this message.
    std::uint64_t tokens{}; ///< Tokens of this message alone.
};

using PrefixChain = std::vector<PrefixLink>; ///< A prompt, message by message.

/** @return The hash of a prefix extended by a message. */
std::uint64_t chainHash(std::uint64_t prefix, const std::string &message);

/** @return Number of tokens of a prompt. */
std::uint64_t tokensOf(const PrefixChain &chain);

/** Cache of prompt prefixes with least-recently-used eviction. */
class PrefixCache
{
public:
    /** Called when a prefix was pinned (`stored`) or unpinned. */
    using Listener = std::function<void(bool stored, const std::string &pin, std::uint64_t tokens)>;

    PrefixCache(std::uint64_t capacity, Listener listener);

    /** @return Number of tokens of the longest cached prefix of the prompt, which is marked as recently used. */
    std::uint64_t match(const PrefixChain &chain);

    /** Stores a prompt as far as the capacity allows, evicting the least recently used prefixes that are not pinned. */
    void store(const PrefixChain &chain);

    /** Pins a prompt under a name; an earlier prompt of that name is unpinned. */
    void pin(const std::string &name, const PrefixChain &chain);

    /** Unpins the prompt of a name. @return False if the name is unknown. */
    bool unpin(const std::string &name);

    /** Unpins all prompts. */
    void unpinAll();

    /** @return The pinned prompts by name. */
    [[nodiscard]] const std::map<std::string, PrefixChain> &pins() const;

    /** @return Number of tokens in the cache. */
    [[nodiscard]] std::uint64_t used() const;

    /** @return Capacity in tokens. */
    [[nodiscard]] std::uint64_t capacity() const;

private:
    /** A cached message. */
    struct Node
    {
        std::uint64_t parent{};   ///< Hash of the preceding prefix; 0 if none.
        std::uint64_t tokens{};   ///< Tokens of this message alone.
        std::uint64_t lastUse{};  ///< Logical time of the last use.
        std::uint32_t children{}; ///< Cached messages that follow it.
        std::uint32_t pins{};     ///< Pinned prompts that contain it.
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
