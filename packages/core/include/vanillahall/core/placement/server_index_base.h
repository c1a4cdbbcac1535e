/**
 * Index of the servers of one service: the home of a program, and a few candidates among many servers.
 * Load pattern: thousands of servers, and hundreds of choices per second on a fraction of a processor.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

/** Whether a server may be a home, and how well it suits. */
enum class HomeSuitability : std::uint8_t {
    Unusable, ///< It can't be a home.
    Limited,  ///< It has a rate limit; a proxy's slots there are too rare for all turns of a program.
    Suitable, ///< It can take all turns of a program.
};

/** Finds servers by their position in the list that the index was built from. */
class ServerIndex
{
public:
    using Judge = std::function<HomeSuitability(std::size_t)>; ///< Judges the server at a position.

    // Commands.

    /** Adds the server at the next position. @param runHash Hash of its id and start time. */
    void add(std::uint64_t runHash, const std::string &zone);

    // Queries.

    /**
     * @return Position of the server with the highest rank for a key; suitable ones precede limited ones, and then those of the zone
     * precede others. All proxies find the same one.
     */
    [[nodiscard]] std::optional<std::size_t> home(std::uint64_t key, const std::string &zone, const Judge &judge) const;
    /**
     * @return Position of the server that all proxies prefer for an object. The rank is computed faster than that of a home, which proxies
     * of earlier releases have to compute alike.
     */
    [[nodiscard]] std::optional<std::size_t> objectHome(std::uint64_t object, const Judge &judge) const;
    /** @return Position of a server, or nothing if it isn't in the index. */
    [[nodiscard]] std::optional<std::size_t> position(std::uint64_t runHash) const;
    /** Appends positions drawn by a key: half of them from a zone, if it has servers. Some may be equal. */
    void draw(std::uint64_t key, const std::string &zone, std::vector<std::size_t> &positions) const;
    /** @return True if the servers are so few that all of them are compared. */
    [[nodiscard]] bool isSmall() const;

private:
    std::vector<std::uint64_t> m_runHashes;
    std::unordered_map<std::uint64_t, std::size_t> m_positions; ///< Positions by hash.
    std::unordered_map<std::string, std::vector<std::size_t>> m_positionsByZone;
};

/** @return Rank of a server for a key; the same at each proxy, so that turns of a program meet at one server without communication. */
[[nodiscard]] std::uint64_t homeRank(std::uint64_t key, std::uint64_t runHash);

/** Up to this many servers of a service, all are compared; 64 comparisons take about 5 us. */
inline constexpr std::size_t MaxComparedServers = 64;

} // namespace Vanillahall::Forward
