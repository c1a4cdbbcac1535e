/** Inside of the engine adapter. */
#pragma once

#include "vanillahall/adapters/engine_client_base.h"

#include "engine_memory_base.h"
#include "engine_stream_base.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Vanillahall {

using StreamId = Number<struct StreamTag>; ///< One connection that carries a call's stream; resuming makes another.

/** One call at the engine, kept until it has ended or was cancelled. */
struct EngineCall
{
    StreamId stream;        ///< The present connection; 0 if it is lost.
    ProgramId program;      ///< Whose memory it uses; unset if the call was not started by this object.
    bool mayRun{};          ///< True once something may have reached the engine.
    bool began{};           ///< True once ServerCallStarted was told.
    std::string text;       ///< Text so far.
    std::uint32_t tokens{}; ///< Tokens in `text`.
    TimePoint start;        ///< When it was sent.
    TimePoint firstToken;   ///< When the first token came.
    TimePoint lastToken;    ///< When the newest token came.
    TimePoint deadline;     ///< When it has to end.
};

/** One connection. */
struct EngineConnection
{
    EngineConnection(ServerCallId id, std::uint32_t firstToken)
        : call(id)
        , stream(firstToken)
    {
    }

    ServerCallId call;       ///< Which call.
    HttpExchangeId exchange; ///< For cancelling.
    bool resumed{};          ///< True if it continues an earlier connection's stream.
    std::uint32_t status{};  ///< Status code; 0 before the answer.
    std::string body;        ///< Body of an answer that is no stream.
    EngineStream stream;     ///< Decoder.
};

/** Calls and connections of one engine. */
struct EngineClientState
{
    EngineClientState(HttpClient &client, EngineClientSettings given, GateEventCallback sink);
    ~EngineClientState();
    EngineClientState(const EngineClientState &) = delete;
    EngineClientState &operator=(const EngineClientState &) = delete;

    /** Sends a request that is answered by a stream, and makes it the call's present connection. */
    void connect(ServerCallId call, HttpClientRequest request, std::uint32_t firstToken, bool resumed);

    /** Drops the call's present connection. */
    void disconnect(EngineCall &call);

    /** @return The request's name at the engine. */
    [[nodiscard]] std::string requestName(ServerCallId call) const;

    HttpClient &http;                                                            ///< Sends everything.
    EngineClientSettings settings;                                               ///< How to talk to the engine.
    GateEventCallback callback;                                                  ///< Gets every event.
    BufferedRequests requests;                                                   ///< All but streams.
    LoadPoll load;                                                               ///< Load reports.
    EngineMemory memory;                                                         ///< Cancels and releases.
    std::unordered_map<ServerCallId, EngineCall> calls;                          ///< Calls that have not ended.
    std::unordered_map<StreamId, std::unique_ptr<EngineConnection>> connections; ///< Open connections.
    StreamId lastStream;                                                         ///< Newest connection.

private:
    HttpClientHandlers handlersFor(StreamId id);
    [[nodiscard]] bool isPresent(StreamId id) const;
    void onHead(StreamId id, std::uint32_t status);
    void onBody(StreamId id, std::string_view piece);
    void onEnd(StreamId id);
    void onFailure(StreamId id, const HttpFailure &failure);
    void takeTokens(StreamId id, TokenRun &&run);
    void finish(StreamId id);
    void finishPlain(const EngineConnection &connection);
    void fail(ServerCallId number, ServerFailure failure, std::string message);
};

} // namespace Vanillahall
