#include "engine_report_base.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxRecords = 10'000; ///< Limit of retained load reports, and of retained events.
constexpr std::uint64_t Percent = 100;

} // namespace

EngineReport::EngineReport(const EngineStandinSettings &settings)
    : m_loadLag(settings.loadLag)
    , m_eventLag(settings.eventLag)
    , m_gapPercent(settings.eventGapPercent)
    , m_random(settings.seed)
{
}

void EngineReport::recordLoad(nlohmann::json load, TimePoint now)
{
    m_loads.push_back(LoadRecord{now, std::move(load)});
    while (m_loads.size() > MaxRecords || (m_loads.size() > 2 && m_loads[1].at <= now - m_loadLag)) {
        m_loads.pop_front();
    }
}

nlohmann::json EngineReport::loadAt(TimePoint now, bool stale) const
{
    std::size_t n = stale ? 0 : m_loads.size() - 1;
    while (n > 0 && m_loads[n].at > now - m_loadLag) {
        n--;
    }
    return m_loads[n].load;
}

void EngineReport::recordEvent(bool stored, const std::string &pin, std::uint64_t tokens, TimePoint now)
{
    const std::uint64_t seq = ++m_lastSeq;
    nlohmann::json event = {{"seq", seq}, {"kind", stored ? "stored" : "evicted"}, {"pin", pin}, {"tokens", tokens}};
    m_events.push_back(EventRecord{now, seq, m_random() % Percent < m_gapPercent, std::move(event)});
    if (m_events.size() > MaxRecords) {
        m_events.pop_front();
    }
}

nlohmann::json EngineReport::eventsAfter(std::uint64_t after, TimePoint now) const
{
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t next = after;
    for (const auto &it : m_events) {
        if (it.seq <= after || it.at > now - m_eventLag) {
            continue;
        }
        next = it.seq;
        if (!it.lost) {
            events.push_back(it.event);
        }
    }
    return {{"events", std::move(events)}, {"next", next}};
}

} // namespace Vanillahall
