/** HTTP adapter of the platform's table service and object store. */
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
    ~StoreClient(); ///< Drops open requests; their callbacks are not called.
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /**
     * Sends one request.
     * @param request What to do.
     * @param timeLimit Longest time until the answer; a later one is dropped.
     * @param callback Gets the answer exactly once. A failed write says NotRun only if it certainly did not and will not take effect.
     */
    void send(const StoreRequest &request, Duration timeLimit, StoreCallback callback);

private:
    std::unique_ptr<StoreClientState> m_state;
};

} // namespace Vanillahall
