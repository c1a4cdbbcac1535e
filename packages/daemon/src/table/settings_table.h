/** Table of all settings: name, format, which roles require it, and meaning. */
#pragma once

#include "settings_type.h"

#include <array>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Roles that require a setting. */
enum class RequiredBy : std::uint8_t {
    Nobody, ///< Optional for every role.
    Entry,  ///< Required by entries.
    Gate,   ///< Required by gates.
    Both,   ///< Required by entries and gates.
    Proxy,  ///< Required by proxies.
    All,    ///< Required by every role.
};

/** One row of the table. */
struct SettingsRow
{
    std::string_view section;                          ///< Section.
    std::string_view key;                              ///< Key.
    std::string_view form;                             ///< Expected format, for error messages and the reference.
    RequiredBy requiredBy;                             ///< Roles that require it.
    bool (*set)(Settings &, const std::string &value); ///< Parses and stores a value. @return False if it is invalid.
    std::string_view meaning;                          ///< Description for operators.
};

bool setText(std::string &field, const std::string &value);
bool setNumber(std::uint64_t &field, const std::string &value);
bool setSharePercent(std::uint32_t &field, const std::string &value);
bool setMilliseconds(Duration &field, const std::string &value);
bool setOptionalMilliseconds(std::optional<Duration> &field, const std::string &value);
bool setOptionalSeconds(std::optional<Duration> &field, const std::string &value);
bool setOptionalAmount(std::optional<double> &field, const std::string &value);
bool setEndpoint(Endpoint &field, const std::string &value);
bool setRole(Role &field, const std::string &value);
bool setServerKind(std::string &field, const std::string &value);
bool setFlag(bool &field, const std::string &value);
bool setPlacement(std::string &field, const std::string &value);
bool setSwitch(bool &field, const std::string &value);
bool setLogLevel(std::string &field, const std::string &value);

#define VH_SETTING(function, field)                                                                                                        \
    [](Settings &s, const std::string &value) {                                                                                            \
        return function(s.field, value);                                                                                                   \
    }

inline constexpr std::string_view TextForm = "a non-empty text";
inline constexpr std::string_view NumberForm = "a whole number from 1 to 1000000000";
inline constexpr std::string_view MillisecondsForm = "a whole number of milliseconds from 1 to 86400000";
inline constexpr std::string_view SecondsForm = "a number of seconds, whole or with a fraction, from 0.001 to 86400";
inline constexpr std::string_view AmountForm = "a number, whole or with a fraction, from 0 to 1000000";
inline constexpr std::string_view EndpointForm = "an IP number and a port, as 10.0.0.1:8080 or [::1]:8080";
inline constexpr std::string_view SwitchForm = "on or off";
inline constexpr std::string_view PathForm = "a path of a file";

