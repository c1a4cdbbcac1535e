/** State of a WorkerRegistry. */
#pragma once

#include "vanillahall/core/worker_registry_base.h"

#include <map>
#include <optional>
#include <string>

namespace Vanillahall {

constexpr Duration DefaultTokenInterval = std::chrono::milliseconds(10);    ///< Used until a server reports its own.
constexpr Duration DefaultPrefillPerToken = std::chrono::microseconds(100); ///< Used until a server reports its own.

/** A call that this entry has sent to a server. */
struct SentCall
{
    TimePoint sentAt;        ///< When it was sent.
    Duration expectedTime{}; ///< Expected run time at the backend server.
};

/** A backend server. */
struct Worker
{
    std::string address;                  ///< Address of its gate, "ip:port".
    ZoneName zone;                        ///< Its availability zone.
    bool listed{};                        ///< True if the newest VM list names it.
    bool listedLeaving{};                 ///< True if the VM list marks it as leaving.
    bool declaredLeaving{};               ///< True if an operator declared it as leaving.
    bool lost{};                          ///< True if the connection to its gate was lost and no report has arrived since.
    std::optional<GateStatus> status;     ///< Newest load report.
    TimePoint statusAt;                   ///< When `status` was received.
    std::map<CallKey, SentCall> inFlight; ///< Calls sent by this entry that haven't ended.
};

/** State of a WorkerRegistry. */
struct WorkerRegistryState
{
    ZoneName zone;                        ///< This entry's availability zone.
    std::map<ServerName, Worker> workers; ///< All known servers.
};

} // namespace Vanillahall
