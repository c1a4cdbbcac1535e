/** HTTP API of the entry: translates between HTTP and typed requests of callers and operators. */
#pragma once

#include "access_base.h"
#include "api_func.h"
#include "settings_type.h"
#include "vanillahall/core/metrics_base.h"

#include "vanillahall/core/caller_type.h"
#include "vanillahall/net/http_server_base.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>

namespace Vanillahall {

/** Handlers that the rest of the process provides. */
struct ApiServerHandlers
{
    std::function<void(RequestId, const CustomerName &, bool stream, CallerRequest &&)> onCaller; ///< A caller sent a request.
    std::function<void(RequestId)> onDisconnected;                               ///< The caller disconnected before the response.
    std::function<void(RequestId, const Access &, ChangeApi &&)> onConfigChange; ///< An operator requested a configuration change.
    std::function<HttpResponse(ReadKind)> onRead; ///< An operator requested a resource; returns the response.
};

/** Authenticates and decodes requests, tracks open ones, and encodes each response in the format of its API. */
class ApiServer
{
public:
    /** @pre `loop` and `metrics` outlive the server. */
    ApiServer(Loop &loop, const Settings &settings, Metrics &metrics, ApiServerHandlers handlers);

    /** Starts listening. @return The port, or nothing on error; then `reason` is set. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** Stops accepting connections. */
    void stopListening();

    /** Streams tokens to the caller; the first call sends the response head. @param firstToken Index of the first token. */
    void stream(RequestId request, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces);

    /** Sends the final response to a caller's request. */
    void answer(RequestId request, const CallerAnswer &body);

    /** Sends the final response to an operator's configuration change. */
    void answer(RequestId request, const ConfigAnswer &body);

    /** @return Number of requests without a final response. */
    [[nodiscard]] std::size_t openRequests() const;

    /** @return Bytes of responses that the clients haven't received yet. */
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    /** Respond in the format of the native API. */
    struct NativeForm
    {
    };

    /** Respond in the format of the OpenAI-compatible API. */
    struct ChatForm
    {
        ChatApi api;                     ///< The request.
        ChatCompletionInfo completion;   ///< Metadata of the completion.
        bool isTemporaryProgram = false; ///< True if the program was created for this request and ends with it.
    };

    /** No client waits for the response; it is discarded. */
    struct DiscardForm
    {
    };

    using AnswerForm = std::variant<NativeForm, ChatForm, DiscardForm>;

    /** A request without a final response. */
    struct OpenRequest
    {
        HttpExchangeId exchange;    ///< HTTP exchange to respond on.
        CustomerName customer;      ///< Customer, or the operator's name.
        AnswerForm form;            ///< Format of the response.
        bool streamStarted = false; ///< True once the head of a streamed response was sent.
        TimePoint receivedAt;       ///< Time of arrival.
    };

    void onRequest(HttpExchangeId exchange, HttpRequest &&request);
    void onClosed(HttpExchangeId exchange);
    /** Counts and logs the connections that were closed because their responses weren't read. */
    void reportClosedReaders();
    void serve(HttpExchangeId exchange, const Access &access, ApiRequest &&api);
    void refuse(HttpExchangeId exchange, const Error &error);
    RequestId open(HttpExchangeId exchange, const std::string &customer, AnswerForm form);
    void close(RequestId request);
    void startChat(HttpExchangeId exchange, const Access &access, ChatApi &&api);
    void submitChat(RequestId request, const CustomerName &customer, const ChatForm &form);
    void answerNative(const OpenRequest &open, const CallerAnswer &body);
    void answerChat(RequestId request, OpenRequest &open, const CallerAnswer &body);
    void endTemporaryProgram(const OpenRequest &open);
    bool authorize(HttpExchangeId exchange, const Access &access, const ApiRequest &api);

    Settings m_settings;
    Metrics &m_metrics;
    ApiServerHandlers m_handlers;
    AccessTable m_access;
    HttpServer m_server;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_countedReaders = 0;         ///< Closed connections in the metrics.
    std::uint64_t m_loggedReaders = 0;          ///< Closed connections in the log.
    std::optional<TimePoint> m_readersLoggedAt; ///< When they were last logged.
    std::unordered_map<RequestId, OpenRequest> m_open;
    std::unordered_map<HttpExchangeId, RequestId> m_byExchange;
    std::map<CustomerName, std::uint64_t> m_perCustomer;
};

} // namespace Vanillahall
