/** Load reports and cache events of the engine stand-in, with configurable delay and loss. */
#pragma once

#include "engine_standin_type.h"

#include <deque>
#include <random>

namespace Vanillahall {

/** History of load reports and cache events. */
class EngineReport
{
public:
    explicit EngineReport(const EngineStandinSettings &settings);

    /** Records the current load. */
    void recordLoad(nlohmann::json load, TimePoint now);

    /** @param stale True for the oldest recorded load. @return The load as of the report lag ago. @pre A load was recorded. */
    [[nodiscard]] nlohmann::json loadAt(TimePoint now, bool stale) const;

    /** Records a cache event. */
    void recordEvent(bool stored, const std::string &pin, std::uint64_t tokens, TimePoint now);

    /** @return JSON with the events after a sequence number that have been published and are not lost, and with the next number to ask for.
     */
    [[nodiscard]] nlohmann::json eventsAfter(std::uint64_t after, TimePoint now) const;

private:
    /** A load report and the time from which it is valid. */
    struct LoadRecord
    {
        TimePoint at;        ///< Start of validity.
        nlohmann::json load; ///< The report.
    };

    /** A recorded cache event. */
    struct EventRecord
    {
        TimePoint at;         ///< Time of the event.
        std::uint64_t seq{};  ///< Sequence number.
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
