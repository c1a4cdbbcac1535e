#include "vanillahall/core/server_registry_base.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration LoadReportMaxAge = std::chrono::milliseconds(600); ///< Load of other entries that was reported longer ago counts half.
/** Half-life of the failure rate; lets an avoided server be tried again after a few seconds. */
constexpr double FailureRateHalfLifeSeconds = 2.0;
/** An older measurement of the event time is ignored, so that a slow server is tried again. */
constexpr Duration EventTimeMaxAge = std::chrono::seconds(3);
constexpr double NormalSlowdown = 1.6;      ///< Load alone makes events up to this many times slower than usual.
constexpr std::uint32_t MinConnections = 4; ///< Connections that an entry may always open to one server.

std::uint64_t keyHash(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size());
}

/**
 * @return Rank of a server for a key. It is the same at each entry, so that turns of a program meet at one server without any
 * communication.
 */
std::uint64_t homeRank(std::uint64_t keyHash, std::uint64_t runHash)
{
    return XXH3_64bits_withSeed(&runHash, sizeof runHash, keyHash);
}

bool hasSoftware(const Server &server, const std::vector<SoftwareVersion> *wanted)
{
    return wanted == nullptr || std::any_of(wanted->begin(), wanted->end(), [&server](const SoftwareVersion &it) {
               return it.version == server.softwareVersion && it.service == server.service;
           });
}

bool hasModel(const Server &server, const std::string &model)
{
    return model.empty() || server.models.empty() || std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

} // namespace

ServerRegistry::Lookup ServerRegistry::lookUp(const ChoiceRequest &request) const
{
    Lookup lookup;
    for (const auto &it : request.attributes->promptParts) {
        const auto part = m_parts.find(it.id);
        if (part == m_parts.end()) {
            break;
        }
        lookup.parts.push_back(&part->second);
    }
    lookup.home = home(request);
    const auto usual = m_usualMsPerEvent.find(request.service);
    lookup.usualMsPerEvent = usual == m_usualMsPerEvent.end() ? 0 : usual->second;
    return lookup;
}

std::uint32_t ServerRegistry::cachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes)
{
    std::uint32_t sum = 0;
    for (std::size_t n = 0; n < lookup.parts.size(); n++) {
        const auto &holders = lookup.parts[n]->holders;
        const auto wanted = attributes.promptParts[n].tokens;
        const auto found = std::find_if(holders.begin(), holders.end(), [&state](const PartHolder &seen) {
            return seen.runHash == state.runHash;
        });
        if (found == holders.end()) {
            break;
        }
        sum += std::min(found->tokens, wanted);
        if (found->tokens < wanted) {
            break;
        }
    }
    return sum;
}

double ServerRegistry::currentFailureRate(const ServerState &state, TimePoint now)
{
    if (state.failureRate == 0) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - state.failureRateAt).count();
    return state.failureRate * std::exp2(-age / FailureRateHalfLifeSeconds);
}

double ServerRegistry::slowness(const ServerState &state, double usualMsPerEvent, TimePoint now)
{
    if (usualMsPerEvent <= 0 || now - state.msPerEventAt > EventTimeMaxAge) {
        return 0;
    }
    return std::max(0.0, state.msPerEvent / usualMsPerEvent - NormalSlowdown);
}

double ServerRegistry::expectedMs(const ServerState &state, std::uint32_t uncached, double usualMsPerEvent, TimePoint now) const
{
    double ms = (static_cast<double>(state.prefillTokens) + uncached) / m_settings.promptTokensPerMs;
    const double otherRequests = now - state.otherRequestsAt < LoadReportMaxAge ? state.otherRequests : state.otherRequests / 2.0;
    const double load = otherRequests + state.running;
    ms += load * m_settings.perRequestMs;
    const double slots = std::max(1U, state.server.slots);
    if (load >= slots) {
        ms += (load - slots + 1) * m_settings.slotHoldMs / slots;
    }
    if (state.server.zone != m_zone) {
        ms += m_settings.crossZoneMs;
    }
    ms += slowness(state, usualMsPerEvent, now) * m_settings.slownessMs + currentFailureRate(state, now) * m_settings.failureRateMs;
    if (now < state.coldUntil) {
        ms += m_settings.coldStartMs;
    }
    if (now < state.backoffUntil || now < state.fullUntil) {
        ms += m_settings.backoffMs;
    }
    return ms;
}

std::uint32_t ServerRegistry::connectionShare(std::uint32_t maxConnections) const
{
    return std::max(MinConnections, maxConnections / m_position.proxies);
}

double ServerRegistry::slotShare(const std::string &service) const
{
    double slots = 0;
    for (const auto *it : usableServers(service)) {
        slots += it->isUsable() ? it->server.slots : 0;
    }
    return slots / std::max(1U, m_position.proxies);
}

