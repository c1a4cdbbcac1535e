#include "vanillahall/core/server_registry_base.h"

#include "placement/key_hash_func.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

namespace {

/** Half-life of the failure rate; lets an avoided server be tried again after a few seconds. */
constexpr double FailureRateHalfLifeSeconds = 2.0;
/** An older measurement of the event time is ignored, so that a slow server is tried again. */
constexpr Duration EventTimeMaxAge = std::chrono::seconds(3);
constexpr double NormalSlowdown = 1.6;      ///< Load alone makes events up to this many times slower than usual.
constexpr std::uint32_t MinConnections = 4; ///< Connections that an entry may always open to one server.

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
    lookup.programKey = keyHash(request.attributes->program);
    if (!request.attributes->program.empty() && !request.attributes->promptParts.empty()) {
        lookup.home = home(request, lookup.programKey);
    }
    const auto usual = m_usualMsPerEvent.find(request.service);
    lookup.usualMsPerEvent = usual == m_usualMsPerEvent.end() ? 0 : usual->second;
    lookup.share = connectionShare(request.maxConnections);
    lookUpWork(request, lookup);
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

double ServerRegistry::penaltyMs(const ServerState &state, double usualMsPerEvent, TimePoint now) const
{
    double ms = slowness(state, usualMsPerEvent, now) * m_settings.slownessMs + currentFailureRate(state, now) * m_settings.failureRateMs;
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

const ServerRegistry::ServiceServers *ServerRegistry::serviceServers(const std::string &service) const
{
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? nullptr : &it->second;
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
    const auto *it = serviceServers(service);
    return it == nullptr ? none : it->servers;
}

HomeSuitability ServerRegistry::homeSuitability(const ServerState &state, const ChoiceRequest &request)
{
    if (!hasSoftware(state.server, request.software)) {
        return HomeSuitability::Unusable;
    }
    if (!state.isUsable()) {
        return HomeSuitability::Unusable;
    }
    return state.rateLimit.rate() ? HomeSuitability::Limited : HomeSuitability::Suitable;
}

const ServerRegistry::ServerState *ServerRegistry::home(const ChoiceRequest &request, std::uint64_t programKey) const
{
    const auto *service = serviceServers(request.service);
    if (service == nullptr) {
        return nullptr;
    }
    const auto position = service->index.home(programKey, request.homeZone, [&](std::size_t n) {
        return homeSuitability(*service->servers[n], request);
    });
    return position ? service->servers[*position] : nullptr;
}

const ServerRegistry::ServerState *ServerRegistry::objectHome(const ChoiceRequest &request, std::uint64_t object) const
{
    const auto *service = serviceServers(request.service);
    if (service == nullptr) {
        return nullptr;
    }
    const auto position = service->index.objectHome(object, [&](std::size_t n) {
        return homeSuitability(*service->servers[n], request);
    });
    return position ? service->servers[*position] : nullptr;
}

std::string_view
ServerRegistry::exclusion(const ServerState &state, const ChoiceRequest &request, const Lookup &lookup, TimePoint now) const
{
    if (!state.isUsable()) {
        return state.isLeaving || state.server.isDraining ? "leaving" : "gone";
    }
    if (state.running >= lookup.share) {
        return "connections";
    }
    if (request.avoided->contains(state.server.id)) {
        return "avoided";
    }
    if (!hasSoftware(state.server, request.software)) {
        return "software";
    }
    if (!hasModel(state.server, request.attributes->model)) {
        return "model";
    }
    return state.rateLimit.nextSlot(m_position, now) <= now ? std::string_view() : "rate_limit";
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
