#include "vanillahall/core/server_registry_base.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration OthersTrusted = std::chrono::milliseconds(600); ///< Older load reports on other entries count half.
constexpr double TroubleHalfLifeSeconds = 2.0;                     ///< Lets an avoided server be tried again after a few seconds.
constexpr Duration PaceTrusted = std::chrono::seconds(3);          ///< A slow server is tried again after this time.
constexpr double OrdinarySpread = 1.6;                             ///< Load alone makes events up to this many times slower than usual.
constexpr std::uint32_t MinConnections = 4;                        ///< Connections that an entry may always open to one server.

std::uint64_t keyHash(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size());
}

/**
 * @return Rank of a server for a key. It is the same at each entry, so that turns of a program meet at one server without any
 * communication.
 */
std::uint64_t homeRank(std::uint64_t keyHash, std::uint64_t run)
{
    return XXH3_64bits_withSeed(&run, sizeof run, keyHash);
}

bool hasModel(const Server &server, const std::string &model)
{
    return model.empty() || server.models.empty() || std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

} // namespace

ServerRegistry::Lookup ServerRegistry::lookUp(const ChoiceRequest &request) const
{
    Lookup lookup;
    for (const auto &it : request.facts->promptParts) {
        const auto part = m_parts.find(it.id);
        if (part == m_parts.end()) {
            break;
        }
        lookup.parts.push_back(&part->second);
    }
    lookup.home = home(request);
    const auto usual = m_paceMs.find(request.service);
    lookup.usualPaceMs = usual == m_paceMs.end() ? 0 : usual->second;
    return lookup;
}

std::uint32_t ServerRegistry::readTokens(const Place &place, const Lookup &lookup, const RequestAttributes &facts)
{
    std::uint32_t sum = 0;
    for (std::size_t n = 0; n < lookup.parts.size(); n++) {
        const auto &places = lookup.parts[n]->places;
        const auto wanted = facts.promptParts[n].tokens;
        const auto found = std::find_if(places.begin(), places.end(), [&place](const PartPlace &seen) {
            return seen.run == place.run;
        });
        if (found == places.end()) {
            break;
        }
        sum += std::min(found->tokens, wanted);
        if (found->tokens < wanted) {
            break;
        }
    }
    return sum;
}

double ServerRegistry::troubleOf(const Place &place, TimePoint now)
{
    if (place.trouble == 0) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - place.troubleAt).count();
    return place.trouble * std::exp2(-age / TroubleHalfLifeSeconds);
}

double ServerRegistry::slowness(const Place &place, double usualPaceMs, TimePoint now)
{
    if (usualPaceMs <= 0 || now - place.paceAt > PaceTrusted) {
        return 0;
    }
    return std::max(0.0, place.paceMs / usualPaceMs - OrdinarySpread);
}

double ServerRegistry::expectedMs(const Place &place, std::uint32_t unread, double usualPaceMs, TimePoint now) const
{
    double ms = (static_cast<double>(place.unread) + unread) / m_settings.promptTokensPerMs;
    const double others = now - place.othersAt < OthersTrusted ? place.others : place.others / 2.0;
    const double load = others + place.running;
    ms += load * m_settings.busyMs;
    const double slots = std::max(1U, place.server.slots);
    if (load >= slots) {
        ms += (load - slots + 1) * m_settings.turnMs / slots;
    }
    if (place.server.zone != m_zone) {
        ms += m_settings.otherZoneMs;
    }
    ms += slowness(place, usualPaceMs, now) * m_settings.slowMs + troubleOf(place, now) * m_settings.troubleMs;
    if (now < place.coldUntil) {
        ms += m_settings.coldMs;
    }
    if (now < place.doubtUntil || now < place.fullUntil) {
        ms += m_settings.doubtMs;
    }
    return ms;
}

std::uint32_t ServerRegistry::connectionShare(std::uint32_t maxConnections) const
{
    return std::max(MinConnections, maxConnections / std::max(1U, m_settings.entries));
}

const std::vector<const ServerRegistry::Place *> &ServerRegistry::placesOf(const std::string &service) const
{
    static const std::vector<const Place *> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

const ServerRegistry::Place *ServerRegistry::home(const ChoiceRequest &request) const
{
    const Place *best = nullptr;
    std::uint64_t bestRank = 0;
    bool isBestNear = false;
    if (request.facts->program.empty() || request.facts->promptParts.empty()) {
        return nullptr;
    }
    const auto key = keyHash(request.facts->program);
    for (const auto *place : placesOf(request.service)) {
        const auto rank = homeRank(key, place->run);
        const bool isNear = place->server.zone == request.homeZone;
        const bool isBetter = best == nullptr || (isNear != isBestNear ? isNear : rank > bestRank);
        if (place->isUsable() && isBetter) {
            best = place;
            bestRank = rank;
            isBestNear = isNear;
        }
    }
    return best;
}

std::uint32_t ServerRegistry::unreadTokens(const Place &place, const Lookup &lookup, const RequestAttributes &facts) const
{
    std::uint32_t read = readTokens(place, lookup, facts);
    if (&place == lookup.home) {
        // The other entries send this program's turns to its home server, too.
        const auto &last = facts.promptParts.back();
        const std::uint32_t fresh = std::min(last.tokens, m_settings.newTokens);
        read = std::max(read, facts.promptTokens - std::min(facts.promptTokens, fresh));
    }
    return facts.promptTokens - std::min(facts.promptTokens, read);
}

std::optional<Choice> ServerRegistry::choose(const ChoiceRequest &request, TimePoint now) const
{
    const auto &facts = *request.facts;
    const auto share = connectionShare(request.maxConnections);
    const auto lookup = lookUp(request);
    const auto key = keyHash(facts.program);
    const Place *best = nullptr;
    double bestWeight = 0;
    Choice choice;
    for (const auto *place : placesOf(request.service)) {
        if (!place->isUsable() || place->running >= share || request.avoided->count(place->server.id) != 0
            || !hasModel(place->server, facts.model)) {
            continue;
        }
        const std::uint32_t unread = unreadTokens(*place, lookup, facts);
        const double ms = expectedMs(*place, unread, lookup.usualPaceMs, now);
        const double weight = ms - (place == lookup.home ? m_settings.homeMs : 0.0);
        const bool isTie = best != nullptr && weight == bestWeight;
        if (best == nullptr || weight < bestWeight || (isTie && homeRank(key, place->run) > homeRank(key, best->run))) {
            best = place;
            bestWeight = weight;
            choice.unreadTokens = unread;
            choice.expectedMs = ms;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    choice.server = best->server;
    return choice;
}

bool ServerRegistry::hasServer(const std::string &service) const
{
    const auto &places = placesOf(service);
    return std::any_of(places.begin(), places.end(), [](const auto *it) {
        return it->isUsable();
    });
}

std::size_t ServerRegistry::size() const
{
    return m_places.size();
}

} // namespace Vanillahall::Forward
