/** Stand-in for a model engine with an OpenAI-compatible interface. */
#pragma once

#include "vanillahall/net/http_client_base.h"

#include "engine_batch_base.h"
#include "engine_report_base.h"
#include "standin_server_base.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace Vanillahall {

/** Engine with continuous batching, a prefix cache, pins, fenced orders and resumable streams. */
class EngineStandin
{
public:
    EngineStandin(Loop &loop, const std::string &address, std::uint16_t port, EngineStandinSettings settings);

    /** @return The HTTP server, to inject faults. */
    StandinServer &server();

    /** @return How often a request with this name ran. */
    [[nodiscard]] std::uint64_t runsOf(const std::string &name) const;

    /** @return Requests in the batch. */
    [[nodiscard]] std::size_t running() const;

    /** @return The prefix cache. */
    [[nodiscard]] const PrefixCache &cache() const;

private:
    void handle(HttpExchangeId exchange, const HttpRequest &request);
    void handleGet(HttpExchangeId exchange, const HttpRequest &request);
    void handlePost(HttpExchangeId exchange, const HttpRequest &request);
    void handleDelete(HttpExchangeId exchange, const HttpRequest &request);
    void notFound(HttpExchangeId exchange);

    void startRequest(HttpExchangeId exchange, const std::string &body);
    void resumeRequest(HttpExchangeId exchange, const std::string &path, const std::string &query);
    void cancelRequest(HttpExchangeId exchange, const std::string &name);
    void onClientDisconnected(HttpExchangeId exchange);
    void listen(EngineRequest &request, StreamListener listener);
    void onAdmitted(EngineRequest &request);
    void onTokenGenerated(EngineRequest &request);
    void sendTokens(EngineRequest &request, StreamListener &listener);
    void completeRequest(EngineRequest &request);
    void removeRequest(const std::string &name);

    void handleOrder(HttpExchangeId exchange, const std::string &body);
    void exportCache(HttpExchangeId exchange, const std::string &body);
    void importCache(HttpExchangeId exchange, const std::string &body);
    void storeImport(HttpExchangeId exchange, const std::string &text);
    [[nodiscard]] nlohmann::json load() const;
    [[nodiscard]] nlohmann::json pins() const;
    [[nodiscard]] nlohmann::json counters() const;
    void recordLoadChange();

    /** Values of `GET /v1/counters`. */
    struct Counters
    {
        std::map<std::string, std::uint64_t> runs; ///< Number of runs, by request name.
        std::uint64_t prefillTokens{};             ///< Prompt tokens computed because they were not cached.
        std::uint64_t cachedTokens{};              ///< Prompt tokens found in the cache.
        std::uint64_t decodeTokens{};              ///< Generated tokens.
        std::uint64_t importedTokens{};            ///< Tokens of imported prefixes.
        std::uint64_t cancelled{};                 ///< Cancelled requests.
    };

    EngineStandinSettings m_settings;
    std::uint64_t m_run;
    std::set<std::string> m_models;
    std::uint64_t m_fence = 0;
    std::uint64_t m_lastName = 0;
    Counters m_counters;
    EngineReport m_report;
    PrefixCache m_cache;
    std::map<std::string, std::unique_ptr<EngineRequest>> m_requests;
    std::deque<std::string> m_finished;
    std::map<std::string, nlohmann::json> m_blobs;
    EngineBatch m_batch;
    HttpClient m_http;
    StandinServer m_server;
};

} // namespace Vanillahall
