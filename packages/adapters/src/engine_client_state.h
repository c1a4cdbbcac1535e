/** Implementation of EngineClient: calls and the connections that carry their streams. */
#pragma once

#include "vanillahall/adapters/engine_client_base.h"

#include "engine_memory_base.h"
#include "engine_stream_base.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Vanillahall {

using StreamId = Number<struct StreamTag>; ///< Identifies a connection of a call's stream; resuming the call opens another one.

/** A call at the engine, until it has ended or was cancelled. */
struct EngineCall
{
    StreamId stream;             ///< The current connection; 0 if there is none.
    ProgramId program;           ///< Program whose engine memory it uses; unset if this object did not start the call.
    bool mayHaveReachedEngine{}; ///< True once the engine may have received a request of this call.
    bool startReported{};        ///< True once ServerCallStarted was reported.
    std::string text;            ///< Text generated so far.
    std::uint32_t tokens{};      ///< Tokens in `text`.
    TimePoint startTime;         ///< Time at which it was sent.
    TimePoint firstTokenTime;    ///< Time at which the first token arrived.
    TimePoint lastTokenTime;     ///< Time at which the most recent token arrived.
    TimePoint deadline;          ///< Time by which it has to end.
};

/** A connection of a call. */
struct EngineConnection
{
    EngineConnection(ServerCallId id, std::uint32_t firstToken)
        : call(id)
        , stream(firstToken)
    {
    }

    ServerCallId call;       ///< Call that it belongs to.
    HttpExchangeId exchange; ///< HTTP exchange, to cancel it.
    bool resumed{};          ///< True if it continues the stream of an earlier connection.
    std::uint32_t status{};  ///< HTTP status code; 0 before the response head has arrived.
    std::string body;        ///< Response body if the status is not 200.
    EngineStream stream;     ///< Decoder of the stream.
};

/** Calls and connections of one engine. */
struct EngineClientState
{
    EngineClientState(HttpClient &client, EngineClientSettings clientSettings, GateEventCallback eventCallback);
    ~EngineClientState();
    EngineClientState(const EngineClientState &) = delete;
    EngineClientState &operator=(const EngineClientState &) = delete;

    /** Sends a request whose response is a stream, on a new connection that becomes the call's current one. */
    void connect(ServerCallId call, HttpClientRequest request, std::uint32_t firstToken, bool resumed);

    /** Closes the call's current connection. */
    void disconnect(EngineCall &call);

    /** @return The id of the call's request at the engine. */
    [[nodiscard]] std::string requestId(ServerCallId call) const;

    HttpClient &http;                                                            ///< HTTP client of all requests.
    EngineClientSettings settings;                                               ///< Settings of the client.
    GateEventCallback callback;                                                  ///< Receives every event.
    BufferedRequests requests;                                                   ///< Requests other than streams.
    LoadPoller load;                                                             ///< Load reports.
    EngineMemory memory;                                                         ///< Cancels of calls and releases of memory.
    std::unordered_map<ServerCallId, EngineCall> calls;                          ///< Calls that have not ended.
    std::unordered_map<StreamId, std::unique_ptr<EngineConnection>> connections; ///< Open connections.
    StreamId lastStream;                                                         ///< Id of the most recent connection.

private:
    HttpClientHandlers handlersFor(StreamId id);
    [[nodiscard]] bool isCurrent(StreamId id) const;
    void onHead(StreamId id, std::uint32_t status);
    void onBody(StreamId id, std::string_view piece);
    void onEnd(StreamId id);
    void onFailure(StreamId id, const HttpFailure &failure);
    void handleTokens(StreamId id, TokenRun &&run);
    void finish(StreamId id);
    void finishWithErrorStatus(const EngineConnection &connection);
    void fail(ServerCallId callId, ServerFailure failure, std::string message);
};

} // namespace Vanillahall
