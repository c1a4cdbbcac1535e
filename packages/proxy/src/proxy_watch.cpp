#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <sstream>

namespace Vanillahall::Forward {

namespace {

constexpr Duration WatchInterval
    = std::chrono::milliseconds(200); ///< Interval between checks of the watches; a server that has ended is down for longer.

} // namespace

void ProxyState::recordAbandonedAttempt(const Server &server, CrashedAttempt attempt, TimePoint runsUntil)
{
    const bool wasEmpty = abandoned.size() == 0;
    abandoned.record(server, std::move(attempt), runsUntil);
    if (wasEmpty) {
        watchServers();
    }
}

void ProxyState::watchServers()
{
    abandoned.removeExpired(now());
    for (const bool isUnlisted : {false, true}) {
        for (const auto &it : abandoned.serversToWatch(isUnlisted)) {
            // An open connection to a server that has lost its power gives no sign of it.
            if (isUnlisted || m_idleConnections.count(it.id) == 0) {
                openWatch(it);
            }
        }
    }
    if (abandoned.size() == 0 || m_isShutDown) {
        return;
    }
    runAfter(m_watchTimer, WatchInterval, *this, [](ProxyState &self) {
        self.watchServers();
    });
}

void ProxyState::openWatch(const Server &server)
{
    if (!m_openingWatches.insert(server.id).second) {
        return;
    }
    newConnection(server)->open([weak = weak_from_this(), id = server.id](ConnectResult result) {
        if (const auto self = weak.lock()) {
            self->m_openingWatches.erase(id);
            self->onServerConnect(id, result);
        }
    });
}

void ProxyState::onServerConnect(const std::string &server, ConnectResult result)
{
    recordEndedServers(abandoned.onConnectResult(server, result, now()));
}

void ProxyState::recordEndedServers(const std::vector<EndedServer> &ended)
{
    for (const auto &it : ended) {
        std::ostringstream line;
        line << "server=" << it.server << " how=" << serverEndName(it.end) << " abandoned=" << it.attempts.size() << " contents=";
        for (const auto &attempt : it.attempts) {
            line << (attempt.features.empty() ? 0 : attempt.features.front().hash) << ',';
            recordCrash(attempt);
        }
        log(LogLevel::Warning, EventNumber::ServerEnded, line.str());
        metrics.count("vanillahall_servers_ended_total", {"how", std::string(serverEndName(it.end))});
    }
}

} // namespace Vanillahall::Forward
