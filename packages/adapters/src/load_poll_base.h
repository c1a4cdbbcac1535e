/** Reads the load reports of a backend server. */
#pragma once

#include "buffered_request_base.h"

#include <functional>

namespace Vanillahall {

/** Polls the load of one backend server, one request at a time. */
class LoadPoll
{
public:
    /** @param timeLimit Longest time until the report. @param callback Called with every report, on the loop. @pre Both outlive this. */
    LoadPoll(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback);

    /**
     * Asks once, unless an earlier request is still open.
     * @param onUp Called before the report is passed on, if the server answered.
     */
    void poll(std::function<void()> onUp);

private:
    BufferedRequests &m_requests;
    Duration m_timeLimit;
    GateEventCallback &m_callback;
    bool m_open = false;
};

} // namespace Vanillahall
