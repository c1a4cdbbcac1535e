/** HTTP/1.1 and HTTP/2 server. */
#pragma once

#include "vanillahall/net/http_type.h"
#include "vanillahall/net/loop_base.h"

#include <functional>
#include <memory>
#include <optional>

namespace Vanillahall {

/** Callbacks of a server, invoked on the loop. */
struct HttpServerHandlers
{
    std::function<void(HttpExchangeId, HttpRequest &&)> onRequest; ///< A complete request has been received.
    std::function<void(HttpExchangeId)> onClosed;                  ///< The caller disconnected before its response was complete.
};

struct HttpServerState;

/** HTTP server. Requests that exceed a limit are rejected by the server itself with a JSON error body, or their connection is closed. */
class HttpServer
{
public:
    /** @pre `loop` outlives the server. */
    HttpServer(Loop &loop, HttpServerSettings settings, HttpServerHandlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts listening. @return The port; std::nullopt on failure, with the cause in `reason`. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** Stops accepting connections; open connections are not affected. */
    void stopListening();

    /** Sends a complete response. Unknown exchanges are ignored. */
    void respond(HttpExchangeId exchange, HttpResponse response);

    /** Starts a streamed response; `response.body` is the first piece of its body. */
    void beginStream(HttpExchangeId exchange, HttpResponse response);

    /** Sends a piece of a streamed body. */
    void sendPiece(HttpExchangeId exchange, std::string piece);

    /** Ends a streamed body. */
    void endStream(HttpExchangeId exchange);

    /** Closes the connection without a response. onClosed is not called. */
    void abort(HttpExchangeId exchange);

    /** @return Number of requests whose response is not complete. */
    [[nodiscard]] std::size_t openExchanges() const;

    /** @return Bytes of responses that the callers haven't received yet. */
    [[nodiscard]] std::size_t unsentBytes() const;

    /** @return Number of connections that were closed so far because their responses weren't read. */
    [[nodiscard]] std::uint64_t closedReaders() const;

private:
    std::unique_ptr<HttpServerState> m_state;
};

} // namespace Vanillahall
