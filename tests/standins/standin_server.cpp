#include "standin_server_base.h"

#include <charconv>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxBody = std::size_t{256} * 1024 * 1024;   ///< Largest request, in bytes.
constexpr std::size_t MaxUnsent = std::size_t{256} * 1024 * 1024; ///< Most unsent bytes of one response.
constexpr std::uint32_t BadRequest = 400;
constexpr std::uint32_t Unavailable = 503;

HttpServerSettings serverSettings(const std::string &address, std::uint16_t port, std::vector<std::string> headers)
{
    HttpServerSettings settings;
    settings.address = address;
    settings.port = port;
    settings.maxBody = MaxBody;
    settings.maxUnsent = MaxUnsent;
    settings.headers = std::move(headers);
    return settings;
}

} // namespace

std::string percentDecode(const std::string &text)
{
    constexpr int Base = 16;
    std::string buf;
    for (std::size_t n = 0; n < text.size(); n++) {
        unsigned char byte = 0;
        const char *digits = text.data() + n + 1;
        if (text[n] == '%' && n + 2 < text.size() && std::from_chars(digits, digits + 2, byte, Base).ptr == digits + 2) {
            buf += static_cast<char>(byte);
            n += 2;
        } else {
            buf += text[n];
        }
    }
    return buf;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string part = query.substr(begin, end - begin);
        if (part.starts_with(name + "=")) {
            return percentDecode(part.substr(name.size() + 1));
        }
        begin = end + 1;
    }
    return {};
}

StandinServer::StandinServer(
    Loop &loop, const std::string &address, std::uint16_t port, std::vector<std::string> headers, Handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
    , m_http(loop,
             serverSettings(address, port, std::move(headers)),
             HttpServerHandlers{[this](HttpExchangeId exchange, HttpRequest &&request) {
                                    receive(exchange, request);
                                },
                                [this](HttpExchangeId exchange) {
                                    closed(exchange);
                                }})
{
}

std::optional<std::uint16_t> StandinServer::listen(Error &reason)
{
    return m_http.listen(reason);
}

void StandinServer::receive(HttpExchangeId exchange, const HttpRequest &request)
{
    if (const auto control = m_faults.control(request, Loop::now())) {
        m_http.respond(exchange, *control);
        return;
    }
    const Fault fault = m_faults.take(request, Loop::now());
    switch (fault.kind) {
    case FaultKind::Hang:
        return;
    case FaultKind::Reset:
        m_http.cut(exchange);
        return;
    case FaultKind::Refuse:
        m_http.respond(exchange, HttpResponse{Unavailable, "application/json", {}, R"({"error":"refused","run":"not_run"})"});
        return;
    case FaultKind::Down:
        m_http.respond(exchange, HttpResponse{Unavailable, "application/json", {}, R"({"error":"down"})"});
        return;
    case FaultKind::Crash:
        m_handlers.onCrash(exchange);
        return;
    default:
        break;
    }
    if (fault.kind != FaultKind::None) {
        m_injectedFaults.emplace(exchange, fault);
    }
    try {
        m_handlers.onRequest(exchange, request);
    } catch (const nlohmann::json::exception &) {
        m_http.respond(exchange, HttpResponse{BadRequest, "application/json", {}, R"({"error":"bad request","run":"not_run"})"});
    }
}

void StandinServer::closed(HttpExchangeId exchange)
{
    m_injectedFaults.erase(exchange);
    if (m_handlers.onClosed) {
        m_handlers.onClosed(exchange);
    }
}

Fault StandinServer::faultOf(HttpExchangeId exchange) const
{
    const auto it = m_injectedFaults.find(exchange);
    return it == m_injectedFaults.end() ? Fault{} : it->second;
}

void StandinServer::answer(HttpExchangeId exchange, const nlohmann::json &body, std::uint32_t status)
{
    answerText(exchange, body.dump(), status);
}

void StandinServer::answerText(HttpExchangeId exchange, std::string body, std::uint32_t status)
{
    send(exchange, HttpResponse{status, "application/json", {}, std::move(body)});
}

void StandinServer::send(HttpExchangeId exchange, HttpResponse response)
{
    const auto node = m_injectedFaults.extract(exchange);
    const Fault fault = node.empty() ? Fault{} : node.mapped();
    if (fault.kind == FaultKind::DropAnswer) {
        m_http.cut(exchange);
    } else if (fault.kind == FaultKind::Silent) {
        sendTruncated(exchange, std::move(response));
    } else if (fault.kind == FaultKind::Slow) {
        m_loop.after(fault.time, [this, exchange, response = std::move(response)] {
            m_http.respond(exchange, response);
        });
    } else {
        m_http.respond(exchange, std::move(response));
    }
}

void StandinServer::sendTruncated(HttpExchangeId exchange, HttpResponse response)
{
    response.body.resize(response.body.size() / 2);
    m_http.beginStream(exchange, std::move(response));
}

void StandinServer::beginEvents(HttpExchangeId exchange)
{
    m_http.beginStream(exchange, HttpResponse{200, "text/event-stream", {}, {}});
}

HttpServer &StandinServer::http()
{
    return m_http;
}

void StandinServer::clearFaults()
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/fault";
    m_faults.control(request, Loop::now());
}

void StandinServer::onCrash(std::function<void(HttpExchangeId)> crash)
{
    m_handlers.onCrash = std::move(crash);
}

void StandinServer::setFault(const std::string &json)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/fault";
    request.body = json;
    m_faults.control(request, Loop::now());
}

Loop &StandinServer::loop()
{
    return m_loop;
}

} // namespace Vanillahall
