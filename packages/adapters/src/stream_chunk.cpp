#include "stream_chunk_func.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

/** @return The member, or null. */
const nlohmann::json &member(const nlohmann::json &json, const char *name)
{
    static const nlohmann::json null;
    const auto it = json.is_object() ? json.find(name) : json.end();
    return it == json.end() ? null : *it;
}

std::optional<std::uint32_t> number(const nlohmann::json &json)
{
    if (!json.is_number_unsigned() || !std::in_range<std::uint32_t>(json.get<std::uint64_t>())) {
        return std::nullopt;
    }
    return json.get<std::uint32_t>();
}

StreamUsage readUsage(const nlohmann::json &json)
{
    StreamUsage usage;
    usage.promptTokens = number(member(json, "prompt_tokens")).value_or(0);
    usage.completionTokens = number(member(json, "completion_tokens")).value_or(0);
    usage.cachedTokens = number(member(member(json, "prompt_tokens_details"), "cached_tokens")).value_or(0);
    return usage;
}

void readChoice(const nlohmann::json &choice, StreamChunk &chunk)
{
    const auto &content = member(member(choice, "delta"), "content");
    if (content.is_string() && (chunk.index || !content.get_ref<const std::string &>().empty())) {
        chunk.text = content.get<std::string>();
    }
    const auto &reason = member(choice, "finish_reason");
    if (reason.is_string()) {
        chunk.finishReason = reason.get<std::string>();
    }
}

} // namespace

std::optional<StreamChunk> readChunk(std::string_view data)
{
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    StreamChunk chunk;
    chunk.failed = !member(json, "error").is_null();
    chunk.index = number(member(json, "index"));
    const auto &choices = member(json, "choices");
    if (choices.is_array() && !choices.empty()) {
        readChoice(choices.front(), chunk);
    }
    const auto &usage = member(json, "usage");
    if (usage.is_object()) {
        chunk.usage = readUsage(usage);
    }
    return chunk;
}

} // namespace Vanillahall
