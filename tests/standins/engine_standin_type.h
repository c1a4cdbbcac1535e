/** Settings, requests and response texts of the engine stand-in. */
#pragma once

#include "vanillahall/net/http_type.h"

#include "prefix_cache_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** Settings of the engine. */
struct EngineStandinSettings
{
    std::vector<std::string> models{"clapper"};                ///< Models loaded at start.
    std::uint32_t slots = 8;                                   ///< Limit of requests in the batch.
    std::uint32_t maxWaiting = 1000;                           ///< Limit of queued requests; further ones are refused.
    std::uint64_t cacheTokens = 200'000;                       ///< Capacity of the prefix cache, in tokens.
    Duration prefillPerToken = std::chrono::microseconds(20);  ///< Prefill time for each prompt token that is not cached.
    Duration decodePerToken = std::chrono::microseconds(2000); ///< Time of a decode step with one request; 0 for no delay.
    Duration transferPerToken = std::chrono::microseconds(1);  ///< Time for each imported token.
    bool fencing = true;                                       ///< Refuse orders with an outdated fencing number.
    Duration loadLag{};                                        ///< Age of load reports.
    Duration eventLag{};                                       ///< Delay of cache events.
    std::uint32_t eventGapPercent = 0;                         ///< Share of cache events that are lost.
    Duration modelLoad = std::chrono::milliseconds(500);       ///< Time to load a model.
    std::string crashMatch;                                    ///< A prompt with this text crashes the engine; empty for none.
    std::uint64_t seed = 1;                                    ///< Seed for the choice of lost events.
};

/** A client that receives a stream of tokens. */
struct StreamListener
{
    HttpExchangeId exchange;           ///< Exchange of the client.
    std::size_t next{};                ///< Index of the next token to send.
    std::optional<std::size_t> stopAt; ///< Index of the first token that an injected fault suppresses.
    bool cutAtStop{};                  ///< True if the connection is cut at `stopAt`.
};

/** A request of the engine. */
struct EngineRequest
{
    std::string name;                      ///< Given by the client, or generated.
    bool named{};                          ///< True if the client gave the name; only then the request can be resumed.
    std::string model;                     ///< Model name.
    std::string pin;                       ///< Pin the prompt under this name; empty for no pin.
    std::int32_t priority{};               ///< Larger values are admitted first.
    std::uint64_t arrival{};               ///< Order of arrival.
    std::uint32_t maxTokens{};             ///< Tokens to generate.
    bool streamed{};                       ///< False for a single response without streaming.
    PrefixChain prompt;                    ///< Messages of the prompt.
    std::uint64_t promptTokens{};          ///< Tokens of the prompt.
    std::uint64_t cachedTokens{};          ///< Number of them that were cached.
    TimePoint ready;                       ///< End of prefill.
    std::vector<std::string> tokens;       ///< Tokens generated so far.
    bool done{};                           ///< True once all tokens are generated.
    std::vector<StreamListener> listeners; ///< Connected clients.
};

/** @return The request, or nothing if the JSON is not a valid chat completion request. */
std::optional<EngineRequest> readEngineRequest(const nlohmann::json &json);

/** @return The next token; depends only on prompt, model and position, so that repeated runs give equal text. */
std::string generatedToken(const EngineRequest &request);

/** @return The server-sent event of a token. */
std::string tokenEvent(const EngineRequest &request, std::size_t index);

/** @return The server-sent events that end a stream. */
std::string endEvents(const EngineRequest &request);

/** @return The response body of a request without streaming. */
nlohmann::json completionResponse(const EngineRequest &request);

} // namespace Vanillahall
