#include "buffered_request_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{256} * 1024 * 1024; ///< Maximum size of a response body.
constexpr Duration ConnectTimeout = std::chrono::seconds(2);           ///< Maximum time to establish a connection.

bool isUnreserved(char it)
{
    const bool letter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
    const bool digit = it >= '0' && it <= '9';
    return letter || digit || it == '-' || it == '.' || it == '_' || it == '~';
}

} // namespace

std::string percentEncode(std::string_view text)
{
    static constexpr char HexDigits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char it : text) {
        if (isUnreserved(it)) {
            encoded += it;
            continue;
        }
        const auto byte = static_cast<unsigned char>(it);
        encoded += '%';
        encoded += HexDigits[byte >> 4];
        encoded += HexDigits[byte & 0xf];
    }
    return encoded;
}

HttpClientRequest requestTo(const PlatformPeer &peer, std::string method, const std::string &path)
{
    HttpClientRequest request;
    request.address = peer.address;
    request.port = peer.port;
    request.tls = peer.tls;
    request.method = std::move(method);
    request.path = peer.pathPrefix + path;
    return request;
}

BufferedRequests::BufferedRequests(HttpClient &http, PlatformPeer peer)
    : m_http(http)
    , m_peer(std::move(peer))
{
}

BufferedRequests::~BufferedRequests()
{
    for (const auto &[id, pending] : m_pending) {
        m_http.cancel(pending.exchange);
    }
}

BufferedRequestId BufferedRequests::send(BufferedRequest request, Callback callback)
{
    HttpClientRequest http = requestTo(m_peer, std::move(request.method), request.path);
    http.headers = std::move(request.headers);
    http.body = std::move(request.body);
    http.connectTimeout = std::min(ConnectTimeout, request.timeLimit);
    http.inactivityTimeout = request.timeLimit;
    http.totalTimeout = request.timeLimit;
    const BufferedRequestId id{++m_lastId.value};
    const HttpExchangeId exchange = m_http.send(std::move(http), handlersFor(id));
    m_pending.emplace(id, PendingRequest{exchange, {}, std::move(request.onHead), std::move(callback)});
    return id;
}

void BufferedRequests::cancel(BufferedRequestId id)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    m_http.cancel(it->second.exchange);
    m_pending.erase(it);
}

const PlatformPeer &BufferedRequests::peer() const
{
    return m_peer;
}

HttpClientHandlers BufferedRequests::handlersFor(BufferedRequestId id)
{
    HttpClientHandlers handlers;
    handlers.onHead = [this, id](std::uint32_t status) {
        begin(id, status);
    };
    handlers.onBody = [this, id](std::string_view piece) {
        append(id, piece);
    };
    handlers.onEnd = [this, id] {
        end(id);
    };
    handlers.onFailure = [this, id](const HttpFailure &failure) {
        fail(id, failure);
    };
    return handlers;
}

void BufferedRequests::begin(BufferedRequestId id, std::uint32_t status)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    it->second.answer.status = status;
    const auto onHead = std::exchange(it->second.onHead, {});
    if (onHead) {
        onHead();
    }
}

void BufferedRequests::append(BufferedRequestId id, std::string_view piece)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    std::string &body = it->second.answer.body;
    if (piece.size() > MaxAnswerBytes - body.size()) {
        m_http.cancel(it->second.exchange);
        fail(id, HttpFailure{HttpProgress::Answered, false, "the answer is too large"});
        return;
    }
    body += piece;
}

void BufferedRequests::end(BufferedRequestId id)
{
    auto node = m_pending.extract(id);
    if (!node.empty()) {
        node.mapped().callback(std::move(node.mapped().answer));
    }
}

void BufferedRequests::fail(BufferedRequestId id, const HttpFailure &failure)
{
    auto node = m_pending.extract(id);
    if (!node.empty()) {
        node.mapped().callback(failure);
    }
}

} // namespace Vanillahall
