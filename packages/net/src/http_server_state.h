/** Internal state of an HTTP server. */
#pragma once

#include "loop_state.h"
#include "vanillahall/net/http_server_base.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall {

inline constexpr std::size_t MaxWriteBytes = std::size_t{64} * 1024; ///< Maximum number of bytes passed to the library at once.

/** State of one request and its response. */
struct ServerExchange
{
    HttpExchangeId id;            ///< ID of the exchange.
    lws *wsi = nullptr;           ///< The connection, or the stream of an HTTP/2 connection.
    HttpRequest request;          ///< Request received so far.
    HttpResponse head;            ///< Status and headers to send.
    std::string out;              ///< Body bytes to send after the head.
    std::size_t outSentBytes = 0; ///< Number of bytes of `out` passed to the library.
    std::size_t heldBytes = 0;    ///< Bytes that are counted as unsent.
    TimerId timer;                ///< Timer for bodyTimeout, later for sendTimeout.
    TimePoint lastProgress;       ///< Time at which bytes of the response were last passed to the library.
    bool bodyPending = false;     ///< True until the body has been received.
    bool delivered = false;       ///< True once onRequest has been called.
    bool responding = false;      ///< True once `head` is set.
    bool headSent = false;        ///< True once the head has been passed to the library.
    bool stream = false;          ///< True if the response body is streamed.
    bool chunked = false;         ///< True if the body is sent with chunked transfer encoding.
    bool ended = false;           ///< True once `out` contains the remainder of the body.
    bool closeAfter = false;      ///< True if the connection is closed after the response.
    bool multiplexed = false;     ///< True for HTTP/2.
    bool headOnly = false;        ///< True for a HEAD request.
    bool acceptsChunks = false;   ///< True if the caller supports chunked transfer encoding.
    bool isDropped = false;       ///< True once the rest of the response was discarded; the connection is about to be closed.
};

/** One network connection. */
struct AcceptedConnection
{
    TimerId timer;               ///< Closes the connection if no request is received in time.
    std::size_t exchanges = 0;   ///< Number of requests in progress.
    std::size_t unsentBytes = 0; ///< Bytes of its responses that aren't sent.
    std::uint64_t number = 0;    ///< Grows with each accepted connection.
    bool isClosing = false;      ///< True once the connection was closed to accept another one.
};

/** A request header that is passed to the handler. */
struct WantedHeader
{
    std::string name;                                       ///< Lower case.
    std::string field;                                      ///< Name with a trailing colon.
    lws_token_indexes token = WSI_TOKEN_UNKNOWN_VALUE_PART; ///< Index of the header in the library, if it has one.
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
    bool createPeerEpoll(Error &reason);

    // Detection of callers that disconnect while their request is in progress.
    void watchPeer(const ServerExchange &exchange);
    void unwatchPeer(const ServerExchange &exchange);
    void pauseReading(const ServerExchange &exchange, bool pause);
    void onPeersDisconnected();

    // Connections.
    void addConnection(lws *wsi);
    void removeConnection(lws *wsi);
    /** Closes the oldest connection without a request. @return False if all have one. */
    bool closeIdleConnection();
    void onExchangeStarted(lws *wsi);
    void onExchangeEnded(lws *wsi);

    // Requests.
    int onHead(lws *wsi, std::string_view path);
    int onBody(lws *wsi, std::string_view piece);
    int onBodyEnd(lws *wsi);
    void onClosed(lws *wsi);
    /** Refuses requests that hold much for long, possibly the one that needs it, until `bytes` more fit. */
    void makeRoomForBody(std::size_t bytes);
    void releaseBody(ServerExchange &exchange);
    void deliver(ServerExchange &exchange);
    void respondWithError(ServerExchange &exchange, std::uint32_t status, std::string_view code, std::string_view message);
    void onBodyTimeout(HttpExchangeId id);

    // Responses.
    int onWritable(lws *wsi);
    bool sendHead(ServerExchange &exchange);
    bool sendBody(ServerExchange &exchange);
    int finish(ServerExchange &exchange);
    void append(ServerExchange &exchange, std::string &&piece);
    void requestWrite(ServerExchange &exchange);
    void armSendTimeout(ServerExchange &exchange);
    void closeConnection(ServerExchange &exchange);

    // Unsent responses.
    /** Counts what is held for a response at present. */
    void updateUnsent(ServerExchange &exchange);
    void setUnsent(ServerExchange &exchange, std::size_t bytes);
    /** Closes connections whose responses exceed the limits. @param newest Response that was added to. */
    void boundUnsent(const ServerExchange &newest);
    /** @return The connection that has read least for longest, or null if only one response is held. */
    [[nodiscard]] lws *slowestReader() const;
    /** Discards the responses of a connection and closes it. */
    void closeReader(lws *connection);
    ServerExchange *find(HttpExchangeId id);
    ServerExchange *find(lws *wsi);
    void removeExchange(ServerExchange &exchange);

    LoopState &loop;                                                               ///< The loop.
    HttpServerSettings settings;                                                   ///< Settings.
    HttpServerHandlers handlers;                                                   ///< Callbacks.
    VhostOwner &owner;                                                             ///< Owner record of the virtual host.
    lws_vhost *vhost = nullptr;                                                    ///< The virtual host.
    lws *listener = nullptr;                                                       ///< The listening socket.
    int listenSocket = -1;                                                         ///< Descriptor of the listening socket.
    int peerEpoll = -1;                                                            ///< epoll descriptor that reports disconnected callers.
    std::string name;                                                              ///< Address and port, used in error messages.
    std::vector<WantedHeader> wanted;                                              ///< Headers passed to the handler.
    std::unordered_map<lws *, AcceptedConnection> connections;                     ///< Open connections.
    std::unordered_map<HttpExchangeId, std::unique_ptr<ServerExchange>> exchanges; ///< Requests in progress.
    std::size_t heldBodies = 0;                                                    ///< Bytes of the bodies that are being received.
    std::size_t unsentBytes = 0;                                                   ///< Bytes of responses that aren't sent.
    std::uint64_t closedReaders = 0;                                               ///< Connections closed by boundUnsent().
    std::uint64_t lastConnection = 0;                                              ///< Number of the newest connection.
    std::size_t closingConnections = 0;                                            ///< Connections with isClosing.
    std::uint64_t lastId = 0;                                                      ///< ID of the newest exchange.
    std::vector<unsigned char> scratch;                                            ///< Buffer for writing.
};

/** libwebsockets callback for all events of a server. */
int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len);

} // namespace Vanillahall
