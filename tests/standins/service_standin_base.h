/** Stand-in for a plain service that counts the runs of each request. */
#pragma once

#include "standin_server_base.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** Settings of the service stand-in. */
struct ServiceStandinSettings
{
    std::string name = "service"; ///< Name in its responses.
    std::uint32_t slots = 16;     ///< Maximum number of concurrent runs.
    Duration work{};              ///< Duration of a run.
};

/** HTTP server that behaves like a plain service. */
class ServiceStandin
{
public:
    ServiceStandin(Loop &loop, const std::string &address, std::uint16_t port, ServiceStandinSettings settings);

    /** @return The server. */
    StandinServer &server();

    /** @return Number of runs of the request with this idempotency key. */
    [[nodiscard]] std::uint64_t runsOf(const std::string &key) const;

private:
    /** A request that waits for a slot. */
    struct Job
    {
        HttpExchangeId exchange; ///< HTTP exchange of the request.
        std::string operation;   ///< Requested operation.
        std::string key;         ///< Idempotency key.
    };

    void handle(HttpExchangeId exchange, const HttpRequest &request);
    void startJobs();
    void finish(const Job &job);

    ServiceStandinSettings m_settings;
    std::uint64_t m_run;
    std::uint32_t m_running = 0;
    std::uint64_t m_done = 0;
    std::deque<Job> m_waiting;
    std::map<std::string, std::uint64_t> m_runs;
    StandinServer m_server;
};

} // namespace Vanillahall
