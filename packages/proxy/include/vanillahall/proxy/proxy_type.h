/** Settings and log callback of the proxy. */
#pragma once

#include "vanillahall/core/customer/customer_directory_base.h"
#include "vanillahall/core/customer/quota_type.h"
#include "vanillahall/core/error_type.h"
#include "vanillahall/core/log_type.h"
#include "vanillahall/core/planned_stop_base.h"
#include "vanillahall/core/server_registry_base.h"

#include <functional>
#include <string>

namespace Vanillahall::Forward {

/** IP address and port to listen on or to connect to. */
struct ProxyAddress
{
    std::string address;  ///< IP address.
    std::uint16_t port{}; ///< Port; 0 binds a free port when listening.
};

/** Settings of one proxy. */
struct ProxySettings
{
    std::string name;                                       ///< Name of this VM.
    std::string zone;                                       ///< Availability zone of this VM.
    std::string region;                                     ///< Region of this VM; proxies discover the other proxies of their region.
    std::string incarnation;                                ///< Unique for each start of the process.
    ProxyAddress listen;                                    ///< Address for clients.
    ProxyAddress readyListen;                               ///< Address for the platform's readiness checks; also serves the metrics.
    std::optional<ProxyAddress> metricsListen;              ///< Additional address for the metrics.
    std::optional<ProxyAddress> peerListen;                 ///< Address for calls from other proxies; none if they are not served.
    ProxyAddress store;                                     ///< Address of the platform's store.
    Duration pollInterval = std::chrono::milliseconds(500); ///< Interval between reads of tables without change notification.
    Duration watchWait = std::chrono::milliseconds(1000); ///< Longest time for which the store may hold a watch call open without changes.
    Duration turnSweepCycle = std::chrono::minutes(5); ///< Time in which all proxies together scan all stored turns once for expired ones.
    StopSettings stop;                                 ///< Parameters of a planned stop.
    std::size_t maxBufferedBytes = std::size_t{24} * 1024 * 1024; ///< Limit on request bodies in memory, over all connections.
    std::size_t maxClientBytes = std::size_t{64} * 1024 * 1024;   ///< Limit on all memory held for clients, bodies included.
    std::size_t maxServerBytes = std::size_t{32} * 1024 * 1024;   ///< Limit on bytes of requests that one server holds for this proxy.
    std::size_t maxTurnBytes = std::size_t{8} * 1024 * 1024;      ///< Capacity of the cache for turns of stored conversations.
    std::size_t rowBytes = 65536;                                 ///< Longest value of a row in the store, in base64.
    std::size_t maxClients = 3000;                                ///< Limit on open client connections.
    CustomerSettings customers;                                   ///< Validity of API keys while the store is unavailable.
    QuotaSettings quota;                                          ///< Rule for the rate limits of customers.
    bool restrictsAdmission = false; ///< True to restrict admission under overload also if the configuration names no customers.
    ChoiceSettings choice;           ///< Parameters of the server selection.

    std::uint32_t outageBudgetPercent = 0; ///< Part of each token budget that the owner of the program may grant while the store is away.
    Duration budgetClaimDelay = std::chrono::seconds(5); ///< No partition of the programs is claimed this long after the start.

    std::optional<ProxyAddress> operatorListen; ///< Address for operators; none if they are not served.
    /** Checks the token of an operator; `reason` is set if the tokens can't be read. Without it, only loopback addresses are served. */
    std::function<bool(const std::string &token, Error &reason)> isOperatorToken;
};

/** Receives one log line. @param fields "key=value" pairs, separated by spaces. */
using ProxyLog = std::function<void(LogLevel level, EventNumber event, const std::string &fields)>;

} // namespace Vanillahall::Forward
