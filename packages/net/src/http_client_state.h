/** Internal state of an HTTP client. */
#pragma once

#include "loop_state.h"
#include "vanillahall/net/http_client_base.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Vanillahall {

/** State of one request and its response. */
struct ClientExchange
{
    HttpExchangeId id;                             ///< ID of the exchange.
    lws *wsi = nullptr;                            ///< The connection, if one exists.
    HttpClientRequest request;                     ///< Request to send.
    HttpClientHandlers handlers;                   ///< Callbacks.
    HttpProgress progress = HttpProgress::NotSent; ///< Progress of the request.
    std::size_t bodySentBytes = 0;                 ///< Number of body bytes passed to the library.
    TimePoint startedAt;                           ///< Time at which HttpClient::send() was called.
    TimePoint lastActivity;                        ///< Time at which bytes were last sent or received.
    TimerId timer;                                 ///< Fires when the next timeout expires.
    bool chunked = false;                          ///< True if the response uses chunked transfer encoding.
    bool endsByClose = false;                      ///< True if the end of the response is marked by closing the connection.
};

/** Internal state of an HTTP client. */
struct HttpClientState
{
    explicit HttpClientState(Loop &loop, const std::string &authority);
    ~HttpClientState();
    HttpClientState(const HttpClientState &) = delete;
    HttpClientState &operator=(const HttpClientState &) = delete;

    void start(HttpExchangeId id);
    void armTimeout(ClientExchange &exchange);
    void onTimeout(HttpExchangeId id);
    void cancelExchange(HttpExchangeId id);
    void fail(ClientExchange &exchange, bool timedOut, std::string message);
    std::unique_ptr<ClientExchange> extractExchange(ClientExchange &exchange);
    ClientExchange *find(HttpExchangeId id);
    ClientExchange *find(lws *wsi);

    int onHandshake(lws *wsi, unsigned char **at, std::size_t room);
    int onWritable(lws *wsi);
    int onHead(lws *wsi);
    int onReadable(lws *wsi);
    char *readBufferStart();
    void onBody(lws *wsi, std::string_view piece);
    void onEnd(lws *wsi);
    void onClosed(lws *wsi, std::string_view message);

    LoopState &loop;                                                               ///< The loop.
    VhostOwner &owner;                                                             ///< Owner record of the virtual host.
    lws_vhost *vhost = nullptr;                                                    ///< The virtual host.
    std::unordered_map<HttpExchangeId, std::unique_ptr<ClientExchange>> exchanges; ///< Requests in progress.
    std::vector<std::unique_ptr<ClientExchange>> cancelled; ///< Cancelled exchanges whose handlers may still be on the stack.
    TimerId sweep;                                          ///< Timer that clears `cancelled`.
    std::uint64_t lastId = 0;                               ///< ID of the newest exchange.
    std::vector<unsigned char> scratch;                     ///< Buffer for reading and writing.
    char *readPosition = nullptr;                           ///< Read position of the library, in `scratch` or in its own buffer.
};

/** libwebsockets callback for all events of a client. */
int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len);

} // namespace Vanillahall
