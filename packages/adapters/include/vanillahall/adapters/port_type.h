/** Interfaces to the platform as function types, so that tests can replace the adapters by any callable. */
#pragma once

#include "vanillahall/core/gate_event_type.h"
#include "vanillahall/core/store_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Address of a service of the platform. */
struct PlatformPeer
{
    std::string name;       ///< Name used in errors.
    std::string address;    ///< IP address.
    std::uint16_t port{};   ///< TCP port.
    bool tls{};             ///< True to connect with TLS.
    std::string pathPrefix; ///< Prepended to every path; empty, or starts with "/" and does not end with it.
};

/** Receives the reply of the store. Called exactly once from the event loop, never before the request function has returned. */
using StoreCallback = std::function<void(StoreAnswer &&)>;

/** Sends one request to the store; fails with a time-out after the time limit. */
using StorePort = std::function<void(const StoreRequest &, Duration timeLimit, StoreCallback)>;

/** Receives the VM list, or nothing and the error. Called exactly once from the event loop. */
using VmListCallback = std::function<void(std::optional<std::vector<VmListing>>, const Error &)>;

/** Reads the VM list; fails with a time-out after the time limit. */
using VmListPort = std::function<void(Duration timeLimit, VmListCallback)>;

/** Receives the events of a backend server for its gate. Called from the event loop. */
using GateEventCallback = std::function<void(GateEvent &&)>;

} // namespace Vanillahall
