#include "http_client_state.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace Vanillahall {

namespace {

bool addHeader(lws *wsi, const std::string &name, std::string_view value, unsigned char **at, unsigned char *end)
{
    const std::string field = name + ":";
    return lws_add_http_header_by_name(wsi,
                                       reinterpret_cast<const unsigned char *>(field.c_str()),
                                       reinterpret_cast<const unsigned char *>(value.data()),
                                       static_cast<int>(value.size()),
                                       at,
                                       end)
        == 0;
}

} // namespace

int HttpClientState::onHandshake(lws *wsi, unsigned char **at, std::size_t room)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return -1;
    }
    unsigned char *end = *at + room;
    const HttpClientRequest &request = exchange->request;
    bool ok = true;
    for (const HttpHeader &header : request.headers) {
        ok = ok && addHeader(wsi, header.name, header.value, at, end);
    }
    if (!request.body.empty()) {
        ok = ok && addHeader(wsi, "content-type", "application/json", at, end);
    }
    if (!request.body.empty() || request.method != "GET") {
        ok = ok && addHeader(wsi, "content-length", std::to_string(request.body.size()), at, end);
    }
    if (!ok) {
        return -1;
    }
    exchange->wsi = wsi;
    exchange->progress = HttpProgress::Sent;
    exchange->lastActivity = Loop::now();
    armTimeout(*exchange);
    if (!request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClientState::onWritable(lws *wsi)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return -1;
    }
    const std::string &body = exchange->request.body;
    const std::size_t rest = body.size() - exchange->bodySentBytes;
    if (rest == 0) {
        return 0;
    }
    const std::size_t n = std::min(rest, scratch.size() - LWS_PRE);
    std::memcpy(scratch.data() + LWS_PRE, body.data() + exchange->bodySentBytes, n);
    exchange->bodySentBytes += n;
    exchange->lastActivity = Loop::now();
    if (lws_write(wsi, scratch.data() + LWS_PRE, n, n == rest ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    if (n == rest) {
        lws_client_http_body_pending(wsi, 0);
    } else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClientState::onHead(lws *wsi)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return -1;
    }
    exchange->progress = HttpProgress::Answered;
    exchange->lastActivity = Loop::now();
    exchange->chunked = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
    exchange->endsByClose = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0 && !exchange->chunked;
    const std::uint32_t status = lws_http_client_http_response(wsi);
    if (exchange->handlers.onHead) {
        exchange->handlers.onHead(status);
    }
    if (status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED) {
        // Responses with these status codes have neither a body nor a content length; they end with their head.
        onEnd(wsi);
    }
    return find(wsi) == nullptr ? -1 : 0;
}

char *HttpClientState::readBufferStart()
{
    return reinterpret_cast<char *>(scratch.data() + LWS_PRE);
}

int HttpClientState::onReadable(lws *wsi)
{
    readPosition = readBufferStart();
    int n = static_cast<int>(scratch.size() - LWS_PRE);
    return lws_http_client_read(wsi, &readPosition, &n) < 0 ? -1 : 0;
}

void HttpClientState::onBody(lws *wsi, std::string_view piece)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return;
    }
    exchange->lastActivity = Loop::now();
    if (exchange->handlers.onBody) {
        exchange->handlers.onBody(piece);
    }
}

void HttpClientState::onEnd(lws *wsi)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return;
    }
    if (exchange->chunked && readPosition == readBufferStart()) {
        // The library reports end of file as the end of the response even if the last chunk is missing. Reading a chunk advances
        // `readPosition`.
        fail(*exchange, false, "the connection was closed before the last chunk");
        return;
    }
    lws_set_opaque_user_data(wsi, nullptr);
    const auto extracted = extractExchange(*exchange);
    if (extracted->handlers.onEnd) {
        extracted->handlers.onEnd();
    }
}

void HttpClientState::onClosed(lws *wsi, std::string_view message)
{
    ClientExchange *exchange = find(wsi);
    if (exchange == nullptr) {
        return;
    }
    if (exchange->progress == HttpProgress::Answered && exchange->endsByClose) {
        onEnd(wsi);
        return;
    }
    lws_set_opaque_user_data(wsi, nullptr);
    exchange->wsi = nullptr;
    fail(*exchange, false, message.empty() ? "the connection was closed" : std::string(message));
}

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len)
{
    lws_vhost *vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
    const auto *owner = vhost != nullptr ? static_cast<VhostOwner *>(lws_vhost_user(vhost)) : nullptr;
    HttpClientState *client = owner != nullptr ? owner->client : nullptr;
    if (client == nullptr) {
        return 0;
    }
    const std::string_view text(static_cast<const char *>(in), in != nullptr ? len : 0);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return client->onHandshake(wsi, static_cast<unsigned char **>(in), len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return client->onWritable(wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return client->onHead(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return client->onReadable(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        client->onBody(wsi, text);
        return client->find(wsi) == nullptr ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        client->onEnd(wsi);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        client->onClosed(wsi, text);
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        client->onClosed(wsi, {});
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

} // namespace Vanillahall
