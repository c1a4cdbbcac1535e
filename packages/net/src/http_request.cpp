#include "http_server_state.h"

#include <array>
#include <charconv>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxAddressBytes = 64; ///< Maximum length of an IP address as text.
constexpr std::string_view BearerPrefix = "Bearer ";

std::string headerText(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    // The library joins repeated headers with separators that the total length may not include, so extra space is reserved.
    std::string text(static_cast<std::size_t>(length) + MaxAddressBytes, '\0');
    const int n = lws_hdr_copy(wsi, text.data(), static_cast<int>(text.size()), token);
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> customHeaderText(lws *wsi, const std::string &field)
{
    const int length = lws_hdr_custom_length(wsi, field.c_str(), static_cast<int>(field.size()));
    if (length < 0) {
        return std::nullopt;
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int n = lws_hdr_custom_copy(wsi, text.data(), static_cast<int>(text.size()), field.c_str(), static_cast<int>(field.size()));
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
}

std::string methodOf(lws *wsi)
{
    static constexpr std::array<std::string_view, 8> Methods = {"GET", "POST", "OPTIONS", "PUT", "PATCH", "DELETE", "CONNECT", "HEAD"};
    if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_COLON_METHOD) > 0) {
        return headerText(wsi, WSI_TOKEN_HTTP_COLON_METHOD);
    }
    char *uri = nullptr;
    int length = 0;
    const int n = lws_http_get_uri_and_method(wsi, &uri, &length);
    return n >= 0 && n < static_cast<int>(Methods.size()) ? std::string(Methods[static_cast<std::size_t>(n)]) : std::string();
}

std::string queryOf(lws *wsi)
{
    std::string query;
    for (int i = 0; lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i) > 0; ++i) {
        std::string part(static_cast<std::size_t>(lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i)) + 1, '\0');
        const int n = lws_hdr_copy_fragment(wsi, part.data(), static_cast<int>(part.size()), WSI_TOKEN_HTTP_URI_ARGS, i);
        part.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        query += (i > 0 ? "&" : "") + part;
    }
    return query;
}

/** @return Value of the content-length header; std::nullopt if it is absent or not a number. */
std::optional<std::uint64_t> contentLength(lws *wsi)
{
    const std::string text = headerText(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

std::string peerOf(lws *wsi)
{
    std::array<char, MaxAddressBytes> text{};
    lws_get_peer_simple(lws_get_network_wsi(wsi), text.data(), text.size());
    return text.data();
}

HttpRequest readHead(lws *wsi, std::string_view path, const std::vector<WantedHeader> &wanted)
{
    HttpRequest request;
    request.method = methodOf(wsi);
    request.path = path;
    request.query = queryOf(wsi);
    request.peer = peerOf(wsi);
    const std::string authorization = headerText(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    if (authorization.starts_with(BearerPrefix)) {
        request.bearer = authorization.substr(BearerPrefix.size());
    }
    for (const WantedHeader &header : wanted) {
        if (header.token == WSI_TOKEN_UNKNOWN_VALUE_PART) {
            if (auto value = customHeaderText(wsi, header.field)) {
                request.headers.push_back({header.name, std::move(*value)});
            }
        } else if (lws_hdr_total_length(wsi, header.token) > 0) {
            request.headers.push_back({header.name, headerText(wsi, header.token)});
        }
    }
    return request;
}

void sendContinue(lws *wsi)
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::array<unsigned char, LWS_PRE + Continue.size()> buf{};
    std::copy(Continue.begin(), Continue.end(), buf.begin() + LWS_PRE);
    lws_write(wsi, buf.data() + LWS_PRE, Continue.size(), LWS_WRITE_HTTP_HEADERS);
}

} // namespace

int HttpServerState::onHead(lws *wsi, std::string_view path)
{
    auto exchange = std::make_unique<ServerExchange>();
    ServerExchange &it = *exchange;
    it.id = HttpExchangeId{++lastId};
    it.wsi = wsi;
    it.multiplexed = lws_get_network_wsi(wsi) != wsi;
    it.acceptsChunks = !it.multiplexed && headerText(wsi, WSI_TOKEN_HTTP).ends_with("1.1");
    it.request = readHead(wsi, path, wanted);
    it.headOnly = it.request.method == "HEAD";
    exchanges.emplace(it.id, std::move(exchange));
    lws_set_opaque_user_data(wsi, &it);
    onExchangeStarted(wsi);
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);

    const auto length = contentLength(wsi);
    const bool mayHaveBody = it.request.method == "POST" || it.request.method == "PUT" || it.request.method == "PATCH";
    it.bodyPending = length ? *length > 0 : it.multiplexed && mayHaveBody;
    if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
        it.closeAfter = true;
        respondWithError(it, HTTP_STATUS_LENGTH_REQUIRED, "bad_request", "a request body needs a content length");
        return 0;
    }
    if (!length && lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
        respondWithError(it, HTTP_STATUS_BAD_REQUEST, "bad_request", "the content length is not a number");
        return 0;
    }
    if (!it.bodyPending) {
        deliver(it);
        return 0;
    }
    it.timer = loop.startTimer(settings.bodyTimeout, [this, id = it.id] {
        onBodyTimeout(id);
    });
    if (length.value_or(0) > settings.maxBody) {
        respondWithError(it, HTTP_STATUS_REQ_ENTITY_TOO_LARGE, "too_large", "the request body is too large");
    } else if (!it.multiplexed && lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_EXPECT) > 0) {
        sendContinue(wsi);
    }
    return 0;
}

