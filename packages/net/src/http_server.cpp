#include "vanillahall/net/http_server_base.h"

#include "http_server_state.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t ScratchBytes = LWS_PRE + std::size_t{80} * 1024; ///< Buffer size for a response head and a piece of the body.

std::vector<WantedHeader> resolveHeaders(const std::vector<std::string> &names)
{
    std::vector<WantedHeader> wanted;
    for (const std::string &name : names) {
        WantedHeader header{name, name + ":"};
        for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
            const auto token = static_cast<lws_token_indexes>(i);
            const auto *text = reinterpret_cast<const char *>(lws_token_to_string(token));
            if (text != nullptr && header.field == text) {
                header.token = token;
            }
        }
        wanted.push_back(std::move(header));
    }
    return wanted;
}

} // namespace

int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len)
{
    lws_vhost *vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
    const auto *owner = vhost != nullptr ? static_cast<VhostOwner *>(lws_vhost_user(vhost)) : nullptr;
    HttpServerState *server = owner != nullptr ? owner->server : nullptr;
    if (server == nullptr) {
        return reason == LWS_CALLBACK_HTTP ? -1 : lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    const std::string_view text(static_cast<const char *>(in), in != nullptr ? len : 0);
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        if (wsi == server->listener) {
            server->acceptAll();
        } else {
            server->onPeersDisconnected();
        }
        return 0;
    case LWS_CALLBACK_HTTP:
        return server->onHead(wsi, text);
    case LWS_CALLBACK_HTTP_BODY:
        return server->onBody(wsi, text);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server->onBodyEnd(wsi);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server->onWritable(wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
        server->onClosed(wsi);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        server->onClosed(wsi);
        server->removeConnection(wsi);
        return 0;
    default:
        return 0;
    }
}

HttpServerState::HttpServerState(Loop &loopOfServer, HttpServerSettings settingsOfServer, HttpServerHandlers handlersOfServer)
    : loop(loopOfServer.state())
    , settings(std::move(settingsOfServer))
    , handlers(std::move(handlersOfServer))
    , owner(loop.addVhostOwner())
    , wanted(resolveHeaders(settings.headers))
    , scratch(ScratchBytes)
{
    owner.server = this;
}

HttpServerState::~HttpServerState()
{
    owner.server = nullptr;
    for (const auto &[id, exchange] : exchanges) {
        loop.stopTimer(exchange->timer);
    }
    for (const auto &[wsi, connection] : connections) {
        loop.stopTimer(connection.timer);
    }
    if (vhost != nullptr) {
        lws_vhost_destroy(vhost);
    }
}

HttpServer::HttpServer(Loop &loop, HttpServerSettings settings, HttpServerHandlers handlers)
    : m_state(std::make_unique<HttpServerState>(loop, std::move(settings), std::move(handlers)))
{
}

HttpServer::~HttpServer() = default;

std::optional<std::uint16_t> HttpServer::listen(Error &reason)
{
    return m_state->listen(reason);
}

void HttpServer::stopListening()
{
    m_state->stopListening();
}

void HttpServer::respond(HttpExchangeId exchange, HttpResponse response)
{
    ServerExchange *it = m_state->find(exchange);
    if (it == nullptr || it->responding) {
        return;
    }
    it->out = std::move(response.body);
    it->head = std::move(response);
    it->responding = true;
    it->ended = true;
    m_state->requestWrite(*it);
}

void HttpServer::beginStream(HttpExchangeId exchange, HttpResponse response)
{
    ServerExchange *it = m_state->find(exchange);
    if (it == nullptr || it->responding) {
        return;
    }
    std::string first = std::move(response.body);
    it->head = std::move(response);
    it->responding = true;
    it->stream = true;
    it->chunked = it->acceptsChunks;
    it->closeAfter = it->closeAfter || (!it->multiplexed && !it->chunked);
    m_state->append(*it, std::move(first));
    m_state->requestWrite(*it);
}

void HttpServer::sendPiece(HttpExchangeId exchange, std::string piece)
{
    ServerExchange *it = m_state->find(exchange);
    if (it == nullptr || !it->stream || it->ended) {
        return;
    }
    m_state->append(*it, std::move(piece));
    m_state->requestWrite(*it);
}

void HttpServer::endStream(HttpExchangeId exchange)
{
    ServerExchange *it = m_state->find(exchange);
    if (it == nullptr || !it->stream || it->ended) {
        return;
    }
    if (it->chunked && !it->headOnly) {
        it->out += "0\r\n\r\n";
    }
    it->ended = true;
    m_state->requestWrite(*it);
}

void HttpServer::abort(HttpExchangeId exchange)
{
    if (ServerExchange *it = m_state->find(exchange)) {
        lws *wsi = it->wsi;
        m_state->removeExchange(*it);
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

std::size_t HttpServer::openExchanges() const
{
    return m_state->exchanges.size();
}

std::size_t HttpServer::unsentBytes() const
{
    return m_state->unsentBytes;
}

std::uint64_t HttpServer::closedReaders() const
{
    return m_state->closedReaders;
}

} // namespace Vanillahall
