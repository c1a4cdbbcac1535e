#include "api_server_base.h"

#include "log_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr Duration AccessRefreshInterval = std::chrono::seconds(1);
constexpr Duration ReaderLogInterval = std::chrono::seconds(10); ///< Interval between log lines about closed connections.
constexpr Duration OverloadRetryAfter = std::chrono::seconds(1);
constexpr const char *EventStream = "text/event-stream";
constexpr std::uint64_t TemporaryProgramTokens = 10'000'000;
constexpr std::uint32_t TemporaryProgramCalls = 1;
constexpr std::chrono::hours TemporaryProgramTime{1};

HttpServerSettings serverSettings(const Settings &settings)
{
    HttpServerSettings server;
    server.address = settings.entryListen.address;
    server.port = settings.entryListen.port;
    server.tls = settings.entryTls;
    server.maxBody = settings.maxBodyBytes;
    server.maxConnections = settings.maxConnections;
    server.maxHeldResponses = settings.maxUnsentBytes;
    server.headers = {ProgramHeader, TurnHeader, ClassHeader, IfMatchHeader, IdempotencyHeader};
    return server;
}

HttpResponse streamHead()
{
    HttpResponse response;
    response.contentType = EventStream;
    response.headers.push_back({"cache-control", "no-cache"});
    return response;
}

std::string outcomeText(const CallerAnswer &body)
{
    const Error *error = std::get_if<Error>(&body);
    if (const auto *call = std::get_if<CallAnswered>(&body)) {
        error = std::get_if<Error>(&call->outcome);
    }
    return error != nullptr ? std::string(toText(error->code)) : "ok";
}

} // namespace

ApiServer::ApiServer(Loop &loop, const Settings &settings, Metrics &metrics, ApiServerHandlers handlers)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_access(settings.tokensFile)
    , m_server(loop,
               serverSettings(settings),
               {[this](HttpExchangeId exchange, HttpRequest &&request) {
                    onRequest(exchange, std::move(request));
                },
                [this](HttpExchangeId exchange) {
                    onClosed(exchange);
                }})
{
    loop.every(AccessRefreshInterval, [this] {
        Error reason;
        if (!m_access.refresh(reason)) {
            writeLog(LogLevel::Warning, EventNumber::SettingsFault, reason.peer, reason.message);
        }
        reportClosedReaders();
    });
}

std::optional<std::uint16_t> ApiServer::listen(Error &reason)
{
    if (!m_access.refresh(reason)) {
        return std::nullopt;
    }
    return m_server.listen(reason);
}

void ApiServer::stopListening()
{
    m_server.stopListening();
}

void ApiServer::reportClosedReaders()
{
    const auto closed = m_server.closedReaders();
    if (closed != m_countedReaders) {
        m_metrics.count("vanillahall_clients_closed_total", {"reason", "unread"}, closed - std::exchange(m_countedReaders, closed));
    }
    const bool isTooEarly = m_readersLoggedAt && Loop::now() - *m_readersLoggedAt < ReaderLogInterval;
    if (closed == m_loggedReaders || isTooEarly) {
        return;
    }
    m_readersLoggedAt = Loop::now();
    writeLog(LogLevel::Warning,
             EventNumber::ClientsClosed,
             "clients",
             "reason=unread clients=" + std::to_string(closed - std::exchange(m_loggedReaders, closed))
                 + " bytes_held=" + std::to_string(m_server.unsentBytes()));
}

std::size_t ApiServer::unsentBytes() const
{
    return m_server.unsentBytes();
}

std::size_t ApiServer::openRequests() const
{
    return m_open.size();
}

void ApiServer::refuse(HttpExchangeId exchange, const Error &error)
{
    m_metrics.count("vanillahall_requests_total", {"outcome", std::string(toText(error.code))});
    writeLog(LogLevel::Info, EventNumber::RequestRefused, error.peer, toText(error));
    m_server.respond(exchange, encodeError(error));
}

void ApiServer::onRequest(HttpExchangeId exchange, HttpRequest &&request)
{
    Error reason;
    const auto access = m_access.find(request.bearer);
    if (!access) {
        refuse(exchange,
               notRun(ErrorCode::Unauthorized, Step::Authenticate, m_settings.name, "expected a bearer token that is known here"));
        return;
    }
    auto api = decodeApi(request, ClassName{m_settings.defaultClass}, reason);
    if (!api) {
        refuse(exchange, reason);
        return;
    }
    if (authorize(exchange, *access, *api)) {
        serve(exchange, *access, std::move(*api));
    }
}

