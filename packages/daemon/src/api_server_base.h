/** The entry's side towards callers and operators: from HTTP to typed requests and back. */
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

/** What the desk asks of the rest of the process. */
struct ApiServerHandlers
{
    std::function<void(RequestId, const CustomerName &, bool stream, CallerRequest &&)> onCaller; ///< A caller asks something.
    std::function<void(RequestId)> onGone;                                                        ///< The caller has gone.
    std::function<void(RequestId, const Access &, ChangeApi &&)> onChange; ///< An operator changes the configuration.
    std::function<HttpResponse(ReadKind)> onRead;                          ///< An operator reads something.
};

/** Keeps track of open requests and in which form each is answered. */
class ApiServer
{
public:
    /** @pre `loop` and `metrics` outlive the desk. */
    ApiServer(Loop &loop, const Settings &settings, Metrics &metrics, ApiServerHandlers handlers);

    /** Starts listening. @return The port, or nothing; then `reason` says why. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** Stops accepting connections. */
    void stopListening();

    /** Passes tokens on. */
    void stream(RequestId request, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces);

    /** Gives the final answer. */
    void answer(RequestId request, const CallerAnswer &body);

    /** Gives the final answer to an operator's change. */
    void answer(RequestId request, const ConfigAnswer &body);

    /** @return Requests without a final answer. */
    [[nodiscard]] std::size_t openRequests() const;

private:
    /** The answer goes back in the system's own form. */
    struct NativeForm
    {
    };

    /** The answer goes back in the OpenAI-compatible form. */
    struct ChatForm
    {
        ChatApi api;             ///< What was asked.
        ChatStamp stamp;         ///< Names the completion.
        bool ownProgram = false; ///< True if the program was begun for this request and ends with it.
    };

    /** Nobody waits for the answer. */
    struct NoForm
    {
    };

    using AnswerForm = std::variant<NativeForm, ChatForm, NoForm>;

    /** A request without a final answer. */
    struct OpenRequest
    {
        HttpExchangeId exchange; ///< Where the answer goes.
        CustomerName customer;   ///< Who asks.
        AnswerForm form;         ///< How it is answered.
        bool begun = false;      ///< True once a stream has begun.
        TimePoint since;         ///< When it came.
    };

    void onRequest(HttpExchangeId exchange, HttpRequest &&request);
    void onClosed(HttpExchangeId exchange);
    void serve(HttpExchangeId exchange, const Access &access, ApiRequest &&api);
    void refuse(HttpExchangeId exchange, const Error &error);
    RequestId open(HttpExchangeId exchange, const std::string &customer, AnswerForm form);
    void close(RequestId request);
    void beginChat(HttpExchangeId exchange, const Access &access, ChatApi &&api);
    void submitChat(RequestId request, const CustomerName &customer, const ChatForm &form);
    void answerNative(const OpenRequest &open, const CallerAnswer &body);
    void answerChat(RequestId request, OpenRequest &open, const CallerAnswer &body);
    void endOwnProgram(const OpenRequest &open);
    bool mayServe(HttpExchangeId exchange, const Access &access, const ApiRequest &api);

    Settings m_settings;
    Metrics &m_metrics;
    ApiServerHandlers m_handlers;
    AccessTable m_access;
    HttpServer m_server;
    std::uint64_t m_nextRequest = 1;
    std::unordered_map<RequestId, OpenRequest> m_open;
    std::unordered_map<HttpExchangeId, RequestId> m_byExchange;
    std::map<CustomerName, std::uint64_t> m_perCustomer;
};

} // namespace Vanillahall
