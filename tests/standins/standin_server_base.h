/** The HTTP server of all stand-ins, with fault injection. */
#pragma once

#include "vanillahall/net/http_server_base.h"

#include "fault_injector_base.h"

#include <functional>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** HTTP server that applies injected faults to requests and responses. */
class StandinServer
{
public:
    /** Callbacks of a stand-in. */
    struct Handlers
    {
        std::function<void(HttpExchangeId, const HttpRequest &)> onRequest; ///< Processes and answers a request.
        std::function<void(HttpExchangeId)> onClosed;                       ///< The client has disconnected; may be empty.
        std::function<void(HttpExchangeId)> onCrash;                        ///< Ends the process because of an injected crash.
    };

    StandinServer(Loop &loop, const std::string &address, std::uint16_t port, std::vector<std::string> headers, Handlers handlers);

    /** Starts listening. @param reason Set on failure. @return The port, or nothing on failure. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** @return The fault that applies to this request; kind `None` if there is none. */
    [[nodiscard]] Fault faultOf(HttpExchangeId exchange) const;

    /** Answers with JSON, subject to the request's fault. */
    void answer(HttpExchangeId exchange, const nlohmann::json &body, std::uint32_t status = 200);

    /** Answers with a body that is already serialised, subject to the request's fault. */
    void answerText(HttpExchangeId exchange, std::string body, std::uint32_t status = 200);

    /** Sends the head of a stream of server-sent events. */
    void beginEvents(HttpExchangeId exchange);

    /** @return The HTTP server, to send and end streams. No faults are applied. */
    HttpServer &http();

    /** Adds a fault, as `POST /fault` does. @param json The body of that request. */
    void setFault(const std::string &json);

    /** Removes all faults, as `DELETE /fault` does. */
    void clearFaults();

    /** Replaces the crash handler, so that tests within the process survive. @param crash Gets the request that caused the crash. */
    void onCrash(std::function<void(HttpExchangeId)> crash);

    /** @return The event loop. */
    Loop &loop();

private:
    void receive(HttpExchangeId exchange, const HttpRequest &request);
    void send(HttpExchangeId exchange, HttpResponse response);
    void sendTruncated(HttpExchangeId exchange, HttpResponse response);
    void closed(HttpExchangeId exchange);

    Loop &m_loop;
    Handlers m_handlers;
    FaultInjector m_faults;
    std::unordered_map<HttpExchangeId, Fault> m_injectedFaults;
    HttpServer m_http;
};

/** @return The percent-decoded value of a query parameter; empty if it is missing. */
std::string queryValue(const std::string &query, const std::string &name);

/** @return The percent-decoded text. */
std::string percentDecode(const std::string &text);

} // namespace Vanillahall
