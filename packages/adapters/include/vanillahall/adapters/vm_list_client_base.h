/** HTTP client of the platform's list of VMs. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <memory>

namespace Vanillahall {

struct VmListClientState;

/** Reads the VM list. */
class VmListClient
{
public:
    /** @pre `http` outlives the client. */
    VmListClient(HttpClient &http, PlatformPeer peer);
    ~VmListClient(); ///< Closes pending requests; their callbacks are not called.
    VmListClient(const VmListClient &) = delete;
    VmListClient &operator=(const VmListClient &) = delete;

    /**
     * Reads the list once.
     * @param timeLimit Maximum time until the response; a later response is ignored.
     * @param callback Receives the list, or nothing and the error, exactly once.
     */
    void read(Duration timeLimit, VmListCallback callback);

private:
    std::unique_ptr<VmListClientState> m_state;
};

} // namespace Vanillahall
