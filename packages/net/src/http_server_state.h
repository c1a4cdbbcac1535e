/** Internal state of an HTTP server. */
#pragma once

#include "loop_state.h"
#include "vanillahall/net/http_server_base.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall {

/** One request and its response. */
struct ServerExchange
{
    HttpExchangeId id;        ///< Its name.
    lws *wsi = nullptr;       ///< Its connection, or its stream of an HTTP/2 connection.
    HttpRequest request;      ///< What has arrived so far.
    HttpResponse head;        ///< Status and headers to send.
    std::string out;          ///< Bytes to send after the head.
    std::size_t outSent = 0;  ///< Bytes of `out` that were handed to the library.
    TimerId timer;            ///< Limits the time to arrive, later the time to send.
    TimePoint progress;       ///< When the caller last took bytes.
    bool bodyPending = false; ///< True until the body has arrived.
    bool delivered = false;   ///< True once the handler was told.
    bool responding = false;  ///< True once `head` is set.
    bool headSent = false;    ///< True once the head was handed to the library.
    bool stream = false;      ///< True if the body comes in pieces.
    bool chunked = false;     ///< True if the body is sent in HTTP/1.1 chunks.
    bool ended = false;       ///< True once `out` holds the rest of the body.
    bool closeAfter = false;  ///< True if the connection is closed after the response.
    bool multiplexed = false; ///< True for HTTP/2.
    bool headOnly = false;    ///< True if only the head is wanted.
    bool mayChunk = false;    ///< True if the caller reads HTTP/1.1 chunks.
};

/** One network connection. */
struct AcceptedConnection
{
    TimerId timer;             ///< Closes it if no request arrives.
    std::size_t exchanges = 0; ///< Requests under way.
};

/** A request header that the handler wants. */
struct WantedHeader
{
    std::string name;                                       ///< Lower case.
    std::string field;                                      ///< With the colon.
    lws_token_indexes token = WSI_TOKEN_UNKNOWN_VALUE_PART; ///< Its index in the library, if it has one.
};

/** Internal state of an HTTP server. */
struct HttpServerState
{
    HttpServerState(Loop &loop, HttpServerSettings settings, HttpServerHandlers handlers);
    ~HttpServerState();
    HttpServerState(const HttpServerState &) = delete;
    HttpServerState &operator=(const HttpServerState &) = delete;

    // Listening.
    std::optional<std::uint16_t> listen(Error &reason);
    void stopListening();
    void acceptAll();
    bool makeVhost(Error &reason);
    bool makePeerWatch(Error &reason);

    // Callers that go away while their request is under way.
    void watchPeer(const ServerExchange &exchange);
    void unwatchPeer(const ServerExchange &exchange);
    void pauseReading(const ServerExchange &exchange, bool pause);
    void onPeersGone();

    // Connections.
    void addConnection(lws *wsi);
    void removeConnection(lws *wsi);
    void exchangeBegan(lws *wsi);
    void exchangeEnded(lws *wsi);

    // Requests.
    int onHead(lws *wsi, std::string_view path);
    int onBody(lws *wsi, std::string_view piece);
    int onBodyEnd(lws *wsi);
    void onClosed(lws *wsi);
    void deliver(ServerExchange &exchange);
    void refuse(ServerExchange &exchange, std::uint32_t status, std::string_view code, std::string_view message);
    void bodyTimedOut(HttpExchangeId id);

    // Responses.
    int onWritable(lws *wsi);
    bool sendHead(ServerExchange &exchange);
    bool sendBody(ServerExchange &exchange);
    int finish(ServerExchange &exchange);
    void append(ServerExchange &exchange, std::string &&piece);
    void wantWrite(ServerExchange &exchange);
    void watchSending(ServerExchange &exchange);
    void kill(ServerExchange &exchange);
    ServerExchange *find(HttpExchangeId id);
    ServerExchange *find(lws *wsi);
    void forget(ServerExchange &exchange);

    LoopState &loop;                                                               ///< The loop.
    HttpServerSettings settings;                                                   ///< Limits.
    HttpServerHandlers handlers;                                                   ///< Whom to tell.
    VhostOwner &owner;                                                             ///< Record of the virtual host.
    lws_vhost *vhost = nullptr;                                                    ///< The virtual host.
    lws *listener = nullptr;                                                       ///< The listening socket.
    int listenSocket = -1;                                                         ///< Its descriptor.
    int peerWatch = -1;                                                            ///< An epoll descriptor for callers that go away.
    std::string name;                                                              ///< Address and port, for errors.
    std::vector<WantedHeader> wanted;                                              ///< Headers to pass on.
    std::unordered_map<lws *, AcceptedConnection> connections;                     ///< Open connections.
    std::unordered_map<HttpExchangeId, std::unique_ptr<ServerExchange>> exchanges; ///< Requests under way.
    std::uint64_t lastId = 0;                                                      ///< Newest exchange.
    std::vector<unsigned char> scratch;                                            ///< For writing.
};

/** Callback of the library for every event of a server. */
int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len);

} // namespace Vanillahall
