#include "vanillahall/core/server_registry_base.h"

#include <algorithm>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration FirstDoubt = std::chrono::milliseconds(300); ///< After one failure; covers a lost response, but not a restart.
constexpr double FailureWeight = 0.35;                          ///< Makes two consecutive failures outweigh the home bonus.
constexpr double SuccessWeight = 0.1;     ///< With this, a server that fails one request in five keeps half of the penalty.
constexpr double PaceWeight = 0.3;        ///< Lets a few streams reveal a slow server.
constexpr double UsualPaceWeight = 0.02;  ///< Far smaller than EventTimeWeight, so that one slow server doesn't count as usual.
constexpr double MaxPaceStep = 1.5;       ///< A slower stream counts as this multiple of the usual time per event.
constexpr std::uint32_t MaxDoublings = 3; ///< Maximum number of times that the back-off is doubled.
constexpr Duration FullTime = std::chrono::milliseconds(60); ///< A busy server frees a slot within this time.

bool isSameRun(const Server &a, const Server &b)
{
    return a.address == b.address && a.port == b.port && a.startedMs == b.startedMs && a.service == b.service;
}

} // namespace

ServerRegistry::ServerRegistry(std::string zone, ChoiceSettings settings)
    : m_zone(std::move(zone))
    , m_settings(settings)
{
}

std::vector<std::string> ServerRegistry::update(const std::vector<Server> &list, bool wasAway, TimePoint now)
{
    std::vector<std::string> changed;
    std::set<std::string> listed;
    for (const auto &it : list) {
        listed.insert(it.id);
        const auto known = m_places.find(it.id);
        if (known == m_places.end() || !isSameRun(known->second.server, it)) {
            Place place;
            place.running = known == m_places.end() ? 0 : known->second.running;
            place.server = it;
            place.run = XXH3_64bits_withSeed(it.id.data(), it.id.size(), it.startedMs);
            place.coldUntil = now + it.coldLeft;
            m_places[it.id] = std::move(place);
            changed.push_back(it.id);
            continue;
        }
        auto &place = known->second;
        if (it.isDraining != place.server.isDraining || place.isGone) {
            changed.push_back(it.id);
            place.hasLostAddress = place.hasLostAddress && !place.isGone;
            place.isGone = false;
        }
        place.server = it;
        place.lapseAt.reset();
    }
    for (auto it = m_places.begin(); it != m_places.end();) {
        auto &place = it->second;
        if (listed.count(it->first) != 0) {
            ++it;
            continue;
        }
        if (wasAway) {
            place.lapseAt = now + LapseGrace;
        }
        if (place.lapseAt && now < *place.lapseAt) {
            ++it;
            continue;
        }
        if (!place.isGone) {
            changed.push_back(it->first);
        }
        place.isGone = true;
        it = place.running == 0 ? m_places.erase(it) : std::next(it);
    }
    indexServices();
    return changed;
}

void ServerRegistry::indexServices()
{
    m_byService.clear();
    for (const auto &[id, place] : m_places) {
        if (place.isUsable()) {
            m_byService[place.server.service].push_back(&place);
        }
    }
}

void ServerRegistry::recordStart(const std::string &id, std::uint32_t unreadTokens, const RequestAttributes &facts)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return;
    }
    it->second.running++;
    it->second.unread += unreadTokens;
    remember(it->second.run, facts);
}

void ServerRegistry::recordFirstEvent(const std::string &id, std::uint32_t unreadTokens)
{
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        it->second.unread -= std::min<std::uint64_t>(it->second.unread, unreadTokens);
    }
}

void ServerRegistry::recordEnd(const std::string &id, std::uint32_t unreadTokens, bool hadFirstEvent)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return;
    }
    it->second.running -= std::min(it->second.running, 1U);
    if (!hadFirstEvent) {
        recordFirstEvent(id, unreadTokens);
    }
}

void ServerRegistry::recordLoad(const std::string &id, const ServerLoad &load, TimePoint now)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return;
    }
    const std::uint32_t all = load.running + load.waiting;
    it->second.others = all - std::min(all, it->second.running);
    it->second.othersAt = now;
    if (load.slots != 0) {
        it->second.server.slots = load.slots;
    }
}

void ServerRegistry::recordFailure(const std::string &id, TimePoint now)
{
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        it->second.trouble = troubleOf(it->second, now);
        it->second.trouble += FailureWeight * (1 - it->second.trouble);
        it->second.troubleAt = now;
        it->second.doubtUntil = now + FirstDoubt * (1U << std::min(it->second.failures, MaxDoublings));
        it->second.failures++;
    }
}

void ServerRegistry::recordEventInterval(const std::string &id, Duration perEvent, TimePoint now)
{
    const auto it = m_places.find(id);
    if (it == m_places.end()) {
        return;
    }
    auto &place = it->second;
    const double ms = std::chrono::duration<double, std::milli>(perEvent).count();
    place.paceMs += (place.paceMs == 0 ? 1 : PaceWeight) * (ms - place.paceMs);
    place.paceAt = now;
    auto &usual = m_paceMs[place.server.service];
    // Limits the influence of a few slow servers on the usual time.
    usual += usual == 0 ? ms : UsualPaceWeight * (std::min(ms, MaxPaceStep * usual) - usual);
}

void ServerRegistry::recordSuccess(const std::string &id, TimePoint now)
{
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        it->second.trouble = (1 - SuccessWeight) * troubleOf(it->second, now);
        it->second.troubleAt = now;
        it->second.failures = 0;
        it->second.doubtUntil = {};
    }
}

void ServerRegistry::recordRefusal(const std::string &id, TimePoint now)
{
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        it->second.fullUntil = now + FullTime;
    }
}

void ServerRegistry::setEntries(std::uint32_t entries)
{
    m_settings.entries = std::max(1U, entries);
}

void ServerRegistry::recordMisdirection(const std::string &id)
{
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        it->second.hasLostAddress = true;
    }
}

void ServerRegistry::remember(std::uint64_t run, const RequestAttributes &facts)
{
    for (const auto &it : facts.promptParts) {
        auto found = m_parts.find(it.id);
        if (found == m_parts.end()) {
            m_partUse.push_back(it.id);
            found = m_parts.emplace(it.id, Part{{}, std::prev(m_partUse.end())}).first;
        }
        auto &part = found->second;
        m_partUse.splice(m_partUse.end(), m_partUse, part.lastUse);
        auto &places = part.places;
        const auto old = std::find_if(places.begin(), places.end(), [run](const PartPlace &place) {
            return place.run == run;
        });
        if (old != places.end()) {
            places.erase(old);
        } else if (places.size() >= MaxPartPlaces) {
            places.erase(places.begin());
        }
        places.push_back({run, it.tokens});
    }
    while (m_parts.size() > MaxParts) {
        m_parts.erase(m_partUse.front());
        m_partUse.pop_front();
    }
}

} // namespace Vanillahall::Forward
