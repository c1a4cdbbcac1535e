#include "stream_chunk_func.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

/** @return The member, or null. */
const nlohmann::json &memberOrNull(const nlohmann::json &json, const char *name)
{
    static const nlohmann::json null;
    const auto it = json.is_object() ? json.find(name) : json.end();
    return it == json.end() ? null : *it;
}

std::optional<std::uint32_t> toUint32(const nlohmann::json &json)
{
    if (!json.is_number_unsigned() || !std::in_range<std::uint32_t>(json.get<std::uint64_t>())) {
        return std::nullopt;
    }
    return json.get<std::uint32_t>();
}

StreamUsage readUsage(const nlohmann::json &json)
{
    StreamUsage usage;
    usage.promptTokens = toUint32(memberOrNull(json, "prompt_tokens")).value_or(0);
    usage.completionTokens = toUint32(memberOrNull(json, "completion_tokens")).value_or(0);
    usage.cachedTokens = toUint32(memberOrNull(memberOrNull(json, "prompt_tokens_details"), "cached_tokens")).value_or(0);
    return usage;
}

void readChoice(const nlohmann::json &choice, StreamChunk &chunk)
{
    const auto &content = memberOrNull(memberOrNull(choice, "delta"), "content");
    if (content.is_string() && (chunk.index || !content.get_ref<const std::string &>().empty())) {
        chunk.text = content.get<std::string>();
    }
    const auto &reason = memberOrNull(choice, "finish_reason");
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
    chunk.failed = !memberOrNull(json, "error").is_null();
    chunk.index = toUint32(memberOrNull(json, "index"));
    const auto &choices = memberOrNull(json, "choices");
    if (choices.is_array() && !choices.empty()) {
        readChoice(choices.front(), chunk);
    }
    const auto &usage = memberOrNull(json, "usage");
    if (usage.is_object()) {
        chunk.usage = readUsage(usage);
    }
    return chunk;
}

} // namespace Vanillahall
