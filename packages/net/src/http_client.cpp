#include "vanillahall/net/http_client_base.h"

#include "http_client_state.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t ScratchBytes = std::size_t{64} * 1024; ///< Maximum number of bytes read or written at once.
constexpr lws_protocols Protocols[] = {{"http-client", clientCallback, 0, 0, 0, nullptr, 0}, {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

} // namespace

HttpClientState::HttpClientState(Loop &loopOfClient, const std::string &authority)
    : loop(loopOfClient.state())
    , owner(loop.addVhostOwner())
    , scratch(LWS_PRE + ScratchBytes)
{
    owner.client = this;
    const std::string name = "client-" + std::to_string(loop.owners.size());
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = Protocols;
    info.vhost_name = name.c_str();
    info.user = &owner;
    info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    if (!authority.empty()) {
        info.client_ssl_ca_filepath = authority.c_str();
    }
    vhost = lws_create_vhost(loop.context, &info);
}

HttpClientState::~HttpClientState()
{
    owner.client = nullptr;
    loop.stopTimer(sweep);
    for (const auto &[id, exchange] : exchanges) {
        loop.stopTimer(exchange->timer);
    }
    if (vhost != nullptr) {
        lws_vhost_destroy(vhost);
    }
}

void HttpClientState::start(HttpExchangeId id)
{
    ClientExchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->timer = TimerId();
    armTimeout(*exchange);
    const HttpClientRequest &request = exchange->request;
    const std::string host = request.address + ":" + std::to_string(request.port);
    lws_client_connect_info info{};
    info.context = loop.context;
    info.vhost = vhost;
    info.address = request.address.c_str();
    info.port = request.port;
    info.path = request.path.c_str();
    info.host = host.c_str();
    info.method = request.method.c_str();
    info.alpn = "http/1.1";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (request.tls) {
        info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    }
    info.protocol = Protocols[0].name;
    info.opaque_user_data = exchange;
    lws *wsi = lws_client_connect_via_info(&info);
    exchange = find(id);
    if (exchange != nullptr && wsi == nullptr) {
        fail(*exchange, false, "the connection could not be made");
    } else if (exchange != nullptr) {
        exchange->wsi = wsi;
    }
}

void HttpClientState::armTimeout(ClientExchange &exchange)
{
    const HttpClientRequest &request = exchange.request;
    const TimePoint inactivityDeadline = exchange.progress == HttpProgress::NotSent ? exchange.startedAt + request.connectTimeout
                                                                                    : exchange.lastActivity + request.inactivityTimeout;
    const TimePoint deadline = std::min(inactivityDeadline, exchange.startedAt + request.totalTimeout);
    loop.stopTimer(exchange.timer);
    exchange.timer = loop.startTimer(deadline - Loop::now(), [this, id = exchange.id] {
        onTimeout(id);
    });
}

void HttpClientState::onTimeout(HttpExchangeId id)
{
    ClientExchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->timer = TimerId();
    const HttpClientRequest &request = exchange->request;
    const TimePoint now = Loop::now();
    if (now >= exchange->startedAt + request.totalTimeout) {
        fail(*exchange, true, "the total time limit passed");
    } else if (exchange->progress == HttpProgress::NotSent && now >= exchange->startedAt + request.connectTimeout) {
        fail(*exchange, true, "no connection within the time limit");
    } else if (exchange->progress != HttpProgress::NotSent && now >= exchange->lastActivity + request.inactivityTimeout) {
        fail(*exchange, true, "nothing came within the silence limit");
    } else {
        armTimeout(*exchange);
    }
}

std::unique_ptr<ClientExchange> HttpClientState::extractExchange(ClientExchange &exchange)
{
    loop.stopTimer(exchange.timer);
    const auto it = exchanges.find(exchange.id);
    auto extracted = std::move(it->second);
    exchanges.erase(it);
    return extracted;
}

void HttpClientState::fail(ClientExchange &exchange, bool timedOut, std::string message)
{
    const auto extracted = extractExchange(exchange);
    if (extracted->wsi != nullptr) {
        lws_set_opaque_user_data(extracted->wsi, nullptr);
        lws_set_timeout(extracted->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    if (extracted->handlers.onFailure) {
        extracted->handlers.onFailure(HttpFailure{extracted->progress, timedOut, std::move(message)});
    }
}

void HttpClientState::cancelExchange(HttpExchangeId id)
{
    ClientExchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    if (exchange->wsi != nullptr) {
        lws_set_opaque_user_data(exchange->wsi, nullptr);
        lws_set_timeout(exchange->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    // This function may be called from a handler of the exchange that it cancels, so the exchange is destroyed later.
    if (cancelled.empty()) {
        sweep = loop.startTimer(Duration::zero(), [this] {
            cancelled.clear();
        });
    }
    cancelled.push_back(extractExchange(*exchange));
}

ClientExchange *HttpClientState::find(HttpExchangeId id)
{
    const auto it = exchanges.find(id);
    return it == exchanges.end() ? nullptr : it->second.get();
}

ClientExchange *HttpClientState::find(lws *wsi)
{
    return static_cast<ClientExchange *>(lws_get_opaque_user_data(wsi));
}

HttpClient::HttpClient(Loop &loop)
    : HttpClient(loop, std::string())
{
}

HttpClient::HttpClient(Loop &loop, const std::string &authority)
    : m_state(std::make_unique<HttpClientState>(loop, authority))
{
}

HttpClient::~HttpClient() = default;

HttpExchangeId HttpClient::send(HttpClientRequest request, HttpClientHandlers handlers)
{
    auto exchange = std::make_unique<ClientExchange>();
    const HttpExchangeId id{++m_state->lastId};
    exchange->id = id;
    exchange->request = std::move(request);
    exchange->handlers = std::move(handlers);
    exchange->startedAt = Loop::now();
    exchange->lastActivity = exchange->startedAt;
    exchange->timer = m_state->loop.startTimer(Duration::zero(), [state = m_state.get(), id] {
        state->start(id);
    });
    m_state->exchanges.emplace(id, std::move(exchange));
    return id;
}

void HttpClient::cancel(HttpExchangeId exchange)
{
    m_state->cancelExchange(exchange);
}

} // namespace Vanillahall
