#include "cache_pin_manager_state_type.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** Adds the memory held during a pause to the counters. @return Length of the pause. */
Duration accountPause(CachePinManagerState &state, const Pin &pin, bool used, TimePoint now)
{
    const Duration pause = now - pin.pausedAt;
    const auto seconds = std::chrono::duration<double>(pause).count();
    const auto tokenSeconds = static_cast<std::uint64_t>(seconds * static_cast<double>(pin.tokens));
    state.counters.heldTokenSeconds += tokenSeconds;
    if (!used) {
        state.counters.wastedTokenSeconds += tokenSeconds;
    }
    return pause;
}

} // namespace

CachePinManager::CachePinManager()
    : m_state(std::make_unique<CachePinManagerState>())
{
}

CachePinManager::~CachePinManager() = default;
CachePinManager::CachePinManager(CachePinManager &&) noexcept = default;
CachePinManager &CachePinManager::operator=(CachePinManager &&) noexcept = default;

void CachePinManager::recordResume(const ProgramId &program, TimePoint now)
{
    const auto it = m_state->pins.find(program);
    if (it == m_state->pins.end() || it->second.isActive) {
        return;
    }
    Pin &pin = it->second;
    const Duration pause = accountPause(*m_state, pin, true, now);
    m_state->classes[pin.className].resumed[pauseBucket(pause)]++;
    pin.isActive = true;
}

void CachePinManager::recordStart(const ProgramId &program, const ClassName &className, std::uint32_t promptTokens, TimePoint now)
{
    recordResume(program, now);
    Pin &pin = m_state->pins[program];
    pin.className = className;
    pin.isPinned = true;
    pin.isActive = true;
    pin.tokens = std::max<std::uint64_t>(pin.tokens, promptTokens);
}

void CachePinManager::recordResult(const ProgramId &program,
                                   std::uint32_t promptTokens,
                                   std::uint32_t cachedTokens,
                                   std::uint32_t completionTokens)
{
    CacheCounters &counters = m_state->counters;
    counters.promptTokens += promptTokens;
    counters.cachedTokens += cachedTokens;
    const auto it = m_state->pins.find(program);
    if (it == m_state->pins.end()) {
        return;
    }
    Pin &pin = it->second;
    const std::uint64_t expected = std::min<std::uint64_t>(pin.lastPrefixTokens, promptTokens);
    counters.recomputedTokens += expected > cachedTokens ? expected - cachedTokens : 0;
    pin.tokens = std::uint64_t{promptTokens} + completionTokens;
    pin.lastPrefixTokens = pin.tokens;
}

void CachePinManager::recordPause(const ProgramId &program, TimePoint now)
{
    const auto it = m_state->pins.find(program);
    if (it != m_state->pins.end() && it->second.isActive) {
        it->second.isActive = false;
        it->second.pausedAt = now;
    }
}

bool CachePinManager::recordEnd(const ProgramId &program, TimePoint now)
{
    const auto it = m_state->pins.find(program);
    if (it == m_state->pins.end()) {
        return false;
    }
    const Pin pin = it->second;
    m_state->pins.erase(it);
    if (!pin.isActive) {
        const Duration pause = accountPause(*m_state, pin, false, now);
        m_state->classes[pin.className].ended[pauseBucket(pause)]++;
    }
    return pin.isPinned;
}

void CachePinManager::recordRelease(const ProgramId &program, TimePoint now)
{
    const auto it = m_state->pins.find(program);
    if (it == m_state->pins.end() || it->second.isActive || !it->second.isPinned) {
        return;
    }
    Pin &pin = it->second;
    accountPause(*m_state, pin, false, now);
    m_state->counters.released++;
    pin.isPinned = false;
    pin.tokens = 0;
}

void CachePinManager::recordEngineRestart()
{
    for (auto &[program, pin] : m_state->pins) {
        pin.tokens = 0;
    }
}

void CachePinManager::setCapacity(std::uint64_t tokens)
{
    m_state->capacity = tokens;
}

void CachePinManager::removeReleased(Duration limit, TimePoint now)
{
    std::erase_if(m_state->pins, [limit, now](const auto &item) {
        const Pin &pin = item.second;
        return !pin.isPinned && !pin.isActive && now - pin.pausedAt > limit;
    });
}

} // namespace Vanillahall
