/** HTTP requests whose response bodies are buffered. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall {

/** An HTTP request whose response body is buffered. */
struct BufferedRequest
{
    std::string method;              ///< HTTP method.
    std::string path;                ///< Path and query, appended to the peer's path prefix.
    std::string body;                ///< Request body.
    std::vector<HttpHeader> headers; ///< Additional headers.
    Duration timeLimit{};            ///< Maximum time until the response is complete.
    std::function<void()> onHead;    ///< Called when the response head arrives; may be empty.
};

/** A complete response. */
struct BufferedAnswer
{
    std::uint32_t status{}; ///< HTTP status code.
    std::string body;       ///< Complete body.
};

using BufferedOutcome = std::variant<BufferedAnswer, HttpFailure>;
using BufferedRequestId = Number<struct BufferedRequestTag>; ///< Unique within one BufferedRequests.

/** Sends requests to one peer and buffers the responses. */
class BufferedRequests
{
public:
    using Callback = std::function<void(BufferedOutcome &&)>; ///< Called exactly once, unless cancelled.

    /** @pre `http` outlives this. */
    BufferedRequests(HttpClient &http, PlatformPeer peer);
    ~BufferedRequests(); ///< Cancels all pending requests.
    BufferedRequests(const BufferedRequests &) = delete;
    BufferedRequests &operator=(const BufferedRequests &) = delete;

    /** Sends a request. The callback is not called before this function has returned. */
    BufferedRequestId send(BufferedRequest request, Callback callback);

    /** Cancels a request; its callback is not called. */
    void cancel(BufferedRequestId id);

    /** @return The peer that requests go to. */
    [[nodiscard]] const PlatformPeer &peer() const;

private:
    struct PendingRequest
    {
        HttpExchangeId exchange;
        BufferedAnswer answer;
        std::function<void()> onHead;
        Callback callback;
    };

    HttpClientHandlers handlersFor(BufferedRequestId id);
    void begin(BufferedRequestId id, std::uint32_t status);
    void append(BufferedRequestId id, std::string_view piece);
    void end(BufferedRequestId id);
    void fail(BufferedRequestId id, const HttpFailure &failure);

    HttpClient &m_http;
    PlatformPeer m_peer;
    BufferedRequestId m_lastId;
    std::unordered_map<BufferedRequestId, PendingRequest> m_pending;
};

/** @return A request with the peer's address, TLS mode and path prefix. */
HttpClientRequest requestTo(const PlatformPeer &peer, std::string method, const std::string &path);

/** @return `text` with every byte percent-encoded that is not an unreserved character of a URL. */
std::string percentEncode(std::string_view text);

} // namespace Vanillahall
