#include "vanillahall/core/server_registry_base.h"

#include <algorithm>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(300); ///< After the first failure; covers a lost response, but not a restart.
constexpr double FailureWeight = 0.35;        ///< Weight of a failure in the failure rate; two in a row outweigh the home bonus.
constexpr double SuccessWeight = 0.1;         ///< Weight of a success; a server that fails one request in five retains half of the penalty.
constexpr double EventTimeWeight = 0.3;       ///< Weight of a stream in a server's time per event; a few streams reveal a slow server.
constexpr double UsualEventTimeWeight = 0.02; ///< Weight of a stream in the usual time; one slow server must not count as usual.
constexpr double MaxEventTimeRatio = 1.5;     ///< A slower stream counts as this multiple of the usual time per event.
constexpr std::uint32_t MaxDoublings = 3;     ///< Maximum number of times that the back-off is doubled.
constexpr Duration FullBackoff = std::chrono::milliseconds(60); ///< After a refusal; a busy server frees a slot within this time.

bool isSameRun(const Server &a, const Server &b)
{
    return a.address == b.address && a.port == b.port && a.startedMs == b.startedMs && a.software() == b.software();
}

/** @return True if a row holds an earlier heartbeat than the known one. The numbers of a restarted server begin anew, so its start has to
 * be known. */
bool isEarlierHeartbeat(const Server &row, const Server &known)
{
    return row.startedMs != 0 && isSameRun(row, known) && row.sequence < known.sequence;
}

} // namespace

ServerRegistry::ServerRegistry(std::string zone, ChoiceSettings settings)
    : m_zone(std::move(zone))
    , m_settings(settings)
    , m_position{StartingProxies}
{
}

std::vector<std::string> ServerRegistry::update(const std::vector<Server> &list, bool wasListUnavailable, TimePoint now)
{
    std::vector<std::string> changed;
    std::set<std::string> listed;
    for (const auto &it : list) {
        if (isOutdated(it)) {
            continue;
        }
        listed.insert(it.id);
        const auto known = m_servers.find(it.id);
        if (known != m_servers.end() && isEarlierHeartbeat(it, known->second.server)) {
            // A late write of an earlier heartbeat. The server is still listed, but what it has said since holds.
            known->second.removeAt.reset();
            continue;
        }
        if (known == m_servers.end() || !isSameRun(known->second.server, it)) {
            ServerState state;
            if (known != m_servers.end()) {
                state.running = known->second.running;
                state.backlog = known->second.backlog;
                state.backlog.restart();
            }
            state.server = it;
            state.runHash = XXH3_64bits_withSeed(it.id.data(), it.id.size(), it.startedMs);
            state.rateLimit = ServerRateLimit(state.runHash);
            state.coldUntil = now + it.coldLeft;
            const auto leaving = m_leaving.find(it.id);
            state.isLeaving = leaving != m_leaving.end() && isSameRun(leaving->second, it);
            m_servers[it.id] = std::move(state);
            changed.push_back(it.id);
            continue;
        }
        auto &state = known->second;
        if (it.isDraining != state.server.isDraining || state.isUnlisted) {
            changed.push_back(it.id);
            state.hasLostAddress = state.hasLostAddress && !state.isUnlisted;
            state.isUnlisted = false;
        }
        state.server = it;
        state.removeAt.reset();
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        auto &state = it->second;
        if (listed.count(it->first) != 0) {
            ++it;
            continue;
        }
        if (wasListUnavailable) {
            state.removeAt = now + ListingGrace;
        }
        if (state.removeAt && now < *state.removeAt) {
            ++it;
            continue;
        }
        if (!state.isUnlisted) {
            changed.push_back(it->first);
            rememberRemoved(state.server);
        }
        state.isUnlisted = true;
        it = state.running == 0 ? m_servers.erase(it) : std::next(it);
    }
    indexServices();
    return changed;
}

bool ServerRegistry::isOutdated(const Server &row) const
{
    const auto removed = m_removed.find(row.id);
    return removed != m_removed.end() && isEarlierHeartbeat(row, removed->second);
}

void ServerRegistry::rememberRemoved(const Server &server)
{
    if (m_removed.insert_or_assign(server.id, server).second) {
        m_removedIds.push_back(server.id);
    }
    if (m_removedIds.size() > MaxRemovedServers) {
        m_removed.erase(m_removedIds.front());
        m_removedIds.pop_front();
    }
}

void ServerRegistry::indexServices()
{
    m_byService.clear();
    for (const auto &[id, state] : m_servers) {
        if (state.isUsable()) {
            auto &service = m_byService[state.server.service];
            service.servers.push_back(&state);
            service.index.add(state.runHash, state.server.zone);
        }
    }
}

void ServerRegistry::recordStart(const std::string &id, std::uint32_t uncachedTokens, const RequestAttributes &attributes, TimePoint now)
{
    Choice choice;
    choice.server.id = id;
    choice.uncachedTokens = uncachedTokens;
    recordStart(choice, attributes, now);
}

