/** Settings of the proxy and the lines that it logs. */
#pragma once

#include "vanillahall/core/log_type.h"
#include "vanillahall/core/server_registry_base.h"

#include <functional>
#include <string>

namespace Vanillahall::Forward {

/** Where to listen or connect. */
struct ProxyAddress
{
    std::string address;  ///< IP number.
    std::uint16_t port{}; ///< Port; 0 takes a free one where the proxy listens.
};

/** Settings of one proxy. */
struct ProxySettings
{
    std::string name;                                       ///< Name of this VM.
    std::string zone;                                       ///< Availability zone of this VM.
    std::string region;                                     ///< Region of this VM; proxies of one region know each other.
    std::string incarnation;                                ///< Differs at each start.
    ProxyAddress listen;                                    ///< Where clients connect.
    ProxyAddress readyListen;                               ///< Where the platform asks for readiness; also serves the metrics.
    std::optional<ProxyAddress> metricsListen;              ///< Where else the metrics are served.
    std::optional<ProxyAddress> peerListen;                 ///< Where other proxies call, if they may.
    ProxyAddress store;                                     ///< The platform's store.
    Duration pollInterval = std::chrono::milliseconds(500); ///< Time between two reads of tables whose changes can't be followed.
    Duration watchWait = std::chrono::milliseconds(1000);   ///< Longest time for which the store holds back an answer without changes.
    Duration turnSweepCycle = std::chrono::minutes(5); ///< Time in which all proxies together look through all kept turns for old ones.
    Duration stopLimit = std::chrono::seconds(7);      ///< Longest planned stop.
    std::size_t maxBufferedBytes = std::size_t{24} * 1024 * 1024; ///< Request bodies held at once.
    std::size_t maxTurnBytes = std::size_t{8} * 1024 * 1024;      ///< Turns of kept conversations held in memory.
    std::size_t rowBytes = 65536;                                 ///< Longest value of a row of the store, in base64.
    std::size_t maxClients = 3000;                                ///< Connections of clients at once.
    ChoiceSettings choice;                                        ///< Figures of the choice among servers.
};

/** Takes one log line. @param fields "key=value" pairs, separated by spaces. */
using ProxyLog = std::function<void(LogLevel level, EventNumber event, const std::string &fields)>;

} // namespace Vanillahall::Forward