bool ApiServer::authorize(HttpExchangeId exchange, const Access &access, const ApiRequest &api)
{
    if (isOperatorApi(api) != (access.role == AccessRole::Operator)) {
        refuse(exchange, notRun(ErrorCode::Forbidden, Step::Authenticate, m_settings.name, "this token doesn't allow it"));
        return false;
    }
    const auto it = m_perCustomer.find(CustomerName{access.name});
    if (access.role == AccessRole::Caller && it != m_perCustomer.end() && it->second >= m_settings.maxRequestsPerCustomer) {
        Error error = notRun(ErrorCode::Overloaded, Step::Admit, m_settings.name, "too many open requests of this customer");
        error.retryAfter = OverloadRetryAfter;
        refuse(exchange, error);
        return false;
    }
    return true;
}

void ApiServer::serve(HttpExchangeId exchange, const Access &access, ApiRequest &&api)
{
    if (auto *caller = std::get_if<CallerApi>(&api)) {
        const RequestId request = open(exchange, access.name, NativeForm{});
        m_handlers.onCaller(request, CustomerName{access.name}, caller->stream, std::move(caller->body));
    } else if (auto *chat = std::get_if<ChatApi>(&api)) {
        startChat(exchange, access, std::move(*chat));
    } else if (auto *change = std::get_if<ChangeApi>(&api)) {
        const RequestId request = open(exchange, access.name, NativeForm{});
        m_handlers.onConfigChange(request, access, std::move(*change));
    } else if (const auto *settle = std::get_if<SettleApi>(&api)) {
        const RequestId request = open(exchange, access.name, NativeForm{});
        m_handlers.onCaller(request, CustomerName{}, false, SettleOutcome{settle->key, settle->ran, access.name});
    } else if (const auto *inspect = std::get_if<InspectApi>(&api)) {
        const RequestId request = open(exchange, access.name, NativeForm{});
        m_handlers.onCaller(request, CustomerName{}, false, HistoryQuery{inspect->program});
    } else {
        m_server.respond(exchange, m_handlers.onRead(std::get<ReadApi>(api).kind));
    }
}

RequestId ApiServer::open(HttpExchangeId exchange, const std::string &customer, AnswerForm form)
{
    const RequestId request{m_nextRequest++};
    m_open.emplace(request, OpenRequest{exchange, CustomerName{customer}, std::move(form), false, Loop::now()});
    m_byExchange[exchange] = request;
    m_perCustomer[CustomerName{customer}]++;
    return request;
}

void ApiServer::close(RequestId request)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    const auto perCustomer = m_perCustomer.find(it->second.customer);
    if (--perCustomer->second == 0) {
        m_perCustomer.erase(perCustomer);
    }
    m_byExchange.erase(it->second.exchange);
    m_open.erase(it);
}

void ApiServer::onClosed(HttpExchangeId exchange)
{
    const auto it = m_byExchange.find(exchange);
    if (it == m_byExchange.end()) {
        return;
    }
    const RequestId request = it->second;
    m_handlers.onDisconnected(request);
    const OpenRequest closed = m_open.at(request);
    close(request);
    endTemporaryProgram(closed);
}

void ApiServer::startChat(HttpExchangeId exchange, const Access &access, ChatApi &&api)
{
    ChatForm form;
    form.completion.model = api.input.model;
    form.completion.createdAt = Loop::wallNow();
    form.api = std::move(api);
    const CustomerName customer{access.name};
    if (form.api.key) {
        form.completion.key = *form.api.key;
        const RequestId request = open(exchange, access.name, form);
        submitChat(request, customer, form);
        return;
    }
    CreateProgram create;
    create.className = form.api.className;
    create.budget = Budget{TemporaryProgramTokens, TemporaryProgramCalls, TemporaryProgramTime};
    form.isTemporaryProgram = true;
    const RequestId request = open(exchange, access.name, std::move(form));
    m_handlers.onCaller(request, customer, false, create);
}

