/** Requests and settings of the engine stand-in. */
#pragma once

#include "vanillahall/net/http_type.h"

#include "prefix_cache_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** Settings of the engine stand-in. */
struct EngineStandinSettings
{
    std::vector<std::string> models{"clapper"};                ///< Models that it serves from the start.
    std::uint32_t slots = 8;                                   ///< Maximum number of requests in the batch.
    std::uint32_t maxWaiting = 1000;                           ///< Maximum number of waiting requests; further ones are refused.
    std::uint64_t cacheTokens = 200'000;                       ///< Capacity of the prefix cache, in tokens.
    Duration prefillPerToken = std::chrono::microseconds(20);  ///< Prefill time for each prompt token that is not cached.
    Duration decodePerToken = std::chrono::microseconds(2000); ///< Time of a decode step with one request; 0 for no delay.
    Duration transferPerToken = std::chrono::microseconds(1);  ///< Transfer time for each token of imported cache.
    bool fencing = true;                                       ///< Rejects orders with an outdated fencing number.
    Duration loadLag{};                                        ///< Age of load reports.
    Duration eventLag{};                                       ///< Delay of cache events.
    std::uint32_t eventGapPercent = 0;                         ///< Percentage of cache events that are lost.
    Duration modelLoad = std::chrono::milliseconds(500);       ///< Time to load a model.
    std::string crashMatch;                                    ///< A prompt with this text crashes the engine; empty for none.
    std::uint64_t seed = 1;                                    ///< Seed of the random choice of lost events.
};

/** A connection that receives the stream of a request. */
struct StreamListener
{
    HttpExchangeId exchange;           ///< HTTP exchange of the connection.
    std::size_t next{};                ///< Next token to send.
    std::optional<std::size_t> stopAt; ///< Index of the first token that is not sent because of a fault.
    bool disconnectAtStop{};           ///< True to close the connection at `stopAt`.
};

/** A request at the engine. */
struct EngineRequest
{
    std::string name;                      ///< Name given by the caller, or generated.
    bool named{};                          ///< True if the caller gave the name; only then it can be resumed.
    std::string model;                     ///< Name of the model.
    std::string pin;                       ///< Name under which the prompt is pinned in the cache; empty for none.
    std::int32_t priority{};               ///< Requests with larger values run first.
    std::uint64_t arrival{};               ///< Order of arrival.
    std::uint32_t maxTokens{};             ///< Tokens to generate.
    bool streamed{};                       ///< False if the response is sent in one piece.
    PrefixChain prompt;                    ///< Messages of the prompt.
    std::uint64_t promptTokens{};          ///< Tokens of the prompt.
    std::uint64_t cachedTokens{};          ///< Prompt tokens found in the cache.
    TimePoint ready;                       ///< End of the prefill.
    std::vector<std::string> tokens;       ///< Tokens generated so far.
    bool done{};                           ///< True once all tokens are generated.
    std::vector<StreamListener> listeners; ///< Connections that receive it.
};

/** @return The request in the body, or nothing if the body is invalid. */
std::optional<EngineRequest> readEngineRequest(const nlohmann::json &json);

/** @return The next token; depends only on prompt, model and position. */
std::string generatedToken(const EngineRequest &request);

/** @return The stream event with the token at `index`. */
std::string tokenEvent(const EngineRequest &request, std::size_t index);

/** @return The events that end a stream. */
std::string endEvents(const EngineRequest &request);

/** @return The response to a request that is not streamed. */
nlohmann::json completionResponse(const EngineRequest &request);

} // namespace Vanillahall
