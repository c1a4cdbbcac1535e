#include "operator_listener.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "request_explanation_func.h"
#include "request_reader.h"

#include <nlohmann/json.hpp>

namespace Vanillahall::Forward {

namespace {

using Json = nlohmann::json;

/** A request head of 16 KB and its JSON escapes fit into a body. */
constexpr MessageLimits OperatorLimits{4, std::size_t{64} * 1024, std::size_t{128} * 1024};
constexpr Duration LineInterval = std::chrono::seconds(10); ///< Interval between log lines; the counter counts everything.
constexpr std::string_view Bearer = "Bearer ";

/** Request to explain, as the operator has given it. */
struct DescribedRequest
{
    std::string head;        ///< Request line and header fields.
    std::size_t bodyBytes{}; ///< Size of the body.
};

/** @return True if a text stays within its line. */
bool isOneLine(const std::string &text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

/** @return Field of an object; nothing if it is no text of one line. */
std::optional<std::string> textField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || !isOneLine(found->get_ref<const std::string &>())) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

/** @return The request; nothing if the description isn't valid. Nothing of it appears in messages, since it may contain API keys. */
std::optional<DescribedRequest> readDescription(const std::string &body)
{
    const auto object = Json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto method = textField(object, "method");
    const auto host = textField(object, "host");
    const auto path = textField(object, "path");
    const auto headers = object.value("headers", Json::array());
    const auto size = object.value("body_bytes", Json(0U));
    if (!method || !host || !path || !headers.is_array() || !size.is_number_unsigned()) {
        return std::nullopt;
    }
    DescribedRequest request{*method + ' ' + *path + " HTTP/1.1\r\nHost: " + *host + "\r\n", size.get<std::size_t>()};
    for (const auto &it : headers) {
        const bool isPair = it.is_array() && it.size() == 2 && it[0].is_string() && it[1].is_string();
        if (!isPair || !isOneLine(it[0].get_ref<const std::string &>()) || !isOneLine(it[1].get_ref<const std::string &>())) {
            return std::nullopt;
        }
        request.head += it[0].get<std::string>() + ": " + it[1].get<std::string>() + "\r\n";
    }
    if (request.bodyBytes != 0) {
        request.head += "Content-Length: " + std::to_string(request.bodyBytes) + "\r\n";
    }
    request.head += "\r\n";
    return request;
}

} // namespace

bool isOperatorRequest(const MessageRequest &request, const OperatorTokenCheck &check, std::string &reason)
{
    if (request.isFromLoopback) {
        return true;
    }
    if (!check || !request.authorization.starts_with(Bearer)) {
        reason = "no token";
        return false;
    }
    Error ec;
    const bool isKnown = check(request.authorization.substr(Bearer.size()), ec);
    reason = isKnown || !ec.message.empty() ? ec.message : "unknown token";
    return isKnown;
}

OperatorListener::OperatorListener(ProxyState &proxy)
    : m_proxy(proxy)
    , m_server(
          proxy.loop,
          [this](const MessageRequest &request, const MessageServer::Reply &reply) {
              answer(request, reply);
          },
          OperatorLimits)
{
}

bool OperatorListener::listen(Error &reason)
{
    const auto &address = m_proxy.settings.operatorListen;
    return !address || m_server.listen(*address, reason);
}

void OperatorListener::close()
{
    m_server.close();
}

std::uint16_t OperatorListener::port() const
{
    return m_server.port();
}

std::size_t OperatorListener::closedConnections() const
{
    return m_server.closedConnections();
}

bool OperatorListener::isAllowed(const MessageRequest &request)
{
    std::string reason;
    const bool isAllowed = isOperatorRequest(request, m_proxy.settings.isOperatorToken, reason);
    if (!reason.empty()) {
        logFault(isAllowed ? EventNumber::SettingsFault : EventNumber::OperatorRefused, reason);
    }
    return isAllowed;
}

void OperatorListener::logFault(EventNumber event, const std::string &reason)
{
    if (m_loggedAt && now() - *m_loggedAt < LineInterval) {
        m_omitted++;
        return;
    }
    m_loggedAt = now();
    m_proxy.log(LogLevel::Warning, event, "why=\"" + reason + "\" omitted=" + std::to_string(std::exchange(m_omitted, 0)));
}

void OperatorListener::answer(const MessageRequest &request, const MessageServer::Reply &reply)
{
    if (!isAllowed(request)) {
        reply(reject(StatusUnauthorized, "unauthorized", "expected a loopback address or the token of an operator"));
    } else if (request.method != "POST" || request.target != WherePath) {
        reply(reject(StatusNotFound, "not_found", "expected POST /where"));
    } else {
        reply(explain(request.body));
    }
}

MessageReply OperatorListener::reject(unsigned status, std::string_view code, std::string_view message)
{
    m_proxy.metrics.count("vanillahall_operator_requests_total", {"outcome", std::string(code)});
    return {status, "application/json", Json{{"error", {{"code", code}, {"message", message}}}}.dump()};
}

MessageReply OperatorListener::explain(const std::string &body)
{
    auto request = readDescription(body);
    if (!request) {
        return reject(StatusBadRequest,
                      "bad_description",
                      "expected an object with method, host and path, and perhaps headers (list of [name, value]) and body_bytes; "
                      "no line ends in texts");
    }
    const auto &limits = m_proxy.limits();
    RequestReader reader;
    auto progress = reader.read(request->head, limits, now());
    if (progress == RequestReader::Progress::NeedMore && reader.hasHead()) {
        std::string zeros(request->bodyBytes, '\0');
        progress = reader.read(zeros, limits, now());
    }
    if (progress != RequestReader::Progress::Complete) {
        const bool isInvalid = progress == RequestReader::Progress::Invalid;
        // Messages of the reader name the rule, not the content.
        return reject(StatusBadRequest,
                      "request_refused",
                      isInvalid ? "clients get status " + std::to_string(reader.error().status) + ": " + reader.error().message
                                : "the header fields describe a body of another size than body_bytes");
    }
    m_proxy.metrics.count("vanillahall_operator_requests_total", {"outcome", "explained"});
    const auto exchange = std::make_shared<Exchange>(m_proxy, nullptr, reader.takeRequest());
    return {StatusOk, "application/json", toJson(exchange->explain())};
}

} // namespace Vanillahall::Forward
