#include "engine_client_state.h"

#include "server_failure_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::size_t MaxPlainBody = std::size_t{64} * 1024; ///< Largest body of an answer that is no stream, in bytes.

/** @return True for a status by which the engine says that the request itself is wrong; trying again doesn't help. */
bool isWrongRequest(std::uint32_t status)
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
        result.prefill = call.firstToken - call.start;
        result.decode = call.lastToken - call.firstToken;
    }
    return result;
}

} // namespace

EngineClientState::EngineClientState(HttpClient &client, EngineClientSettings given, GateEventCallback sink)
    : http(client)
    , settings(std::move(given))
    , callback(std::move(sink))
    , requests(client, settings.peer)
    , load(requests, settings.controlTimeLimit, callback)
    , memory(requests, settings.controlTimeLimit, callback)
{
}

EngineClientState::~EngineClientState()
{
    for (const auto &[id, connection] : connections) {
        http.cancel(connection->exchange);
    }
}

std::string EngineClientState::requestName(ServerCallId call) const
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

bool EngineClientState::isPresent(StreamId id) const
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
    if (!isPresent(id)) {
        return;
    }
    EngineConnection &connection = *connections.at(id);
    connection.status = status;
    EngineCall &call = calls.at(connection.call);
    if (status == StatusOk && !std::exchange(call.began, true)) {
        call.mayRun = true;
        callback(ServerCallStarted{connection.call});
    }
}

void EngineClientState::onBody(StreamId id, std::string_view piece)
{
    if (!isPresent(id)) {
        return;
    }
    EngineConnection &connection = *connections.at(id);
    if (connection.status != StatusOk) {
        connection.body.append(piece.substr(0, MaxPlainBody - connection.body.size()));
        return;
    }
    const ServerCallId number = connection.call;
    TokenRun run = connection.stream.read(piece);
    const StreamState state = connection.stream.state();
    takeTokens(id, std::move(run));
    if (!isPresent(id)) {
        return;
    }
    if (state == StreamState::Done) {
        finish(id);
    } else if (state == StreamState::Failed) {
        fail(number, ServerFailure::Broken, "the engine reported a failure");
    } else if (state == StreamState::Unreadable) {
        fail(number, ServerFailure::Unreadable, "the stream can't be decoded");
    }
}

void EngineClientState::takeTokens(StreamId id, TokenRun &&run)
{
    if (run.pieces.empty()) {
        return;
    }
    const ServerCallId number = connections.at(id)->call;
    EngineCall &call = calls.at(number);
    call.lastToken = Loop::now();
    call.firstToken = call.tokens == 0 ? call.lastToken : call.firstToken;
    for (std::size_t n = call.tokens - std::min(call.tokens, run.first); n < run.pieces.size(); n++) {
        call.text += run.pieces[n];
        call.tokens++;
    }
    if (call.text.size() > settings.maxAnswer) {
        fail(number, ServerFailure::Unreadable, "the answer is too large");
        return;
    }
    callback(ServerTokensReceived{number, run.first, std::move(run.pieces)});
}

void EngineClientState::finish(StreamId id)
{
    const EngineConnection &connection = *connections.at(id);
    const ServerCallId number = connection.call;
    CallResult result = resultOf(calls.at(number), connection.stream);
    calls.erase(number);
    callback(ServerCallFinished{number, std::move(result)});
}

void EngineClientState::finishPlain(const EngineConnection &connection)
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
    const bool present = isPresent(id);
    const auto node = connections.extract(id);
    if (!present) {
        return;
    }
    const EngineConnection &connection = *node.mapped();
    if (!connection.resumed && isWrongRequest(connection.status)) {
        finishPlain(connection);
        return;
    }
    if (!connection.resumed && isRefusal(connection.status)) {
        fail(connection.call, ServerFailure::Refused, statusText(connection.status));
        return;
    }
    const bool early = connection.status == StatusOk;
    fail(connection.call, ServerFailure::Broken, early ? "the stream ended early" : statusText(connection.status));
}

void EngineClientState::onFailure(StreamId id, const HttpFailure &failure)
{
    const bool present = isPresent(id);
    const auto node = connections.extract(id);
    if (present) {
        fail(node.mapped()->call, failureOf(failure), failure.message);
    }
}

void EngineClientState::fail(ServerCallId number, ServerFailure failure, std::string message)
{
    EngineCall &call = calls.at(number);
    disconnect(call);
    const bool certain = failure == ServerFailure::NotSent || failure == ServerFailure::Refused;
    if (certain && call.mayRun) {
        failure = ServerFailure::Broken;
    } else if (certain) {
        calls.erase(number);
    } else {
        call.mayRun = true;
    }
    callback(ServerCallFailed{number, failure, std::move(message)});
}

} // namespace Vanillahall
