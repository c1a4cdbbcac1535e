#include "vanillahall/adapters/engine_client_base.h"

#include "vanillahall/core/id_func.h"

#include "engine_client_state.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string requestBody(const std::string &requestId, const StartServerCall &action)
{
    const auto &input = std::get<ModelCall>(action.body);
    std::string text = R"({"model":)" + quoted(input.model.text) + R"(,"messages":[)";
    for (std::size_t n = 0; n < input.messages.size(); n++) {
        text += n > 0 ? "," : "";
        text += input.messages[n];
    }
    text += R"(],"max_tokens":)" + std::to_string(input.maxTokens) + R"(,"stream":true,"stream_options":{"include_usage":true})";
    text += R"(,"request_id":)" + quoted(requestId) + R"(,"priority":)" + std::to_string(action.priority);
    return text + R"(,"pin":)" + quoted(toText(action.key.program)) + "}";
}

/** @return A request whose response stream has to end within the time limit. */
HttpClientRequest streamRequest(const EngineClientSettings &settings, std::string method, const std::string &path, Duration timeLimit)
{
    HttpClientRequest request = requestTo(settings.peer, std::move(method), path);
    request.connectTimeout = std::min(settings.controlTimeout, timeLimit);
    request.inactivityTimeout = std::min(settings.idleTimeout, timeLimit);
    request.totalTimeout = timeLimit;
    return request;
}

} // namespace

EngineClient::EngineClient(HttpClient &http, EngineClientSettings settings, GateEventCallback callback)
    : m_state(std::make_unique<EngineClientState>(http, std::move(settings), std::move(callback)))
{
}

EngineClient::~EngineClient() = default;

void EngineClient::start(const StartServerCall &action)
{
    EngineCall &call = m_state->calls[action.call];
    call.program = action.key.program;
    call.startTime = Loop::now();
    call.deadline = call.startTime + action.timeLimit;
    m_state->memory.markInUse(action.key.program);
    HttpClientRequest request = streamRequest(m_state->settings, "POST", "/v1/chat/completions", action.timeLimit);
    request.body = requestBody(m_state->requestId(action.call), action);
    m_state->connect(action.call, std::move(request), 0, false);
}

void EngineClient::resume(const ResumeServerCall &action)
{
    EngineCall &call = m_state->calls[action.call];
    m_state->disconnect(call);
    call.mayHaveReachedEngine = true;
    const std::uint32_t from = std::min(action.fromToken, call.tokens);
    const Duration remaining = std::max(call.deadline - Loop::now(), m_state->settings.controlTimeout);
    const std::string path = "/v1/requests/" + m_state->requestId(action.call) + "/stream?from=" + std::to_string(from);
    m_state->connect(action.call, streamRequest(m_state->settings, "GET", path, remaining), from, true);
}

void EngineClient::cancel(const CancelServerCall &action)
{
    auto node = m_state->calls.extract(action.call);
    if (node.empty()) {
        return;
    }
    m_state->disconnect(node.mapped());
    m_state->memory.cancel(m_state->requestId(action.call), node.mapped().program);
}

void EngineClient::free(const FreeMemory &action)
{
    m_state->memory.free(action.program);
}

void EngineClient::freeAll()
{
    m_state->memory.freeAll();
}

void EngineClient::pollLoad()
{
    m_state->load.poll([this] {
        m_state->memory.repeatRequests();
    });
}

} // namespace Vanillahall
