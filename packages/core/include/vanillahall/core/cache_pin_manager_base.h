/** Which programs' prefixes an engine's limited memory keeps while the programs are paused. */
#pragma once

#include "vanillahall/core/cache_pin_manager_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Vanillahall {

struct CachePinManagerState;

/** Pins of one engine. Learns per class how long pauses between turns last. */
class CachePinManager
{
public:
    CachePinManager();
    ~CachePinManager();
    CachePinManager(CachePinManager &&) noexcept;
    CachePinManager &operator=(CachePinManager &&) noexcept;

    // Commands.

    /** A call of the program was accepted; a pause ends. */
    void recordResume(const ProgramId &program, TimePoint now);
    /** A model call starts at the engine; from now on the program is pinned. */
    void recordStart(const ProgramId &program, const ClassName &className, std::uint32_t promptTokens, TimePoint now);
    /** A model call finished with an answer. */
    void recordResult(const ProgramId &program, std::uint32_t promptTokens, std::uint32_t cachedTokens, std::uint32_t completionTokens);
    /** No call of the program waits or runs here any more; a pause begins. */
    void recordPause(const ProgramId &program, TimePoint now);
    /** The program has ended. @return True if it was pinned. */
    bool recordEnd(const ProgramId &program, TimePoint now);
    /** The memory of a paused program is given up. */
    void recordRelease(const ProgramId &program, TimePoint now);
    /** The engine restarted: nothing is cached any more. */
    void recordEngineRestart();
    /** Sets how many tokens fit into the engine's memory; 0 means unknown. */
    void setCapacity(std::uint64_t tokens);
    /** Forgets programs that were given up and have not come back for `limit`. */
    void removeReleased(Duration limit, TimePoint now);

    // Queries.

    /** @return The paused program to give up now; nothing while all fit. */
    [[nodiscard]] std::optional<ProgramId> evictionCandidate(TimePoint now) const;
    /** @return True if the engine may hold memory for the program. */
    [[nodiscard]] bool isPinned(const ProgramId &program) const;
    /** @return All pinned programs, in order. */
    [[nodiscard]] std::vector<ProgramId> programs() const;
    /** @return Pinned programs of one shard, in order. */
    [[nodiscard]] std::vector<ProgramId> programs(ShardId shard) const;
    /** @return Tokens of all pinned programs. */
    [[nodiscard]] std::uint64_t pinnedTokens() const;
    /** @return Expected time until a paused program comes back, divided by the chance that it does. */
    [[nodiscard]] Duration expectedReturn(const ProgramId &program, TimePoint now) const;
    [[nodiscard]] const CacheCounters &counters() const;

private:
    std::unique_ptr<CachePinManagerState> m_state;
};

} // namespace Vanillahall
