/**
 * Servers that have handled an object lately.
 * Load pattern: requests name one of very many objects, few of them often; a server that has handled an object works faster on it.
 */
#pragma once

#include "vanillahall/core/placement/aged_mean_base.h"
#include "vanillahall/core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Tracks which servers have handled an object, and what that saves. */
class ObjectDirectory
{
public:
    static constexpr std::size_t MaxHolders = 2; ///< Servers tracked per object: the last one, and the one before when the last is full.
    using Holders = std::array<std::uint64_t, MaxHolders>; ///< Hashes of the servers, the latest first; 0 for none.

    // Commands.

    /** Records that a server handles an object. */
    void record(std::uint64_t object, std::uint64_t server);
    /**
     * Records the work of a request for an object.
     * @param wasKnown True if its server was known to have handled the object.
     * @param ratio Observed work relative to the expected work of its kind.
     */
    void recordWork(bool wasKnown, double ratio, TimePoint now);

    // Queries.

    /** @return Servers that have handled the object. */
    [[nodiscard]] Holders holders(std::uint64_t object) const;
    /** @return Share of a request's work that is saved at a server that has handled its object. */
    [[nodiscard]] double saving() const;
    /** @return Number of objects that are tracked. */
    [[nodiscard]] std::size_t size() const;

private:
    /** Holders of one object. */
    struct Entry
    {
        Holders holders{};
        std::list<std::uint64_t>::iterator position; ///< Position in the order of use.
    };

    std::unordered_map<std::uint64_t, Entry> m_objects;
    std::list<std::uint64_t> m_byUse; ///< Objects, least recently used first.
    // The first requests are sent to known servers in order to learn what that saves; a quarter is worth a try, but hardly a wait.
    AgedMean m_known{0.75, 8, std::chrono::minutes(2)}; ///< Work at servers that know the object.
    AgedMean m_other{1, 8, std::chrono::minutes(2)};    ///< Work at other servers.
};

/** Objects that are tracked at most; about 150 bytes each. */
inline constexpr std::size_t MaxObjects = 20000;

} // namespace Vanillahall::Forward
