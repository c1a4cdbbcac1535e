/** Stand-in for the platform's list of VMs, with a delay. */
#pragma once

#include "standin_server_base.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** HTTP server that behaves like the VM list. */
class VmListStandin
{
public:
    /** @param lag Age of the returned list. */
    VmListStandin(Loop &loop, const std::string &address, std::uint16_t port, Duration lag);

    /** @return The server. */
    StandinServer &server();

private:
    using List = std::map<std::string, nlohmann::json>;

    /** A version of the list. */
    struct Snapshot
    {
        TimePoint validFrom; ///< Start of its validity.
        List list;           ///< All VMs.
    };

    void handle(HttpExchangeId exchange, const HttpRequest &request);
    void change(HttpExchangeId exchange, const HttpRequest &request, const std::string &name);
    [[nodiscard]] nlohmann::json listToJson(bool stale);

    Duration m_lag;
    std::deque<Snapshot> m_history;
    StandinServer m_server;
};

} // namespace Vanillahall
