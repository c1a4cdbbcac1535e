/** HTTP adapter of one plain service. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <memory>

namespace Vanillahall {

/** How to talk to a plain service. */
struct ServiceClientSettings
{
    PlatformPeer peer;                                   ///< Where it listens.
    Duration controlTimeLimit = std::chrono::seconds(2); ///< Longest time for a load report.
};

struct ServiceClientState;

/** Carries out a gate's actions at a plain service and tells the gate what happens. */
class ServiceClient
{
public:
    /**
     * @param callback Gets every event; called on the loop, never inside a function of this class.
     * @pre `http` outlives the client.
     */
    ServiceClient(HttpClient &http, ServiceClientSettings settings, GateEventCallback callback);
    ~ServiceClient(); ///< Drops open requests; nothing is called any more.
    ServiceClient(const ServiceClient &) = delete;
    ServiceClient &operator=(const ServiceClient &) = delete;

    /**
     * Starts a service call. ServerCallStarted follows when the answer begins; ServerCallFinished or ServerCallFailed comes last.
     * @pre `action.body` holds a ServiceCall.
     */
    void start(const StartServerCall &action);

    /** Stops waiting for a call. It may still run. No event of the call follows. */
    void cancel(const CancelServerCall &action);

    /** Asks for the load once. ServerLoad follows, unless an earlier poll is still open. */
    void pollLoad();

private:
    std::unique_ptr<ServiceClientState> m_state;
};

} // namespace Vanillahall
