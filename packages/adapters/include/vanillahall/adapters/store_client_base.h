/** HTTP client of the platform's table service and object store. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <memory>

namespace Vanillahall {

struct StoreClientState;

/** Sends requests to the store. */
class StoreClient
{
public:
    /** @pre `http` outlives the client. */
    StoreClient(HttpClient &http, PlatformPeer peer);
    ~StoreClient(); ///< Closes pending requests; their callbacks are not called.
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /**
     * Sends one request.
     * @param request A transaction, a read or an object operation.
     * @param timeLimit Maximum time until the reply; a later reply is ignored.
     * @param callback Receives the reply exactly once. A failed write is NotRun only if it certainly did not and will not take effect.
     */
    void send(const StoreRequest &request, Duration timeLimit, StoreCallback callback);

private:
    std::unique_ptr<StoreClientState> m_state;
};

} // namespace Vanillahall