int HttpServerState::onBody(lws *wsi, std::string_view piece)
{
    ServerExchange *exchange = find(wsi);
    if (exchange == nullptr || exchange->responding) {
        return 0;
    }
    if (exchange->request.body.size() + piece.size() > settings.maxBody) {
        respondWithError(*exchange, HTTP_STATUS_REQ_ENTITY_TOO_LARGE, "too_large", "the request body is too large");
        return 0;
    }
    makeRoomForBody(piece.size());
    if (!exchange->responding) {
        exchange->request.body += piece;
        heldBodies += piece.size();
    }
    return 0;
}

int HttpServerState::onBodyEnd(lws *wsi)
{
    ServerExchange *exchange = find(wsi);
    if (exchange == nullptr || !exchange->bodyPending) {
        return 0;
    }
    exchange->bodyPending = false;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    if (!exchange->responding) {
        deliver(*exchange);
    } else {
        requestWrite(*exchange);
    }
    return 0;
}

void HttpServerState::makeRoomForBody(std::size_t bytes)
{
    while (heldBodies + bytes > settings.maxHeldBodies) {
        // Those that hold most for longest come first: a large body that stalls goes before a new small one.
        ServerExchange *victim = nullptr;
        std::uint64_t most = 0;
        for (const auto &[id, it] : exchanges) {
            const std::uint64_t weight = it->request.body.size() * (lastId - id.value + 1);
            if (!it->delivered && !it->responding && weight > most) {
                victim = it.get();
                most = weight;
            }
        }
        if (victim == nullptr) {
            return;
        }
        respondWithError(*victim, HTTP_STATUS_SERVICE_UNAVAILABLE, "overloaded", "too many request bodies are being received");
    }
}

void HttpServerState::releaseBody(ServerExchange &exchange)
{
    if (!exchange.delivered) {
        heldBodies -= exchange.request.body.size();
        std::string().swap(exchange.request.body);
    }
}

void HttpServerState::deliver(ServerExchange &exchange)
{
    heldBodies -= exchange.request.body.size();
    loop.stopTimer(exchange.timer);
    exchange.timer = TimerId();
    exchange.delivered = true;
    watchPeer(exchange);
    handlers.onRequest(exchange.id, std::move(exchange.request));
}

void HttpServerState::respondWithError(ServerExchange &exchange, std::uint32_t status, std::string_view code, std::string_view message)
{
    exchange.closeAfter = true;
    exchange.responding = true;
    exchange.ended = true;
    releaseBody(exchange);
    exchange.head.status = status;
    exchange.out = R"({"error":{"code":")";
    exchange.out += code;
    exchange.out += R"(","run":"not_run","step":"decode","peer":")";
    exchange.out += name;
    exchange.out += R"(","message":")";
    exchange.out += message;
    exchange.out += "\"}}";
    requestWrite(exchange);
}

void HttpServerState::onBodyTimeout(HttpExchangeId id)
{
    ServerExchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->timer = TimerId();
    exchange->bodyPending = false;
    if (exchange->responding) {
        closeConnection(*exchange);
    } else {
        respondWithError(*exchange, HTTP_STATUS_REQUEST_TIMEOUT, "timeout", "the request body did not arrive in time");
    }
}

void HttpServerState::onClosed(lws *wsi)
{
    ServerExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return;
    }
    const bool report = exchange->delivered;
    const HttpExchangeId id = exchange->id;
    removeExchange(*exchange);
    if (report) {
        handlers.onClosed(id);
    }
}

} // namespace Vanillahall
