/** What the registry learns from requests that have ended. */
#include "vanillahall/core/server_registry_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr double AssumedWaitWeight = 0.3;        ///< Weight of an observation from which an assumed wait was subtracted.
constexpr double MinWorkShare = 0.2;             ///< Part of a request's time that is at least its work; the assumed wait may be too long.
constexpr std::uint32_t MinPrefillTokens = 1000; ///< Shorter prefills are hidden by the time on the network.
constexpr Milliseconds MinPrefill{1};            ///< Shortest time of a prefill that is believed; a shorter one was in the cache.
constexpr std::uint32_t MinPaceEvents = 4;       ///< Shorter streams tell no pace.

} // namespace

void ServerRegistry::setPlacement(Placement placement)
{
    m_settings.placement = placement;
}

ServiceUsual &ServerRegistry::usualOf(const std::string &service)
{
    return m_usual[service];
}

void ServerRegistry::recordStart(const Choice &choice, const RequestAttributes &attributes, TimePoint now)
{
    const auto it = m_servers.find(choice.server.id);
    if (it == m_servers.end()) {
        return;
    }
    it->second.running++;
    it->second.rateLimit.recordSend(now);
    it->second.prefillTokens += choice.uncachedTokens;
    it->second.backlog.recordStart(choice.plan.estimate.hold, now);
    recordPrompt(it->second.runHash, attributes);
    if (choice.plan.object != 0) {
        m_objects.record(choice.plan.object, it->second.runHash);
    }
}

void ServerRegistry::recordEnd(const Choice &choice, const AttemptTimes &times, TimePoint now)
{
    const auto it = m_servers.find(choice.server.id);
    if (it == m_servers.end()) {
        return;
    }
    auto &state = it->second;
    state.running -= std::min(state.running, 1U);
    state.backlog.recordEnd(choice.plan.estimate.hold, times.sentAt);
    if (!times.firstEventAt) {
        recordFirstEvent(choice.server.id, choice.uncachedTokens);
    }
    if (times.isComplete && isLearning()) {
        learn(state, choice, times, now);
    }
}

void ServerRegistry::learn(ServerState &state, const Choice &choice, const AttemptTimes &times, TimePoint now)
{
    const auto &plan = choice.plan;
    auto &usual = usualOf(state.server.service);
    const Milliseconds all = now - times.sentAt;
    double weight = plan.hadFreeSlot ? 1 : AssumedWaitWeight;
    // The slowdown at the start and the one that the response has reported.
    const double slowdown = (plan.slowdown + state.backlog.slowdown({}, now)) / 2;
    Milliseconds work = std::max(all - plan.wait, MinWorkShare * all) / slowdown;
    const auto learnPace = [&](Milliseconds observed, Milliseconds expected) {
        usual.recordForecast(state.backlog.pace(now), observed / expected, now);
        state.backlog.recordPace(observed, expected, now);
    };
    if (plan.features.isModelTurn) {
        const auto found = m_usualMsPerEvent.find(state.server.service);
        if (!times.firstEventAt || found == m_usualMsPerEvent.end()) {
            return;
        }
        const Milliseconds perEvent(found->second);
        const Milliseconds stream = (now - *times.firstEventAt) / slowdown;
        const Milliseconds start = std::max(Milliseconds(*times.firstEventAt - times.sentAt) / slowdown - perEvent, MinPrefill);
        if (times.events >= MinPaceEvents) {
            learnPace(stream, (times.events - 1) * perEvent);
        }
        if (plan.hadFreeSlot && plan.features.uncachedTokens >= MinPrefillTokens) {
            const double tokens = static_cast<double>(plan.prefillAhead) + plan.features.uncachedTokens;
            usual.recordPrefill(tokens * state.backlog.pace(now) / start.count());
        }
        // A stream shows when the server has begun it, so no wait has to be assumed.
        work = stream + std::min(start, Milliseconds(plan.features.uncachedTokens / usual.tokensPerMs()));
        weight = 1;
    } else if (plan.estimate.run.count() > 0) {
        learnPace(work, plan.estimate.hold);
        if (plan.object != 0) {
            m_objects.recordWork(plan.isObjectKnown, work / plan.estimate.hold, now);
        }
    }
    m_estimator.record(plan.features, plan.estimate, work, times.events, weight, now);
    usual.recordHold(work, weight, now);
}

EstimateError ServerRegistry::estimateError() const
{
    return m_estimator.error();
}

PaceSummary ServerRegistry::paces(TimePoint now) const
{
    std::vector<double> paces;
    for (const auto &[id, state] : m_servers) {
        if (const double pace = state.backlog.pace(now); pace != 1) {
            paces.push_back(pace);
        }
    }
    if (paces.empty()) {
        return {};
    }
    std::sort(paces.begin(), paces.end());
    return {paces.size(), paces.front(), paces[paces.size() / 2], paces.back()};
}

} // namespace Vanillahall::Forward