inline constexpr std::array SettingsTable = std::to_array<SettingsRow>({
    {"process", "role", "entry, gate or proxy", RequiredBy::All, VH_SETTING(setRole, role), "What this process is."},
    {"process",
     "name",
     TextForm,
     RequiredBy::All,
     VH_SETTING(setText, name),
     "Name of this entry VM, or of the backend server behind this gate."},
    {"process", "zone", TextForm, RequiredBy::All, VH_SETTING(setText, zone), "Availability zone of this VM."},
    {"process", "region", TextForm, RequiredBy::Nobody, VH_SETTING(setText, region), "Region of this VM."},
    {"process", "stop_limit_ms", MillisecondsForm, RequiredBy::Nobody, VH_SETTING(setMilliseconds, stopLimit), "Longest planned stop."},
    {"link", "listen", EndpointForm, RequiredBy::Both, VH_SETTING(setEndpoint, linkListen), "Where other processes of the system connect."},
    {"link",
     "key_file",
     PathForm,
     RequiredBy::Both,
     VH_SETTING(setText, linkKeyFile),
     "File with the secret that all processes of the system share."},
    {"link",
     "certificate",
     PathForm,
     RequiredBy::Nobody,
     VH_SETTING(setText, linkTls.certificate),
     "Certificate chain for links, in PEM; turns TLS on."},
    {"link", "private_key", PathForm, RequiredBy::Nobody, VH_SETTING(setText, linkTls.key), "Private key for links, in PEM."},
    {"link",
     "authority",
     PathForm,
     RequiredBy::Nobody,
     VH_SETTING(setText, linkTls.authority),
     "Certificates that peers are checked against, in PEM."},
    {"entry", "listen", EndpointForm, RequiredBy::Entry, VH_SETTING(setEndpoint, entryListen), "Where callers and operators connect."},
    {"entry",
     "certificate",
     PathForm,
     RequiredBy::Nobody,
     VH_SETTING(setText, entryTls.certificate),
     "Certificate chain for callers, in PEM; turns TLS on."},
    {"entry", "private_key", PathForm, RequiredBy::Nobody, VH_SETTING(setText, entryTls.key), "Private key for callers, in PEM."},
    {"entry",
     "tokens_file",
     PathForm,
     RequiredBy::Entry,
     VH_SETTING(setText, tokensFile),
     "File with the bearer tokens of callers and operators; read again when it changes."},
    {"entry",
     "default_class",
     TextForm,
     RequiredBy::Nobody,
     VH_SETTING(setText, defaultClass),
     "Class of programs that the OpenAI-compatible form begins without naming one."},
    {"entry", "max_body_bytes", NumberForm, RequiredBy::Nobody, VH_SETTING(setNumber, maxBodyBytes), "Largest request body."},
    {"entry",
     "max_connections",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, maxConnections),
     "Most connections of callers at once."},
    {"entry",
     "max_unsent_bytes",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, maxUnsentBytes),
     "Bytes of responses that callers haven't read, of all connections together; beyond it those that have read least for longest are "
     "closed."},
    {"entry",
     "max_requests_per_customer",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, maxRequestsPerCustomer),
     "Most open requests of one customer at this entry."},
    {"entry",
     "model_time_limit_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, modelTimeLimit),
     "Longest run of a model call."},
    {"entry",
     "service_time_limit_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, serviceTimeLimit),
     "Longest run of a service call."},
    {"entry",
     "gate_gone_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, gateLossTimeout),
     "A gate that can't be reached for this long is given up."},
    {"platform",
     "store",
     EndpointForm,
     RequiredBy::Entry,
     VH_SETTING(setEndpoint, store),
     "The platform's table service and object store."},
    {"platform",
     "row_bytes",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, storeRowBytes),
     "Longest value of a row of the store, in base64."},
    {"platform", "vm_list", EndpointForm, RequiredBy::Entry, VH_SETTING(setEndpoint, vmList), "The platform's list of VMs."},
    {"platform",
     "vm_list_poll_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, vmListPollInterval),
     "Time between two reads of the VM list."},
    {"lease",
     "time_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, leaseTime),
     "A lease lapses this long after its last renewal; the same in all processes."},
    {"lease",
     "renew_interval_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, renewInterval),
     "Time between two renewals of a lease."},
    {"lease",
     "commit_window_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, commitWindow),
     "How long finished turns wait for others to share a write."},
    {"gate", "kind", "model or service", RequiredBy::Gate, VH_SETTING(setServerKind, serverKind), "What the backend server is."},
    {"gate", "server", EndpointForm, RequiredBy::Gate, VH_SETTING(setEndpoint, server), "The backend server."},
    {"gate", "service", TextForm, RequiredBy::Nobody, VH_SETTING(setText, service), "Name of the plain service, if the server is one."},
    {"gate",
     "slots",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, slots),
     "Calls that run at once until the server reports its own number."},
    {"gate", "max_waiting", NumberForm, RequiredBy::Nobody, VH_SETTING(setNumber, maxWaiting), "Longest queue of waiting calls."},
    {"gate",
     "load_poll_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, loadPollInterval),
     "Time between two reads of the server's load."},
    {"gate",
     "stream_silence_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, streamSilence),
     "A stream without progress for this long is resumed on a new connection."},
    {"report",
     "agreed_misses_per_thousand",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, agreedMissesPerThousand),
     "Programs of a thousand that may miss their target, for the burn report."},
    {"proxy", "listen", EndpointForm, RequiredBy::Proxy, VH_SETTING(setEndpoint, proxyListen), "Where a proxy takes clients' requests."},
    {"proxy",
     "ready_listen",
     EndpointForm,
     RequiredBy::Proxy,
     VH_SETTING(setEndpoint, proxyReadyListen),
     "Where a proxy answers whether it takes new connections."},
    {"proxy",
     "metrics_listen",
     EndpointForm,
     RequiredBy::Nobody,
     VH_SETTING(setEndpoint, proxyMetricsListen),
     "Where a proxy serves its metrics, besides proxy.ready_listen."},
    {"proxy",
     "peer_listen",
     EndpointForm,
     RequiredBy::Nobody,
     VH_SETTING(setEndpoint, proxyPeerListen),
     "Where other proxies call; without it they can't reach the store through this one."},
    {"proxy",
     "operator_listen",
     EndpointForm,
     RequiredBy::Nobody,
     VH_SETTING(setEndpoint, proxyOperatorListen),
     "Where a proxy answers `vanillahall where`, to this VM or with an operator's token; without it, it doesn't."},
    {"proxy",
     "tokens_file",
     TextForm,
     RequiredBy::Nobody,
     VH_SETTING(setText, proxyTokensFile),
     "File with the bearer tokens of operators, in the form of entry.tokens_file; without it, only loopback addresses reach "
     "proxy.operator_listen."},
    {"proxy",
     "max_files",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, proxyMaxFiles),
     "Descriptors that a proxy may open; half of them serve clients."},
    {"proxy",
     "memory_mb",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, proxyMemoryMb),
     "Memory that a proxy may use, in MB; half of it may be held for clients, of that a fifth of the whole for request bodies and "
     "conversations under way; a tenth may hold kept turns."},
    {"proxy",
     "server_request_mb",
     NumberForm,
     RequiredBy::Nobody,
     VH_SETTING(setNumber, proxyServerRequestMb),
     "Bytes of requests, in MB, that a proxy lets one server hold; a larger single request is sent all the same."},
    {"proxy",
     "poll_interval_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, proxyPollInterval),
     "Time between two reads of the configuration and of the list of servers while their changes can't be followed."},
    {"proxy",
     "watch_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, proxyWatchWait),
     "Longest time for which the store holds back an answer while the configuration and the list of servers don't change."},
    {"proxy",
     "stop_limit_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setOptionalMilliseconds, proxyStopLimit),
     "Longest planned stop of a proxy; without it, a little less than proxy.grace_s, or 7000."},
    {"proxy",
     "admission",
     SwitchForm,
     RequiredBy::Nobody,
     VH_SETTING(setSwitch, restrictsAdmission),
     "Whether new programs are refused while the servers can't take more work. Always on if the configuration names customers."},
    {"proxy",
     "grace_s",
     SecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setOptionalSeconds, proxyGracePeriod),
     "Time from SIGTERM until the process is killed."},
    {"proxy",
     "fail_closed",
     "true or false",
     RequiredBy::Nobody,
     VH_SETTING(setFlag, proxyFailsClosed),
     "Whether API keys are refused once the configuration hasn't been confirmed for proxy.revoke_ms; without it they stay valid."},
    {"proxy",
     "revoke_ms",
     MillisecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setMilliseconds, proxyRevocationTime),
     "Time after which API keys are refused unconfirmed, with proxy.fail_closed; without it 5000. Below 2000, a calm store may be too "
     "slow."},
    {"proxy",
     "quota_window_s",
     SecondsForm,
     RequiredBy::Nobody,
     VH_SETTING(setOptionalSeconds, proxyQuotaWindow),
     "Window in which the rate limit of a customer applies; 5 by default."},
    {"proxy",
     "quota_overrun",
     AmountForm,
     RequiredBy::Nobody,
     VH_SETTING(setOptionalAmount, proxyQuotaOverrun),
     "Tolerated excess over a rate limit in a window, relative to the limit; 0.1 by default."},
    {"proxy",
     "quota_slack",
     AmountForm,
     RequiredBy::Nobody,
     VH_SETTING(setOptionalAmount, proxyQuotaSlack),
     "Tolerated excess over a rate limit in a window, in requests; 20 by default."},
    {"proxy",
     "outage_budget_percent",
     "a whole number from 0 to 50",
     RequiredBy::Nobody,
     VH_SETTING(setSharePercent, proxyOutageBudgetPercent),
     "Part of each token budget that may be granted while the store is unavailable; 0 (the default) for none. Must be the same at all "
     "proxies, "
     "and changes only while no programs are in progress."},
    {"proxy",
     "placement",
     "learned or fixed",
     RequiredBy::Nobody,
     VH_SETTING(setPlacement, proxyPlacement),
     "Whether servers are chosen by costs and paces that the proxy learns, or by fixed figures; without it, learned."},
    {"log",
     "level",
     "info, warning or error",
     RequiredBy::Nobody,
     VH_SETTING(setLogLevel, logLevel),
     "Least serious event that is logged."},
});

#undef VH_SETTING

} // namespace Vanillahall
