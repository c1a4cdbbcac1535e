/** Requests whose answers are wanted whole. */
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

/** One request. */
struct BufferedRequest
{
    std::string method;              ///< Method.
    std::string path;                ///< Path and query, below the peer's prefix.
    std::string body;                ///< Body.
    std::vector<HttpHeader> headers; ///< More headers.
    Duration timeLimit{};            ///< Longest time until the end.
    std::function<void()> onBegin;   ///< Called when the answer begins; may be empty.
};

/** A whole answer. */
struct BufferedAnswer
{
    std::uint32_t status{}; ///< Status code.
    std::string body;       ///< Whole body.
};

using BufferedOutcome = std::variant<BufferedAnswer, HttpFailure>;
using BufferedRequestId = Number<struct BufferedRequestTag>; ///< One request, unique within its BufferedRequests.

/** Sends requests to one peer and gathers their answers. */
class BufferedRequests
{
public:
    using Callback = std::function<void(BufferedOutcome &&)>; ///< Called exactly once, unless cancelled.

    /** @pre `http` outlives this. */
    BufferedRequests(HttpClient &http, PlatformPeer peer);
    ~BufferedRequests(); ///< Cancels what is open.
    BufferedRequests(const BufferedRequests &) = delete;
    BufferedRequests &operator=(const BufferedRequests &) = delete;

    /** Sends a request. The callback is never called before this returns. */
    BufferedRequestId send(BufferedRequest request, Callback callback);

    /** Drops a request; its callback is not called. */
    void cancel(BufferedRequestId id);

    /** @return The peer that requests go to. */
    [[nodiscard]] const PlatformPeer &peer() const;

private:
    struct Open
    {
        HttpExchangeId exchange;
        BufferedAnswer answer;
        std::function<void()> onBegin;
        Callback callback;
    };

    HttpClientHandlers handlersFor(BufferedRequestId id);
    void begin(BufferedRequestId id, std::uint32_t status);
    void take(BufferedRequestId id, std::string_view piece);
    void end(BufferedRequestId id);
    void fail(BufferedRequestId id, const HttpFailure &failure);

    HttpClient &m_http;
    PlatformPeer m_peer;
    BufferedRequestId m_last;
    std::unordered_map<BufferedRequestId, Open> m_open;
};

/** @return A request to the peer, with its address and path prefix filled in. */
HttpClientRequest requestTo(const PlatformPeer &peer, std::string method, const std::string &path);

/** @return `text` with every byte that isn't unreserved in a URL percent-encoded. */
std::string percentEncode(std::string_view text);

} // namespace Vanillahall
