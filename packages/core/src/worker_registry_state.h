/** What a WorkerRegistry keeps. */
#pragma once

#include "vanillahall/core/worker_registry_base.h"

#include <map>
#include <optional>
#include <string>

namespace Vanillahall {

constexpr Duration DefaultTokenInterval = std::chrono::milliseconds(10);    ///< Until a server reports its own.
constexpr Duration DefaultPrefillPerToken = std::chrono::microseconds(100); ///< Until a server reports its own.

/** One call that this entry has sent to a server. */
struct SentCall
{
    TimePoint since; ///< When it was sent.
    Duration work{}; ///< Expected time at the backend server.
};

/** One server as this entry knows it. */
struct Worker
{
    std::string address;                  ///< Address of its gate, "ip:port".
    ZoneName zone;                        ///< Where it is.
    bool listed{};                        ///< True if the newest VM list names it.
    bool listedLeaving{};                 ///< True if the VM list says that it leaves.
    bool declaredLeaving{};               ///< True if an operator declared that it leaves.
    bool lost{};                          ///< True if the connection was lost and it hasn't answered since.
    std::optional<GateStatus> status;     ///< Newest load report.
    TimePoint statusAt;                   ///< When that came.
    std::map<CallKey, SentCall> inFlight; ///< Calls that this entry has sent and that haven't ended.
};

/** All servers. */
struct WorkerRegistryState
{
    ZoneName zone;                        ///< This entry's availability zone.
    std::map<ServerName, Worker> workers; ///< By name.
};

} // namespace Vanillahall
