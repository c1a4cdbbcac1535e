/** Delayed load reports, and cache events with delay and loss. */
#pragma once

#include "engine_standin_type.h"

#include <deque>
#include <random>

namespace Vanillahall {

/** Load reports and cache events that the engine publishes. */
class EngineReport
{
public:
    explicit EngineReport(const EngineStandinSettings &settings);

    /** Records the current load. */
    void recordLoad(nlohmann::json load, TimePoint now);

    /** @return The load as of `now` minus the lag. @param stale True for the oldest recorded load. */
    [[nodiscard]] nlohmann::json loadAt(TimePoint now, bool stale) const;

    /** Records a cache event. */
    void recordEvent(bool stored, const std::string &pin, std::uint64_t tokens, TimePoint now);

    /** @return The events with a larger number than `after` that are published by `now` and not lost. */
    [[nodiscard]] nlohmann::json eventsAfter(std::uint64_t after, TimePoint now) const;

private:
    /** A load report and the time from which it is valid. */
    struct LoadRecord
    {
        TimePoint at;        ///< Start of its validity.
        nlohmann::json load; ///< The load report.
    };

    /** A cache event. */
    struct EventRecord
    {
        TimePoint at;         ///< Time of the event.
        std::uint64_t seq{};  ///< Number of the event.
        bool lost{};          ///< True if it is never published.
        nlohmann::json event; ///< The event.
    };

    Duration m_loadLag;
    Duration m_eventLag;
    std::uint32_t m_gapPercent;
    std::mt19937_64 m_random;
    std::uint64_t m_lastSeq = 0;
    std::deque<LoadRecord> m_loads;
    std::deque<EventRecord> m_events;
};

} // namespace Vanillahall
