/** HTTP requests, responses and limits. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Vanillahall {

using HttpExchangeId = Number<struct HttpExchangeTag>; ///< One request and its response, at a server or a client.

/** One header line. */
struct HttpHeader
{
    std::string name;  ///< Lower case.
    std::string value; ///< As sent.
};

/** A complete request. */
struct HttpRequest
{
    std::string method;              ///< Upper case.
    std::string path;                ///< Without the query.
    std::string query;               ///< After "?", percent-decoded.
    std::string bearer;              ///< Token of the authorization header; empty if none.
    std::vector<HttpHeader> headers; ///< Sent headers that are listed in HttpServerSettings::headers.
    std::string body;                ///< Complete body.
    std::string peer;                ///< The caller's IP address.
};

/** A complete response. */
struct HttpResponse
{
    std::uint32_t status = 200;                   ///< Status code.
    std::string contentType = "application/json"; ///< Content type.
    std::vector<HttpHeader> headers;              ///< Additional headers.
    std::string body;                             ///< Complete body.
};

/** Paths of a certificate and its key in PEM format. Empty paths disable TLS. */
struct TlsFiles
{
    std::string certificate; ///< Certificate chain.
    std::string key;         ///< Private key.
    std::string authority;   ///< CA certificates used to verify peers.
};

/** Where and how a server listens. */
struct HttpServerSettings
{
    std::string address = "127.0.0.1";                         ///< IP address to listen on.
    std::uint16_t port = 0;                                    ///< Port; 0 selects a free one.
    TlsFiles tls;                                              ///< TLS files, if TLS is used.
    std::size_t maxBody = std::size_t{4} * 1024 * 1024;        ///< Largest request body, in bytes.
    std::size_t maxHeldBodies = std::size_t{64} * 1024 * 1024; ///< Limit on all bodies that are being received, in bytes.
    std::size_t maxConnections = 4096; ///< Maximum number of open connections. Beyond it the oldest one without a request is closed.
    std::size_t maxUnsent = std::size_t{4} * 1024 * 1024; ///< A stream with more unsent bytes than this is closed. The streams of
                                                          ///< one connection may hold a quarter of maxHeldResponses if that is more.
    std::size_t maxHeldResponses = std::size_t{64} * 1024 * 1024; ///< Limit on the unsent responses of all connections, in bytes. Beyond
                                                                  ///< it, the connection that has read least for longest is closed.
    Duration bodyTimeout = std::chrono::seconds(30);              ///< Maximum time to receive a complete request.
    Duration sendTimeout = std::chrono::seconds(30);              ///< A caller that reads nothing for this long is disconnected.
    Duration idleTimeout = std::chrono::seconds(60);              ///< An idle connection is closed after this time.
    std::vector<std::string> headers;                             ///< Names of the request headers passed to the handler, lower case.
};

/** A request to send. */
struct HttpClientRequest
{
    std::string address;                                   ///< IP address.
    std::uint16_t port{};                                  ///< Port.
    bool tls{};                                            ///< True for TLS.
    std::string method = "GET";                            ///< Method.
    std::string path = "/";                                ///< Path and query.
    std::vector<HttpHeader> headers;                       ///< Additional headers.
    std::string body;                                      ///< Body; sent with content type application/json.
    Duration connectTimeout = std::chrono::seconds(2);     ///< Maximum time to connect.
    Duration inactivityTimeout = std::chrono::seconds(30); ///< Maximum time without receiving any byte of the response.
    Duration totalTimeout = std::chrono::minutes(10);      ///< Maximum time until the response is complete.
};

/** Progress of a client's request when it failed. */
enum class HttpProgress : std::uint8_t {
    NotSent,  ///< No connection was established; the server has received nothing.
    Sent,     ///< The server may have received the request.
    Answered, ///< The response head had been received.
};

/** Why a client's request failed. */
struct HttpFailure
{
    HttpProgress progress = HttpProgress::NotSent; ///< Progress of the request.
    bool timedOut{};                               ///< True if a timeout expired.
    std::string message;                           ///< Human-readable cause.
};

} // namespace Vanillahall
