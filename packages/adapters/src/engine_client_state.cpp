#include "engine_client_state.h"

#include "server_failure_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::size_t MaxErrorBodyBytes
    = std::size_t{64} * 1024; ///< Maximum size of the stored body of a response whose status is not 200.

/** @return True for a status that reports an invalid request, so that a retry would fail as well. */
bool isClientError(std::uint32_t status)
{
    constexpr std::uint32_t First = 400;
    constexpr std::uint32_t Last = 499;
    return status >= First && status <= Last && !isRefusal(status);
}

CallResult resultOf(const EngineCall &call, const EngineStream &stream)
{
    const StreamUsage &usage = stream.usage();
    CallResult result;
    result.status = StatusOk;
    result.body = call.text;
    result.finishReason = stream.finishReason();
    result.promptTokens = usage.promptTokens;
    result.cachedTokens = usage.cachedTokens;
    result.completionTokens = std::max(usage.completionTokens, call.tokens);
    if (call.tokens > 0) {
        result.prefill = call.firstTokenTime - call.startTime;
        result.decode = call.lastTokenTime - call.firstTokenTime;
    }
    return result;
}

} // namespace

EngineClientState::EngineClientState(HttpClient &client, EngineClientSettings clientSettings, GateEventCallback eventCallback)
    : http(client)
    , settings(std::move(clientSettings))
    , callback(std::move(eventCallback))
    , requests(client, settings.peer)
    , load(requests, settings.controlTimeout, callback)
    , memory(requests, settings.controlTimeout, callback)
{
}

EngineClientState::~EngineClientState()
{
    for (const auto &[id, connection] : connections) {
        http.cancel(connection->exchange);
    }
}

std::string EngineClientState::requestId(ServerCallId call) const
{
    return std::to_string(settings.incarnation.value) + "-" + std::to_string(call.value);
}

void EngineClientState::connect(ServerCallId call, HttpClientRequest request, std::uint32_t firstToken, bool resumed)
{
    const StreamId id{++lastStream.value};
    auto connection = std::make_unique<EngineConnection>(call, firstToken);
    connection->resumed = resumed;
    connection->exchange = http.send(std::move(request), handlersFor(id));
    connections.emplace(id, std::move(connection));
    calls[call].stream = id;
}

void EngineClientState::disconnect(EngineCall &call)
{
    const auto node = connections.extract(std::exchange(call.stream, StreamId{}));
    if (!node.empty()) {
        http.cancel(node.mapped()->exchange);
    }
}

HttpClientHandlers EngineClientState::handlersFor(StreamId id)
{
    HttpClientHandlers handlers;
    handlers.onHead = [this, id](std::uint32_t status) {
        onHead(id, status);
    };
    handlers.onBody = [this, id](std::string_view piece) {
        onBody(id, piece);
    };
    handlers.onEnd = [this, id] {
        onEnd(id);
    };
    handlers.onFailure = [this, id](const HttpFailure &failure) {
        onFailure(id, failure);
    };
    return handlers;
}

bool EngineClientState::isCurrent(StreamId id) const
{
    const auto connection = connections.find(id);
    if (connection == connections.end()) {
        return false;
    }
    const auto call = calls.find(connection->second->call);
    return call != calls.end() && call->second.stream == id;
}

void EngineClientState::onHead(StreamId id, std::uint32_t status)
{
    if (!isCurrent(id)) {
        return;
    }
    EngineConnection &connection = *connections.at(id);
    connection.status = status;
    EngineCall &call = calls.at(connection.call);
    if (status == StatusOk && !std::exchange(call.startReported, true)) {
        call.mayHaveReachedEngine = true;
        callback(ServerCallStarted{connection.call});
    }
}

void EngineClientState::onBody(StreamId id, std::string_view piece)
{
    if (!isCurrent(id)) {
        return;
    }
    EngineConnection &connection = *connections.at(id);
    if (connection.status != StatusOk) {
        connection.body.append(piece.substr(0, MaxErrorBodyBytes - connection.body.size()));
        return;
    }
    const ServerCallId callId = connection.call;
    TokenRun run = connection.stream.read(piece);
    const StreamState state = connection.stream.state();
    handleTokens(id, std::move(run));
    if (!isCurrent(id)) {
        return;
    }
    if (state == StreamState::Done) {
        finish(id);
    } else if (state == StreamState::Failed) {
        fail(callId, ServerFailure::Broken, "the engine reported a failure");
    } else if (state == StreamState::Unreadable) {
        fail(callId, ServerFailure::Unreadable, "the stream can't be decoded");
    }
}

void EngineClientState::handleTokens(StreamId id, TokenRun &&run)
{
    if (run.pieces.empty()) {
        return;
    }
    const ServerCallId callId = connections.at(id)->call;
    EngineCall &call = calls.at(callId);
    call.lastTokenTime = Loop::now();
    call.firstTokenTime = call.tokens == 0 ? call.lastTokenTime : call.firstTokenTime;
    for (std::size_t n = call.tokens - std::min(call.tokens, run.first); n < run.pieces.size(); n++) {
        call.text += run.pieces[n];
        call.tokens++;
    }
    if (call.text.size() > settings.maxAnswerBytes) {
        fail(callId, ServerFailure::Unreadable, "the answer is too large");
        return;
    }
    callback(ServerTokensReceived{callId, run.first, std::move(run.pieces)});
}

void EngineClientState::finish(StreamId id)
{
    const EngineConnection &connection = *connections.at(id);
    const ServerCallId callId = connection.call;
    CallResult result = resultOf(calls.at(callId), connection.stream);
    calls.erase(callId);
    callback(ServerCallFinished{callId, std::move(result)});
}

void EngineClientState::finishWithErrorStatus(const EngineConnection &connection)
{
    calls.erase(connection.call);
    CallResult result;
    result.status = connection.status;
    result.body = connection.body;
    result.finishReason = "error";
    callback(ServerCallFinished{connection.call, std::move(result)});
}

void EngineClientState::onEnd(StreamId id)
{
    const bool current = isCurrent(id);
    const auto node = connections.extract(id);
    if (!current) {
        return;
    }
    const EngineConnection &connection = *node.mapped();
    if (!connection.resumed && isClientError(connection.status)) {
        finishWithErrorStatus(connection);
        return;
    }
    if (!connection.resumed && isRefusal(connection.status)) {
        fail(connection.call, ServerFailure::Refused, statusText(connection.status));
        return;
    }
    const bool endedEarly = connection.status == StatusOk;
    fail(connection.call, ServerFailure::Broken, endedEarly ? "the stream ended early" : statusText(connection.status));
}

void EngineClientState::onFailure(StreamId id, const HttpFailure &failure)
{
    const bool current = isCurrent(id);
    const auto node = connections.extract(id);
    if (current) {
        fail(node.mapped()->call, toServerFailure(failure), failure.message);
    }
}

void EngineClientState::fail(ServerCallId callId, ServerFailure failure, std::string message)
{
    EngineCall &call = calls.at(callId);
    disconnect(call);
    const bool certainlyNotRun = failure == ServerFailure::NotSent || failure == ServerFailure::Refused;
    if (certainlyNotRun && call.mayHaveReachedEngine) {
        failure = ServerFailure::Broken;
    } else if (certainlyNotRun) {
        calls.erase(callId);
    } else {
        call.mayHaveReachedEngine = true;
    }
    callback(ServerCallFailed{callId, failure, std::move(message)});
}

} // namespace Vanillahall