const std::vector<const ServerRegistry::ServerState *> &ServerRegistry::usableServers(const std::string &service) const
{
    static const std::vector<const ServerState *> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

const ServerRegistry::ServerState *ServerRegistry::home(const ChoiceRequest &request) const
{
    const ServerState *best = nullptr;
    // Without a rate limit, in the home zone, rank. A proxy's slots are too rare for all turns of a program.
    std::tuple<bool, bool, std::uint64_t> bestQuality;
    if (request.attributes->program.empty() || request.attributes->promptParts.empty()) {
        return nullptr;
    }
    const auto key = keyHash(request.attributes->program);
    for (const auto *state : usableServers(request.service)) {
        if (!hasSoftware(state->server, request.software)) {
            continue;
        }
        const auto rank = homeRank(key, state->runHash);
        const bool isInHomeZone = state->server.zone == request.homeZone;
        const bool isUnlimited = !state->rateLimit.rate();
        const auto quality = std::make_tuple(isUnlimited, isInHomeZone, rank);
        if (state->isUsable() && (best == nullptr || quality > bestQuality)) {
            best = state;
            bestQuality = quality;
        }
    }
    return best;
}

std::uint32_t ServerRegistry::uncachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes) const
{
    std::uint32_t cached = cachedTokens(state, lookup, attributes);
    if (&state == lookup.home) {
        // The other entries send this program's turns to its home server, too.
        const auto &last = attributes.promptParts.back();
        const std::uint32_t fresh = std::min(last.tokens, m_settings.newTokensPerTurn);
        cached = std::max(cached, attributes.promptTokens - std::min(attributes.promptTokens, fresh));
    }
    return attributes.promptTokens - std::min(attributes.promptTokens, cached);
}

std::optional<Choice> ServerRegistry::choose(const ChoiceRequest &request, TimePoint now) const
{
    const auto &attributes = *request.attributes;
    const auto share = connectionShare(request.maxConnections);
    const auto lookup = lookUp(request);
    const auto key = keyHash(attributes.program);
    const ServerState *best = nullptr;
    double bestWeight = 0;
    Choice choice;
    for (const auto *state : usableServers(request.service)) {
        if (!state->isUsable() || state->running >= share || request.avoided->count(state->server.id) != 0
            || !hasSoftware(state->server, request.software) || !hasModel(state->server, attributes.model)
            || state->rateLimit.nextSlot(m_position, now) > now) {
            continue;
        }
        const std::uint32_t uncached = uncachedTokens(*state, lookup, attributes);
        const double ms = expectedMs(*state, uncached, lookup.usualMsPerEvent, now);
        // An unused slot expires, while the capacity of the home remains.
        const bool hasBonus = state == lookup.home || state->rateLimit.rate().has_value();
        const double weight = ms - (hasBonus ? m_settings.homeBonusMs : 0.0);
        const bool isTie = best != nullptr && weight == bestWeight;
        if (best == nullptr || weight < bestWeight || (isTie && homeRank(key, state->runHash) > homeRank(key, best->runHash))) {
            best = state;
            bestWeight = weight;
            choice.uncachedTokens = uncached;
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
    const auto &servers = usableServers(service);
    return std::any_of(servers.begin(), servers.end(), [](const auto *it) {
        return it->isUsable();
    });
}

bool ServerRegistry::hasServer(const SoftwareVersion &software) const
{
    const auto &servers = usableServers(software.service);
    return std::any_of(servers.begin(), servers.end(), [&software](const auto *it) {
        return it->isUsable() && it->server.softwareVersion == software.version;
    });
}

std::optional<Duration> ServerRegistry::rateLimitDelay(const std::string &service, TimePoint now) const
{
    std::optional<Duration> delay;
    for (const auto *it : usableServers(service)) {
        if (!it->isUsable()) {
            continue;
        }
        if (!it->rateLimit.rate()) {
            return std::nullopt;
        }
        const Duration serverDelay = it->rateLimit.nextSlot(m_position, now) - now;
        delay = std::min(delay.value_or(serverDelay), serverDelay);
    }
    return delay;
}

std::size_t ServerRegistry::size() const
{
    return m_servers.size();
}

std::size_t ServerRegistry::leavingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [](const auto &it) {
        return it.second.isLeaving;
    }));
}

std::string_view ServerRegistry::listedState(const std::string &id) const
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.isUnlisted) {
        return "gone";
    }
    return it->second.server.isDraining ? "draining" : "ready";
}

std::size_t ServerRegistry::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [](const auto &it) {
        return it.second.rateLimit.rate().has_value();
    }));
}

} // namespace Vanillahall::Forward
