/** HTTP server of all stand-ins, with fault injection. */
#pragma once

#include "vanillahall/net/http_server_base.h"

#include "fault_injector_base.h"

#include <functional>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** HTTP server that applies the enabled faults to requests and responses. */
class StandinServer
{
public:
    /** Callbacks of the stand-in. */
    struct Handlers
    {
        std::function<void(HttpExchangeId, const HttpRequest &)> onRequest; ///< Carries out a request and responds.
        std::function<void(HttpExchangeId)> onClosed;                       ///< Called when the caller has disconnected; may be empty.
        std::function<void(HttpExchangeId)> onCrash;                        ///< Exits the process.
    };

    StandinServer(Loop &loop, const std::string &address, std::uint16_t port, std::vector<std::string> headers, Handlers handlers);

    /** Starts listening. @return The port, or nothing if it failed; then `reason` is set. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** @return The fault that affects this request. */
    [[nodiscard]] Fault faultOf(HttpExchangeId exchange) const;

    /** Sends a JSON response, subject to the fault of the request. */
    void answer(HttpExchangeId exchange, const nlohmann::json &body, std::uint32_t status = 200);

    /** Sends a response body as it is, subject to the fault of the request. */
    void answerText(HttpExchangeId exchange, std::string body, std::uint32_t status = 200);

    /** Begins a stream of server-sent events. */
    void beginEvents(HttpExchangeId exchange);

    /** @return The underlying server, to continue a stream. */
    HttpServer &http();

    /** Enables a fault, as `POST /fault` does. */
    void setFault(const std::string &json);

    /** Disables all faults, as `DELETE /fault` does. */
    void clearFaults();

    /** Replaces the handler of a crash, which receives the request that caused it. */
    void onCrash(std::function<void(HttpExchangeId)> crash);

    /** @return The event loop. */
    Loop &loop();

private:
    void receive(HttpExchangeId exchange, const HttpRequest &request);
    void send(HttpExchangeId exchange, HttpResponse response);
    void sendTruncated(HttpExchangeId exchange, HttpResponse response);
    void onClosed(HttpExchangeId exchange);

    Loop &m_loop;
    Handlers m_handlers;
    FaultInjector m_faults;
    std::unordered_map<HttpExchangeId, Fault> m_pendingFaults;
    HttpServer m_http;
};

/** @return The percent-decoded value of a query parameter; empty if it is missing. */
std::string queryValue(const std::string &query, const std::string &name);

/** @return The percent-decoded text. */
std::string percentDecode(const std::string &text);

} // namespace Vanillahall
