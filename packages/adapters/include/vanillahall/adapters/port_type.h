/** The narrow ports to the platform, as functions: whatever has such a function can stand in for an adapter. */
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

/** Where a part of the platform listens. */
struct PlatformPeer
{
    std::string name;       ///< Names it in errors.
    std::string address;    ///< IP number.
    std::uint16_t port{};   ///< Port.
    bool tls{};             ///< True for TLS.
    std::string pathPrefix; ///< Put before every path; empty or beginning with "/" and not ending with it.
};

/** Called on the loop with the answer of the store, exactly once, never before the request function has returned. */
using StoreCallback = std::function<void(StoreAnswer &&)>;

/** Sends one request to the store; gives up after the time limit. */
using StorePort = std::function<void(const StoreRequest &, Duration timeLimit, StoreCallback)>;

/** Called on the loop with the VM list, or with nothing; then the error says why. Exactly once. */
using VmListCallback = std::function<void(std::optional<std::vector<VmListing>>, const Error &)>;

/** Reads the VM list; gives up after the time limit. */
using VmListPort = std::function<void(Duration timeLimit, VmListCallback)>;

/** Called on the loop with what a gate must be told about its backend server. */
using GateEventCallback = std::function<void(GateEvent &&)>;

} // namespace Vanillahall
