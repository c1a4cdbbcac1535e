/** Settings of one process, as read from its INI file and the command line. */
#pragma once

#include "vanillahall/core/time_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Role of a process. */
enum class Role : std::uint8_t {
    Entry, ///< Serves callers and operators; holds programs.
    Gate,  ///< Forwards calls to one backend server.
    Proxy, ///< Forwards single requests to backend servers.
};

/** An IP address and a port. */
struct Endpoint
{
    std::string address;  ///< Numeric IPv4 or IPv6 address.
    std::uint16_t port{}; ///< Port; when listening, 0 binds an ephemeral port.
};

/** All settings, with their defaults. table/settings_table.h lists the name, format and meaning of each. */
struct Settings
{
    Role role = Role::Entry;                                     ///< process.role
    std::string name;                                            ///< process.name
    std::string zone;                                            ///< process.zone
    std::string region;                                          ///< process.region
    Endpoint linkListen{"127.0.0.1", 0};                         ///< link.listen
    std::string linkKeyFile;                                     ///< link.key_file
    TlsFiles linkTls;                                            ///< link.certificate, link.private_key, link.authority
    Endpoint entryListen{"127.0.0.1", 0};                        ///< entry.listen
    TlsFiles entryTls;                                           ///< entry.certificate, entry.private_key
    std::string tokensFile;                                      ///< entry.tokens_file
    std::string defaultClass;                                    ///< entry.default_class
    std::uint64_t maxBodyBytes = std::uint64_t{4} * 1024 * 1024; ///< entry.max_body_bytes
    std::uint64_t maxConnections = 4096;                         ///< entry.max_connections
    std::uint64_t maxUnsentBytes = std::uint64_t{64} << 20;      ///< entry.max_unsent_bytes
    std::uint64_t maxRequestsPerCustomer = 1024;                 ///< entry.max_requests_per_customer
    Endpoint store;                                              ///< platform.store
    Endpoint vmList;                                             ///< platform.vm_list
    std::uint64_t storeRowBytes = 65536;                         ///< platform.row_bytes
    Duration vmListPollInterval = std::chrono::seconds(1);       ///< platform.vm_list_poll_ms
    Duration leaseTime = std::chrono::seconds(3);                ///< lease.time_ms
    Duration renewInterval = std::chrono::seconds(1);            ///< lease.renew_interval_ms
    Duration commitWindow = std::chrono::milliseconds(10);       ///< lease.commit_window_ms
    Duration modelTimeLimit = std::chrono::minutes(5);           ///< entry.model_time_limit_ms
    Duration serviceTimeLimit = std::chrono::seconds(30);        ///< entry.service_time_limit_ms
    Duration gateLossTimeout = std::chrono::seconds(10);         ///< entry.gate_gone_ms
    std::string serverKind = "model";                            ///< gate.kind
    Endpoint server;                                             ///< gate.server
    std::string service;                                         ///< gate.service
    std::uint64_t slots = 8;                                     ///< gate.slots
    std::uint64_t maxWaiting = 1000;                             ///< gate.max_waiting
    Duration loadPollInterval = std::chrono::milliseconds(250);  ///< gate.load_poll_ms
    Duration streamSilence = std::chrono::seconds(3);            ///< gate.stream_silence_ms
    Duration stopLimit = std::chrono::minutes(2);                ///< process.stop_limit_ms
    std::uint64_t agreedMissesPerThousand = 10;                  ///< report.agreed_misses_per_thousand
    Endpoint proxyListen{"127.0.0.1", 0};                        ///< proxy.listen
    Endpoint proxyReadyListen{"127.0.0.1", 0};                   ///< proxy.ready_listen
    Endpoint proxyMetricsListen;                                 ///< proxy.metrics_listen
    Endpoint proxyPeerListen;                                    ///< proxy.peer_listen
    Endpoint proxyOperatorListen;                                ///< proxy.operator_listen
    std::string proxyTokensFile;                                 ///< proxy.tokens_file
    std::uint64_t proxyMaxFiles = 8192;                          ///< proxy.max_files
    bool restrictsAdmission = false;                             ///< proxy.admission
    std::uint64_t proxyMemoryMb = 256;                           ///< proxy.memory_mb
    std::uint64_t proxyServerRequestMb = 16;                     ///< proxy.server_request_mb
    Duration proxyPollInterval = std::chrono::milliseconds(500); ///< proxy.poll_interval_ms
    Duration proxyWatchWait = std::chrono::milliseconds(1000);   ///< proxy.watch_ms
    std::optional<Duration> proxyStopLimit;                      ///< proxy.stop_limit_ms
    std::optional<Duration> proxyGracePeriod;                    ///< proxy.grace_s
    bool proxyFailsClosed = false;                               ///< proxy.fail_closed
    Duration proxyRevocationTime = std::chrono::seconds(5);      ///< proxy.revoke_ms
    std::optional<Duration> proxyQuotaWindow;                    ///< proxy.quota_window_s
    std::optional<double> proxyQuotaOverrun;                     ///< proxy.quota_overrun
    std::optional<double> proxyQuotaSlack;                       ///< proxy.quota_slack
    std::uint32_t proxyOutageBudgetPercent = 0;                  ///< proxy.outage_budget_percent
    std::string proxyPlacement = "learned";                      ///< proxy.placement
    std::string logLevel = "info";                               ///< log.level
};

/** An error in the settings. */
struct SettingsError
{
    std::string file;     ///< Path, or "command line".
    std::uint32_t line{}; ///< Line number in the file, from 1; 0 if the error is not tied to a line.
    std::string section;  ///< Section, if known.
    std::string key;      ///< Key, if known.
    std::string message;  ///< What was expected.
};

/** One `key = value` line and its location. */
struct SettingsLine
{
    std::string file;     ///< Path, or "command line".
    std::uint32_t line{}; ///< Line number in the file, from 1; 0 for the command line.
    std::string section;  ///< Section.
    std::string key;      ///< Key.
    std::string value;    ///< Value, without surrounding blanks.
};

} // namespace Vanillahall
