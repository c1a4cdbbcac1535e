/** Bookkeeping of one engine's prefix cache: whose prefixes stay pinned between the turns of a program. */
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

/**
 * Tracks the pinned prefixes of one engine and chooses what to evict when they no longer fit.
 * Estimates when a paused program resumes from the pauses observed for its class.
 */
class CachePinManager
{
public:
    CachePinManager();
    ~CachePinManager();
    CachePinManager(CachePinManager &&) noexcept;
    CachePinManager &operator=(CachePinManager &&) noexcept;

    // Commands.

    /** Records that a call of the program was accepted, which ends its pause. */
    void recordResume(const ProgramId &program, TimePoint now);
    /** Records that a model call starts at the engine; the program is pinned from then on. */
    void recordStart(const ProgramId &program, const ClassName &className, std::uint32_t promptTokens, TimePoint now);
    /** Records the token counts of a model call that finished with a result. */
    void recordResult(const ProgramId &program, std::uint32_t promptTokens, std::uint32_t cachedTokens, std::uint32_t completionTokens);
    /** Records that no call of the program waits or runs here any more, which starts a pause. */
    void recordPause(const ProgramId &program, TimePoint now);
    /** Removes a program that has ended. @return True if it was pinned. */
    bool recordEnd(const ProgramId &program, TimePoint now);
    /** Records that the memory of a paused program is released; no effect if it is active or not pinned. */
    void recordRelease(const ProgramId &program, TimePoint now);
    /** Records that the engine restarted and its cache is empty. */
    void recordEngineRestart();
    /** Sets the capacity of the engine's memory in tokens; 0 means unknown. */
    void setCapacity(std::uint64_t tokens);
    /** Removes programs that were released and have not resumed within `limit`. */
    void removeReleased(Duration limit, TimePoint now);

    // Queries.

    /** @return The paused program to evict next; nothing while all pinned programs fit. */
    [[nodiscard]] std::optional<ProgramId> evictionCandidate(TimePoint now) const;
    /** @return True if the engine may hold memory for the program. */
    [[nodiscard]] bool isPinned(const ProgramId &program) const;
    /** @return All pinned programs, in order. */
    [[nodiscard]] std::vector<ProgramId> programs() const;
    /** @return Pinned programs of one shard, in order. */
    [[nodiscard]] std::vector<ProgramId> programs(ShardId shard) const;
    /** @return Tokens of all pinned programs. */
    [[nodiscard]] std::uint64_t pinnedTokens() const;
    /** @return Expected time until a paused program resumes, divided by the probability that it does. */
    [[nodiscard]] Duration expectedReturn(const ProgramId &program, TimePoint now) const;
    [[nodiscard]] const CacheCounters &counters() const;

private:
    std::unique_ptr<CachePinManagerState> m_state;
};

} // namespace Vanillahall
