/** HTTP/1.1 client. Each request uses its own connection; connections are not reused. */
#pragma once

#include "vanillahall/net/http_type.h"
#include "vanillahall/net/loop_base.h"

#include <functional>
#include <memory>

namespace Vanillahall {

/** Callbacks for one request, invoked on the loop. Unless the request is cancelled, exactly one of onEnd and onFailure is called, last. */
struct HttpClientHandlers
{
    std::function<void(std::uint32_t status)> onHead;   ///< The response head has been received.
    std::function<void(std::string_view piece)> onBody; ///< A piece of the body has been received.
    std::function<void()> onEnd;                        ///< The response is complete.
    std::function<void(const HttpFailure &)> onFailure; ///< The request failed.
};

struct HttpClientState;

/** Sends HTTP requests. */
class HttpClient
{
public:
    /** @pre `loop` outlives the client. */
    explicit HttpClient(Loop &loop);

    /** @param authority Path of the CA certificates used to verify TLS servers; empty for the system's CA certificates. */
    HttpClient(Loop &loop, const std::string &authority);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. No handler is called before this function returns. */
    HttpExchangeId send(HttpClientRequest request, HttpClientHandlers handlers);

    /** Cancels a request and closes its connection; none of its handlers is called afterwards. */
    void cancel(HttpExchangeId exchange);

private:
    std::unique_ptr<HttpClientState> m_state;
};

} // namespace Vanillahall
