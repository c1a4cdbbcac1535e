/** Requests load reports of a backend server. */
#pragma once

#include "buffered_request_base.h"

#include <functional>

namespace Vanillahall {

/** Polls the load of one backend server, with at most one request pending. */
class LoadPoller
{
public:
    /** @param timeLimit Maximum time until the report. @param callback Receives every report, on the event loop. @pre Both references
     * outlive this. */
    LoadPoller(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback);

    /**
     * Sends one request, unless an earlier one is still pending.
     * @param onServerUp Called before the report is passed on, if the report is valid; may be empty.
     */
    void poll(std::function<void()> onServerUp);

private:
    BufferedRequests &m_requests;
    Duration m_timeLimit;
    GateEventCallback &m_callback;
    bool m_isPending = false;
};

} // namespace Vanillahall
