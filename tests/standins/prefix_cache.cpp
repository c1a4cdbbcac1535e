#include "prefix_cache_base.h"

#include "vanillahall/core/id_func.h"

#include <utility>

namespace Vanillahall {

std::uint64_t chainHash(std::uint64_t prefix, const std::string &message)
{
    return contentHash(std::to_string(prefix) + message).low;
}

std::uint64_t tokensOf(const PrefixChain &chain)
{
    std::uint64_t tokens = 0;
    for (const auto &it : chain) {
        tokens += it.tokens;
    }
    return tokens;
}

PrefixCache::PrefixCache(std::uint64_t capacity, Listener listener)
    : m_capacity(capacity)
    , m_listener(std::move(listener))
{
}

std::uint64_t PrefixCache::match(const PrefixChain &chain)
{
    std::uint64_t tokens = 0;
    for (const auto &it : chain) {
        const auto node = m_nodes.find(it.hash);
        if (node == m_nodes.end()) {
            break;
        }
        node->second.lastUse = ++m_clock;
        tokens += it.tokens;
    }
    return tokens;
}

void PrefixCache::store(const PrefixChain &chain)
{
    std::uint64_t parent = 0;
    for (const auto &it : chain) {
        const auto known = m_nodes.find(it.hash);
        if (known != m_nodes.end()) {
            known->second.lastUse = ++m_clock;
            parent = it.hash;
            continue;
        }
        const auto before = m_nodes.find(parent);
        if (before != m_nodes.end()) {
            before->second.children++; // Keeps the parent from being evicted below.
        }
        bool room = m_used + it.tokens <= m_capacity;
        while (!room && evictOne()) {
            room = m_used + it.tokens <= m_capacity;
        }
        if (!room) {
            if (before != m_nodes.end()) {
                before->second.children--;
            }
            return;
        }
        m_nodes.emplace(it.hash, Node{parent, it.tokens, ++m_clock, 0, 0});
        m_used += it.tokens;
        parent = it.hash;
    }
}

bool PrefixCache::evictOne()
{
    auto oldest = m_nodes.end();
    for (auto it = m_nodes.begin(); it != m_nodes.end(); ++it) {
        const bool free = it->second.children == 0 && it->second.pins == 0;
        if (free && (oldest == m_nodes.end() || it->second.lastUse < oldest->second.lastUse)) {
            oldest = it;
        }
    }
    if (oldest == m_nodes.end()) {
        return false;
    }
    remove(oldest->first);
    return true;
}

void PrefixCache::remove(std::uint64_t hash)
{
    const auto node = m_nodes.extract(hash);
    m_used -= node.mapped().tokens;
    const auto parent = m_nodes.find(node.mapped().parent);
    if (parent != m_nodes.end()) {
        parent->second.children--;
    }
}

void PrefixCache::addPins(const PrefixChain &chain, int change)
{
    for (const auto &it : chain) {
        const auto node = m_nodes.find(it.hash);
        if (node != m_nodes.end()) {
            node->second.pins += static_cast<std::uint32_t>(change);
        }
    }
}

void PrefixCache::pin(const std::string &name, const PrefixChain &chain)
{
    PrefixChain kept;
    for (const auto &it : chain) {
        if (!m_nodes.contains(it.hash)) {
            break;
        }
        kept.push_back(it);
    }
    addPins(kept, 1);
    const auto earlier = m_pins.extract(name);
    if (!earlier.empty()) {
        addPins(earlier.mapped(), -1);
    }
    m_listener(true, name, tokensOf(kept));
    m_pins[name] = std::move(kept);
}

bool PrefixCache::unpin(const std::string &name)
{
    const auto node = m_pins.extract(name);
    if (node.empty()) {
        return false;
    }
    addPins(node.mapped(), -1);
    m_listener(false, name, tokensOf(node.mapped()));
    return true;
}

void PrefixCache::unpinAll()
{
    while (!m_pins.empty()) {
        unpin(std::string(m_pins.begin()->first));
    }
}

const std::map<std::string, PrefixChain> &PrefixCache::pins() const
{
    return m_pins;
}

std::uint64_t PrefixCache::used() const
{
    return m_used;
}

std::uint64_t PrefixCache::capacity() const
{
    return m_capacity;
}

} // namespace Vanillahall
