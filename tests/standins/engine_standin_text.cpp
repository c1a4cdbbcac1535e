#include "engine_standin_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint64_t BytesPerToken = 4; ///< Approximate size of a token.
constexpr std::uint32_t DefaultMaxTokens = 16;
constexpr std::array<std::string_view, 16> Syllables{
    "ba", "co", "di", "fe", "gu", "ha", "jo", "ki", "la", "me", "no", "pu", "ra", "si", "to", "ve"};

nlohmann::json usageOf(const EngineRequest &request)
{
    return {{"prompt_tokens", request.promptTokens},
            {"completion_tokens", request.tokens.size()},
            {"total_tokens", request.promptTokens + request.tokens.size()},
            {"prompt_tokens_details", {{"cached_tokens", request.cachedTokens}}}};
}

nlohmann::json chunkOf(const EngineRequest &request, nlohmann::json choices)
{
    return {{"id", request.name}, {"object", "chat.completion.chunk"}, {"model", request.model}, {"choices", std::move(choices)}};
}

std::string event(const nlohmann::json &json)
{
    return "data: " + json.dump() + "\n\n";
}

PrefixChain chainOf(const std::string &model, const nlohmann::json &messages)
{
    PrefixChain chain;
    std::uint64_t hash = chainHash(0, model);
    for (const auto &it : messages) {
        const std::string text = it.dump();
        hash = chainHash(hash, text);
        chain.push_back(PrefixLink{hash, 1 + text.size() / BytesPerToken});
    }
    return chain;
}

EngineRequest readMembers(const nlohmann::json &json)
{
    EngineRequest request;
    request.model = json.value("model", std::string());
    request.name = json.value("request_id", std::string());
    request.named = !request.name.empty();
    request.pin = json.value("pin", std::string());
    request.priority = json.value("priority", std::int32_t{0});
    request.maxTokens = json.value("max_tokens", DefaultMaxTokens);
    request.streamed = json.value("stream", false);
    request.prompt = chainOf(request.model, json.at("messages"));
    request.promptTokens = tokensOf(request.prompt);
    return request;
}

} // namespace

std::optional<EngineRequest> readEngineRequest(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("messages") || !json.at("messages").is_array() || json.at("messages").empty()) {
        return std::nullopt;
    }
    try {
        return readMembers(json);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string generatedToken(const EngineRequest &request)
{
    const std::size_t index = request.tokens.size();
    std::uint64_t hash = chainHash(request.prompt.back().hash, std::to_string(index));
    std::string word = index == 0 ? "" : " ";
    constexpr unsigned MaxSyllables = 3;
    const unsigned syllables = 1 + hash % MaxSyllables;
    for (unsigned n = 0; n < syllables; n++) {
        hash >>= 8;
        word += Syllables[hash % Syllables.size()];
    }
    return word;
}

std::string tokenEvent(const EngineRequest &request, std::size_t index)
{
    nlohmann::json delta = {{"content", request.tokens[index]}};
    if (index == 0) {
        delta["role"] = "assistant";
    }
    auto json = chunkOf(request, {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}}});
    json["index"] = index;
    return event(json);
}

std::string endEvents(const EngineRequest &request)
{
    const auto stop = chunkOf(request, {{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}}});
    auto usage = chunkOf(request, nlohmann::json::array());
    usage["usage"] = usageOf(request);
    return event(stop) + event(usage) + "data: [DONE]\n\n";
}

nlohmann::json completionResponse(const EngineRequest &request)
{
    std::string text;
    for (const auto &it : request.tokens) {
        text += it;
    }
    const nlohmann::json message = {{"role", "assistant"}, {"content", std::move(text)}};
    return {{"id", request.name},
            {"object", "chat.completion"},
            {"model", request.model},
            {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
            {"usage", usageOf(request)}};
}

} // namespace Vanillahall
