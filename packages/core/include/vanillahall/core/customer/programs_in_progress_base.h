/**
 * Programs that this proxy has served a request of recently.
 * Load pattern: a customer far over its limit keeps beginning programs; without precedence, programs in progress fail half-way and all that
 * was spent on them is lost.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Vanillahall::Forward {

/** What a request tells about its program. */
struct ProgramHints
{
    std::string_view customer;    ///< Customer; programs of two customers are different ones.
    std::string_view program;     ///< Program; empty if none.
    std::string_view session;     ///< Session; differs from the program in requests of a sub-agent.
    bool hasPreviousTurn = false; ///< True if the request names the turn that it continues.
    bool isModelRoute = true;     ///< False for calls of plain services, which follow a turn.
};

/** Remembers programs, in least-recently-used order. */
class ProgramsInProgress
{
public:
    // Commands.

    /** Records that a request of a program is served. */
    void record(const ProgramHints &hints, TimePoint now);

    // Queries.

    /** @return True if a request belongs to a program in progress. */
    [[nodiscard]] bool contains(const ProgramHints &hints, TimePoint now) const;
    /** @return Number of remembered programs. */
    [[nodiscard]] std::size_t size() const;

private:
    /** A remembered program. */
    struct Program
    {
        std::uint64_t hash{}; ///< Hash of customer and program.
        TimePoint servedAt{}; ///< When a request of it was last served.
    };

    std::list<Program> m_programs; ///< Programs, least recently served first.
    std::unordered_map<std::uint64_t, std::list<Program>::iterator> m_byHash;
};

/** A program counts as in progress for this time after its last request; calls of plain services seldom take longer. */
inline constexpr Duration ProgramMemoryTime = std::chrono::seconds(30);
/** Remembered programs at most, about 100 bytes each; 30 s of 130 new programs per second. */
inline constexpr std::size_t MaxProgramsInProgress = 4096;

} // namespace Vanillahall::Forward
