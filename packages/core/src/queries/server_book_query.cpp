#include "vanillahall/core/server_book_base.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration OthersTrusted = std::chrono::milliseconds(600); ///< Older reports of other entries' load count half.
constexpr double TroubleHalfLifeSeconds = 2.0;                     ///< A server that is left alone is tried again after a few seconds.
constexpr Duration PaceTrusted = std::chrono::seconds(3);          ///< After that a slow server is tried again.
constexpr double OrdinarySpread = 1.6;                             ///< Crowding alone makes events this many times slower than usual.
constexpr std::uint32_t MinConnections = 4;                        ///< Connections an entry may always hold to one server.

/** @return Rank of a server for a key, the same at each entry, so that turns of a program meet again without any talk. */
std::uint64_t homeRank(const std::string &key, const std::string &server)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), XXH3_64bits(key.data(), key.size()));
}

bool hasModel(const Server &server, const std::string &model)
{
    return model.empty() || server.models.empty() || std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

} // namespace

std::uint32_t ServerBook::readTokens(const Place &place, const RequestFacts &facts) const
{
    std::uint32_t sum = 0;
    for (const auto &it : facts.promptParts) {
        const auto part = m_parts.find(it.id);
        if (part == m_parts.end()) {
            break;
        }
        const auto &places = part->second.places;
        const auto found = std::find_if(places.begin(), places.end(), [&place](const PartPlace &seen) {
            return seen.server == place.server.id;
        });
        if (found == places.end()) {
            break;
        }
        sum += std::min(found->tokens, it.tokens);
        if (found->tokens < it.tokens) {
            break;
        }
    }
    return sum;
}

double ServerBook::troubleOf(const Place &place, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - place.troubleAt).count();
    return place.trouble * std::exp2(-age / TroubleHalfLifeSeconds);
}

double ServerBook::slowness(const Place &place, TimePoint now) const
{
    const auto usual = m_paceMs.find(place.server.service);
    if (usual == m_paceMs.end() || usual->second <= 0 || now - place.paceAt > PaceTrusted) {
        return 0;
    }
    return std::max(0.0, place.paceMs / usual->second - OrdinarySpread);
}

double ServerBook::expectedMs(const Place &place, std::uint32_t unread, TimePoint now) const
{
    double ms = (static_cast<double>(place.unread) + unread) / m_settings.promptTokensPerMs;
    const double others = now - place.othersAt < OthersTrusted ? place.others : place.others / 2.0;
    const double load = others + place.running;
    ms += load * m_settings.busyMs;
    const double slots = std::max(1U, place.server.slots);
    if (load >= slots) {
        ms += (load - slots + 1) * m_settings.fullMs * (24.0 / slots);
    }
    if (place.server.zone != m_zone) {
        ms += m_settings.otherZoneMs;
    }
    ms += slowness(place, now) * m_settings.slowMs + troubleOf(place, now) * m_settings.troubleMs;
    if (now < place.coldUntil) {
        ms += m_settings.coldMs;
    }
    if (now < place.doubtUntil || now < place.fullUntil) {
        ms += m_settings.doubtMs;
    }
    return ms;
}

std::uint32_t ServerBook::connectionShare(std::uint32_t maxConnections) const
{
    return std::max(MinConnections, maxConnections / std::max(1U, m_settings.entries));
}

const ServerBook::Place *ServerBook::home(const ChoiceRequest &request) const
{
    const Place *best = nullptr;
    std::uint64_t bestRank = 0;
    if (request.facts->program.empty() || request.facts->promptParts.empty()) {
        return nullptr;
    }
    for (const auto &[id, place] : m_places) {
        if (!place.isUsable || place.server.service != request.service) {
            continue;
        }
        const auto rank = homeRank(request.facts->program, id);
        if (best == nullptr || rank > bestRank) {
            best = &place;
            bestRank = rank;
        }
    }
    return best;
}

std::uint32_t ServerBook::unreadTokens(const Place &place, const Place *home, const RequestFacts &facts) const
{
    const std::uint32_t known = readTokens(place, facts);
    std::uint32_t read = known;
    if (&place == home) {
        // The other entries send this program's turns there, too.
        const auto &last = facts.promptParts.back();
        const std::uint32_t fresh = std::min(last.tokens, m_settings.newTokens);
        read = std::max(read, facts.promptTokens - std::min(facts.promptTokens, fresh));
    }
    return facts.promptTokens - std::min(facts.promptTokens, read);
}

std::optional<Choice> ServerBook::choose(const ChoiceRequest &request, TimePoint now) const
{
    const auto &facts = *request.facts;
    const auto share = connectionShare(request.maxConnections);
    const Place *homePlace = home(request);
    const Place *best = nullptr;
    double bestMs = 0;
    std::uint64_t bestRank = 0;
    std::uint32_t bestUnread = 0;
    for (const auto &[id, place] : m_places) {
        if (!place.isUsable || place.server.service != request.service || place.running >= share || request.avoided->count(id) != 0
            || !hasModel(place.server, facts.model)) {
            continue;
        }
        const std::uint32_t unread = unreadTokens(place, homePlace, facts);
        const double ms = expectedMs(place, unread, now) - (&place == homePlace ? m_settings.homeMs : 0.0);
        const auto rank = homeRank(facts.program, id);
        if (best == nullptr || ms < bestMs || (ms == bestMs && rank > bestRank)) {
            best = &place;
            bestMs = ms;
            bestRank = rank;
            bestUnread = unread;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Choice{best->server, bestUnread, bestMs};
}

bool ServerBook::hasServer(const std::string &service) const
{
    return std::any_of(m_places.begin(), m_places.end(), [&service](const auto &it) {
        return it.second.isUsable && it.second.server.service == service;
    });
}

std::size_t ServerBook::size() const
{
    return m_places.size();
}

} // namespace Vanillahall::Forward
