#include "vanillahall/core/abandoned_attempts_base.h"

#include <iterator>
#include <map>
#include <utility>

namespace Vanillahall::Forward {

void AbandonedAttempts::record(const Server &server, CrashedAttempt attempt, TimePoint runsUntil)
{
    auto &state = m_servers[server.id];
    if (state.attempts.empty()) {
        state.server = server;
    }
    if (state.attempts.size() >= MaxAbandonedPerServer) {
        state.attempts.erase(state.attempts.begin());
    }
    state.attempts.push_back({std::move(attempt), runsUntil});
}

EndedServer AbandonedAttempts::end(Iterator it, ServerEnd how, TimePoint runningAfter)
{
    EndedServer ended{it->first, how, {}};
    for (const auto &attempt : it->second.attempts) {
        if (attempt.runsUntil >= runningAfter) {
            ended.attempts.push_back(attempt.crashed);
            ended.attempts.back().endUncertainty = how == ServerEnd::Refused ? RefusalDelay : ListDelay;
        }
    }
    m_servers.erase(it);
    return ended;
}

std::vector<EndedServer> AbandonedAttempts::onConnectResult(const std::string &server, ConnectResult result, TimePoint now)
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return {};
    }
    auto &state = it->second;
    if (result == ConnectResult::Refused && state.hasLeft) {
        m_servers.erase(it);
        return {};
    }
    if (result == ConnectResult::Refused) {
        return {end(it, ServerEnd::Refused, now - (state.isUnlisted ? ListDelay : RefusalDelay))};
    }
    if (state.isUnlisted && result == ConnectResult::Failed) {
        return {end(it, ServerEnd::Unreachable, now - ListDelay)};
    }
    if (state.isUnlisted) {
        // It leaves as planned: some servers keep serving for a while after their row was removed.
        state.isUnlisted = false;
        state.hasLeft = true;
    }
    return {};
}

std::vector<EndedServer> AbandonedAttempts::onServerList(const std::vector<Server> &list, TimePoint now)
{
    std::vector<EndedServer> ended;
    if (m_servers.empty()) {
        return ended;
    }
    std::multimap<std::pair<std::string, std::uint16_t>, std::string> idsByAddress;
    for (auto &[id, state] : m_servers) {
        state.isUnlisted = !state.hasLeft;
        idsByAddress.insert({{state.server.address, state.server.port}, id});
    }
    const auto observe = [this, &ended, now](const std::string &id, const Server &listed) {
        const auto it = m_servers.find(id);
        if (it == m_servers.end()) {
            return;
        }
        auto &state = it->second;
        const bool hasRestarted = state.server.startedMs != 0 && listed.startedMs > state.server.startedMs;
        if (hasRestarted && !state.hasLeft) {
            ended.push_back(end(it, ServerEnd::Restarted, now - ListDelay));
        } else if (hasRestarted) {
            m_servers.erase(it);
        } else if (id == listed.id) {
            state.isUnlisted = false;
            state.hasLeft = listed.isDraining;
        }
    };
    for (const auto &listed : list) {
        observe(listed.id, listed);
        // A server that restarts mostly has another id at the same address.
        const auto [begin, end] = idsByAddress.equal_range({listed.address, listed.port});
        for (auto it = begin; it != end; ++it) {
            observe(it->second, listed);
        }
    }
    return ended;
}

void AbandonedAttempts::removeExpired(TimePoint now)
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        auto &attempts = it->second.attempts;
        std::erase_if(attempts, [now](const Attempt &attempt) {
            return attempt.runsUntil < now - ListDelay;
        });
        it = attempts.empty() ? m_servers.erase(it) : std::next(it);
    }
}

} // namespace Vanillahall::Forward
