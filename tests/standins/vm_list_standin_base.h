/** Stand-in for the platform's list of VMs, which is published with a delay. */
#pragma once

#include "standin_server_base.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** VM list with a history of its changes. */
class VmListStandin
{
public:
    /** @param lag Age of the returned list. */
    VmListStandin(Loop &loop, const std::string &address, std::uint16_t port, Duration lag);

    /** @return The HTTP server, to inject faults. */
    StandinServer &server();

private:
    using List = std::map<std::string, nlohmann::json>;

    /** A state of the list and the time from which it is valid. */
    struct Snapshot
    {
        TimePoint from; ///< Start of validity.
        List list;      ///< All VMs.
    };

    void handle(HttpExchangeId exchange, const HttpRequest &request);
    void change(HttpExchangeId exchange, const HttpRequest &request, const std::string &name);
    [[nodiscard]] nlohmann::json view(bool stale);

    Duration m_lag;
    std::deque<Snapshot> m_history;
    StandinServer m_server;
};

} // namespace Vanillahall