void ApiServer::submitChat(RequestId request, const CustomerName &customer, const ChatForm &form)
{
    SubmitCall submit;
    submit.key = form.completion.key;
    submit.input = form.api.input;
    submit.content = inputHash(form.api.input);
    m_handlers.onCaller(request, customer, form.api.stream, std::move(submit));
}

void ApiServer::endTemporaryProgram(const OpenRequest &open)
{
    const auto *chat = std::get_if<ChatForm>(&open.form);
    if (chat == nullptr || !chat->isTemporaryProgram || chat->completion.key.turn.value == 0) {
        return;
    }
    const RequestId request = this->open(HttpExchangeId{}, open.customer.text, DiscardForm{});
    m_handlers.onCaller(request, open.customer, false, EndCommand{chat->completion.key.program});
}

void ApiServer::stream(RequestId request, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    OpenRequest &open = it->second;
    if (!open.streamStarted) {
        open.streamStarted = true;
        m_metrics.observe("vanillahall_first_token_seconds", {"customer", open.customer.text}, Loop::now() - open.receivedAt);
        m_server.beginStream(open.exchange, streamHead());
    }
    if (const auto *chat = std::get_if<ChatForm>(&open.form)) {
        m_server.sendPiece(open.exchange, encodeChatPieces(chat->completion, pieces));
    } else {
        m_server.sendPiece(open.exchange, encodeTokens(key, firstToken, pieces));
    }
}

void ApiServer::answer(RequestId request, const CallerAnswer &body)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    if (std::holds_alternative<ChatForm>(it->second.form)) {
        answerChat(request, it->second, body);
        return;
    }
    m_metrics.count("vanillahall_requests_total", {"outcome", outcomeText(body)});
    const OpenRequest open = it->second;
    close(request);
    if (std::holds_alternative<NativeForm>(open.form)) {
        answerNative(open, body);
    }
}

void ApiServer::answerNative(const OpenRequest &open, const CallerAnswer &body)
{
    m_metrics.observe("vanillahall_request_seconds", {"customer", open.customer.text}, Loop::now() - open.receivedAt);
    if (!open.streamStarted) {
        m_server.respond(open.exchange, encodeAnswer(body));
        return;
    }
    m_server.sendPiece(open.exchange, encodeLastEvent(body));
    m_server.endStream(open.exchange);
}

void ApiServer::answerChat(RequestId request, OpenRequest &open, const CallerAnswer &body)
{
    auto &chat = std::get<ChatForm>(open.form);
    if (const auto *created = std::get_if<ProgramAccepted>(&body)) {
        chat.completion.key = CallKey{created->program, Turn{1}};
        submitChat(request, CustomerName(open.customer), ChatForm(chat));
        return;
    }
    m_metrics.count("vanillahall_requests_total", {"outcome", outcomeText(body)});
    const OpenRequest closed = open;
    close(request);
    const auto &form = std::get<ChatForm>(closed.form);
    const auto *call = std::get_if<CallAnswered>(&body);
    const auto *result = call != nullptr ? std::get_if<CallResult>(&call->outcome) : nullptr;
    if (result != nullptr && form.api.stream) {
        if (!closed.streamStarted) {
            m_server.beginStream(closed.exchange, streamHead());
            m_server.sendPiece(closed.exchange, encodeChatPieces(form.completion, {result->body}));
        }
        m_server.sendPiece(closed.exchange, encodeChatEnd(form.completion, *result, form.api.includeUsage));
        m_server.endStream(closed.exchange);
    } else if (result != nullptr) {
        m_server.respond(closed.exchange, encodeChat(form.completion, *result));
    } else if (closed.streamStarted) {
        const Error *error = call != nullptr ? std::get_if<Error>(&call->outcome) : std::get_if<Error>(&body);
        m_server.sendPiece(closed.exchange, encodeChatError(error != nullptr ? *error : Error()));
        m_server.endStream(closed.exchange);
    } else {
        m_server.respond(closed.exchange, encodeAnswer(body));
    }
    endTemporaryProgram(closed);
}

void ApiServer::answer(RequestId request, const ConfigAnswer &body)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    const HttpExchangeId exchange = it->second.exchange;
    close(request);
    m_server.respond(exchange, encodeAnswer(body));
}

} // namespace Vanillahall
