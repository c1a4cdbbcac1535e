/** HTTP client of one plain service. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <memory>

namespace Vanillahall {

/** Settings of a ServiceClient. */
struct ServiceClientSettings
{
    PlatformPeer peer;                                 ///< Address of the service.
    Duration controlTimeout = std::chrono::seconds(2); ///< Limit for a load report.
};

struct ServiceClientState;

/** Sends a gate's calls to a plain service and reports the results as gate events. */
class ServiceClient
{
public:
    /**
     * @param callback Receives every event; called from the event loop, never from within a member function of this class.
     * @pre `http` outlives the client.
     */
    ServiceClient(HttpClient &http, ServiceClientSettings settings, GateEventCallback callback);
    ~ServiceClient(); ///< Closes pending requests; the callback is not called again.
    ServiceClient(const ServiceClient &) = delete;
    ServiceClient &operator=(const ServiceClient &) = delete;

    /**
     * Starts a service call. Reports ServerCallStarted when the response begins, and ServerCallFinished or ServerCallFailed last.
     * @pre `action.body` holds a ServiceCall.
     */
    void start(const StartServerCall &action);

    /** Closes the connection of a call, which the service may still complete. No further event of the call is reported. */
    void cancel(const CancelServerCall &action);

    /** Requests the load once and reports ServerLoad, unless an earlier poll is still pending. */
    void pollLoad();

private:
    std::unique_ptr<ServiceClientState> m_state;
};

} // namespace Vanillahall
