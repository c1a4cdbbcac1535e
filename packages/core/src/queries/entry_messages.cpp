#include "entry_messages_func.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

constexpr std::size_t BytesPerToken = 4; ///< Assumed for estimates of token counts.

std::string assistantMessage(const std::string &text)
{
    const nlohmann::json message{{"role", "assistant"}, {"content", text}};
    constexpr int NoIndent = -1;
    return message.dump(NoIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::size_t bytesOf(const std::vector<std::string> &messages)
{
    std::size_t bytes = 0;
    for (const std::string &message : messages) {
        bytes += message.size();
    }
    return bytes;
}

std::uint32_t tokensOf(std::size_t bytes)
{
    return static_cast<std::uint32_t>((bytes + BytesPerToken - 1) / BytesPerToken);
}

/** @return Result of a model turn; null if it is a service turn or has no result. */
const CallResult *modelResult(const TurnRecord &turn)
{
    if (!std::holds_alternative<ModelInput>(turn.input) || !turn.outcome) {
        return nullptr;
    }
    return std::get_if<CallResult>(&*turn.outcome);
}

void addModelRequirements(const Program &program, const CallKey &key, const ModelInput &input, PlacementRequest &request)
{
    request.kind = PoolKind::Model;
    request.model = input.model;
    request.outputTokens = input.maxTokens;
    for (const auto &[number, turn] : program.turns) {
        const CallResult *result = number < key.turn ? modelResult(turn) : nullptr;
        if (result != nullptr) {
            request.warmServer = turn.server;
            request.warmTokens = result->promptTokens + result->completionTokens;
        }
    }
    const std::uint32_t known = request.warmTokens + tokensOf(bytesOf(input.messages));
    request.promptTokens = std::max(tokensOf(bytesOf(promptMessages(program, key, input))), known);
}

} // namespace

std::vector<std::string> promptMessages(const Program &program, const CallKey &key, const ModelInput &input)
{
    std::vector<std::string> messages;
    for (const auto &[number, turn] : program.turns) {
        const auto *earlier = std::get_if<ModelInput>(&turn.input);
        if (number >= key.turn || earlier == nullptr) {
            continue;
        }
        messages.insert(messages.end(), earlier->messages.begin(), earlier->messages.end());
        if (const CallResult *result = modelResult(turn)) {
            messages.push_back(assistantMessage(result->body));
        }
    }
    messages.insert(messages.end(), input.messages.begin(), input.messages.end());
    return messages;
}

PlacementRequest placementRequest(const Program &program, const SubmitCall &call)
{
    PlacementRequest request;
    request.key = call.key;
    if (const auto *model = std::get_if<ModelInput>(&call.input)) {
        addModelRequirements(program, call.key, *model, request);
        return request;
    }
    request.kind = PoolKind::Service;
    request.service = std::get<ServiceCall>(call.input).service;
    return request;
}

} // namespace Vanillahall