void ServerRegistry::recordFirstEvent(const std::string &id, std::uint32_t uncachedTokens)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end()) {
        it->second.prefillTokens -= std::min<std::uint64_t>(it->second.prefillTokens, uncachedTokens);
    }
}

void ServerRegistry::recordEnd(const std::string &id, std::uint32_t uncachedTokens, bool hadFirstEvent)
{
    Choice choice;
    choice.server.id = id;
    choice.uncachedTokens = uncachedTokens;
    AttemptTimes times;
    if (hadFirstEvent) {
        times.firstEventAt = TimePoint();
    }
    recordEnd(choice, times, {});
}

void ServerRegistry::recordLoad(const std::string &id, const ServerLoad &load, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return;
    }
    // The figures are not to be trusted; their sum must not wrap around.
    const std::uint32_t all = load.running + std::min(load.waiting, UINT32_MAX - load.running);
    const double others = it->second.backlog.recordLoad(load, now);
    usualOf(it->second.server.service).recordOthers(others, now);
    it->second.otherRequests = all - std::min(all, it->second.running);
    it->second.otherRequestsAt = now;
    if (load.slots != 0) {
        it->second.server.slots = load.slots;
    }
}

bool ServerRegistry::recordRateLimit(const std::string &id, std::optional<double> rate, TimePoint sentAt, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return false;
    }
    auto &state = it->second;
    if (!rate && sentAt < state.rateLimitAt) {
        return false;
    }
    if (rate) {
        state.rateLimitAt = now;
    }
    const bool hasChanged = state.rateLimit.rate() != rate;
    state.rateLimit.setRate(rate);
    return hasChanged;
}

bool ServerRegistry::recordLeaving(const std::string &id)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.isLeaving) {
        return false;
    }
    it->second.isLeaving = true;
    if (m_leaving.insert_or_assign(id, it->second.server).second) {
        m_leavingIds.push_back(id);
    }
    if (m_leavingIds.size() > MaxLeavingServers) {
        m_leaving.erase(m_leavingIds.front());
        m_leavingIds.pop_front();
    }
    return true;
}

void ServerRegistry::recordFailure(const std::string &id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end()) {
        it->second.failureRate = currentFailureRate(it->second, now);
        it->second.failureRate += FailureWeight * (1 - it->second.failureRate);
        it->second.failureRateAt = now;
        it->second.backoffUntil = now + InitialBackoff * (1U << std::min(it->second.failures, MaxDoublings));
        it->second.failures++;
    }
}

void ServerRegistry::recordEventInterval(const std::string &id, Duration perEvent, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return;
    }
    auto &state = it->second;
    const double ms = std::chrono::duration<double, std::milli>(perEvent).count();
    state.msPerEvent += (state.msPerEvent == 0 ? 1 : EventTimeWeight) * (ms - state.msPerEvent);
    state.msPerEventAt = now;
    auto &usual = m_usualMsPerEvent[state.server.service];
    // Limits the influence of a few slow servers on the usual time.
    usual += usual == 0 ? ms : UsualEventTimeWeight * (std::min(ms, MaxEventTimeRatio * usual) - usual);
}

void ServerRegistry::recordSuccess(const std::string &id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end()) {
        it->second.failureRate = (1 - SuccessWeight) * currentFailureRate(it->second, now);
        it->second.failureRateAt = now;
        it->second.failures = 0;
        it->second.backoffUntil = {};
    }
}

void ServerRegistry::recordRefusal(const std::string &id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end()) {
        it->second.fullUntil = now + FullBackoff;
    }
}

void ServerRegistry::setProxies(std::uint32_t proxies, std::uint32_t rank)
{
    m_position.proxies = std::max(1U, proxies);
    m_position.rank = rank;
}

void ServerRegistry::setStoreClock(Duration offset)
{
    m_position.clockOffset = offset;
}

void ServerRegistry::recordMisdirection(const std::string &id)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end()) {
        it->second.hasLostAddress = true;
    }
}

void ServerRegistry::recordPrompt(std::uint64_t runHash, const RequestAttributes &attributes)
{
    for (const auto &it : attributes.promptParts) {
        auto found = m_parts.find(it.id);
        if (found == m_parts.end()) {
            m_partsByUse.push_back(it.id);
            found = m_parts.emplace(it.id, CachedPart{{}, std::prev(m_partsByUse.end())}).first;
        }
        auto &part = found->second;
        m_partsByUse.splice(m_partsByUse.end(), m_partsByUse, part.usePosition);
        auto &holders = part.holders;
        const auto old = std::find_if(holders.begin(), holders.end(), [runHash](const PartHolder &holder) {
            return holder.runHash == runHash;
        });
        if (old != holders.end()) {
            holders.erase(old);
        } else if (holders.size() >= MaxServersPerPart) {
            holders.erase(holders.begin());
        }
        holders.push_back({runHash, it.tokens});
    }
    while (m_parts.size() > MaxPromptParts) {
        m_parts.erase(m_partsByUse.front());
        m_partsByUse.pop_front();
    }
}

} // namespace Vanillahall::Forward
