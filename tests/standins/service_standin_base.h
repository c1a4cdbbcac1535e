/** Stand-in for a plain service that counts its runs of each request. */
#pragma once

#include "standin_server_base.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** Settings of the service. */
struct ServiceStandinSettings
{
    std::string name = "service"; ///< Name in its responses.
    std::uint32_t slots = 16;     ///< Limit of concurrent runs.
    Duration work{};              ///< Duration of one run.
};

/** Service with a limited number of slots; waiting requests are run in order of arrival. */
class ServiceStandin
{
public:
    ServiceStandin(Loop &loop, const std::string &address, std::uint16_t port, ServiceStandinSettings settings);

    /** @return The HTTP server, to inject faults. */
    StandinServer &server();

    /** @return How often a request with this key ran. */
    [[nodiscard]] std::uint64_t runsOf(const std::string &key) const;

private:
    /** A queued or running request. */
    struct Job
    {
        HttpExchangeId exchange; ///< Exchange to answer.
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
