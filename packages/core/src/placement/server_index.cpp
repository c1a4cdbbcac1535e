#include "vanillahall/core/placement/server_index_base.h"

// A home is found by one short hash per server; inlined, it takes a third of the time.
#define XXH_INLINE_ALL // NOLINT(cppcoreguidelines-macro-usage): a switch of the library
#include <xxhash.h>

namespace Vanillahall::Forward {

std::uint64_t homeRank(std::uint64_t key, std::uint64_t runHash)
{
    return XXH3_64bits_withSeed(&runHash, sizeof runHash, key);
}

void ServerIndex::add(std::uint64_t runHash, const std::string &zone)
{
    m_positions.emplace(runHash, m_runHashes.size());
    m_positionsByZone[zone].push_back(m_runHashes.size());
    m_runHashes.push_back(runHash);
}

std::optional<std::size_t> ServerIndex::home(std::uint64_t key, const std::string &zone, const Judge &judge) const
{
    // Servers are judged only if their rank is the highest so far, since a hash is computed faster than a server is judged.
    struct Best
    {
        std::optional<std::size_t> position;
        std::uint64_t rank = 0;
    };
    Best suitable;
    Best limited;
    const auto consider = [&](std::size_t position) {
        const auto rank = homeRank(key, m_runHashes[position]);
        const bool canBeSuitable = !suitable.position || rank > suitable.rank;
        const bool canBeLimited = !suitable.position && (!limited.position || rank > limited.rank);
        if (!canBeSuitable && !canBeLimited) {
            return;
        }
        const auto suitability = judge(position);
        if (suitability == HomeSuitability::Suitable) {
            suitable = {position, rank};
        } else if (suitability == HomeSuitability::Limited && canBeLimited) {
            limited = {position, rank};
        }
    };
    const auto inZone = m_positionsByZone.find(zone);
    if (inZone != m_positionsByZone.end()) {
        for (const auto it : inZone->second) {
            consider(it);
        }
        if (suitable.position) {
            return suitable.position;
        }
    }
    const auto limitedInZone = limited.position;
    for (std::size_t n = 0; n < m_runHashes.size(); n++) {
        consider(n);
    }
    if (suitable.position) {
        return suitable.position;
    }
    return limitedInZone ? limitedInZone : limited.position;
}

std::optional<std::size_t> ServerIndex::objectHome(std::uint64_t object, const Judge &judge) const
{
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    for (std::size_t n = 0; n < m_runHashes.size(); n++) {
        constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15; // Fractional part of the golden ratio; spreads the bits.
        constexpr int HalfBits = 32;
        std::uint64_t rank = (m_runHashes[n] ^ object) * Multiplier;
        rank = (rank ^ (rank >> HalfBits)) * Multiplier;
        if ((!best || rank > bestRank) && judge(n) == HomeSuitability::Suitable) {
            best = n;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<std::size_t> ServerIndex::position(std::uint64_t runHash) const
{
    const auto it = m_positions.find(runHash);
    return it == m_positions.end() ? std::nullopt : std::optional(it->second);
}

void ServerIndex::draw(std::uint64_t key, const std::string &zone, std::vector<std::size_t> &positions) const
{
    // From the zone, and as many from all: far more than two, so that the best of them is close to the best of all.
    constexpr std::size_t Draws = 12;
    const auto inZone = m_positionsByZone.find(zone);
    for (std::uint64_t n = 0; n < Draws; n++) {
        const auto random = homeRank(key, n);
        positions.push_back(random % m_runHashes.size());
        if (inZone != m_positionsByZone.end()) {
            positions.push_back(inZone->second[(random >> 32U) % inZone->second.size()]);
        }
    }
}

bool ServerIndex::isSmall() const
{
    return m_runHashes.size() <= MaxComparedServers;
}

} // namespace Vanillahall::Forward
