#include "engine_standin_base.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t BadRequest = 400;
constexpr std::uint32_t NotFound = 404;
constexpr std::uint32_t TooManyRequests = 429;
constexpr std::size_t MaxFinishedRequests = 2000; ///< Limit of finished requests that are retained for resumption.
constexpr std::size_t TokensBeforeFault = 2;      ///< Tokens sent before an injected fault stops or cuts a stream.
constexpr std::string_view RequestsPath = "/v1/requests/";
constexpr std::string_view StreamSuffix = "/stream";
constexpr std::string_view PinsPath = "/v1/pins/";
constexpr std::string_view BlobsPath = "/v1/kv/blobs/";

} // namespace

EngineStandin::EngineStandin(Loop &loop, const std::string &address, std::uint16_t port, EngineStandinSettings settings)
    : m_settings(std::move(settings))
    , m_run(static_cast<std::uint64_t>(Loop::wallNow().time_since_epoch().count()))
    , m_models(m_settings.models.begin(), m_settings.models.end())
    , m_report(m_settings)
    , m_cache(m_settings.cacheTokens,
              [this](bool stored, const std::string &pin, std::uint64_t tokens) {
                  m_report.recordEvent(stored, pin, tokens, Loop::now());
              })
    , m_batch(
          loop,
          m_settings,
          [this](EngineRequest &it) {
              onAdmitted(it);
          },
          [this](EngineRequest &it) {
              onTokenGenerated(it);
          })
    , m_http(loop)
    , m_server(loop,
               address,
               port,
               {},
               StandinServer::Handlers{[this](HttpExchangeId exchange, const HttpRequest &request) {
                                           handle(exchange, request);
                                       },
                                       [this](HttpExchangeId exchange) {
                                           onClientDisconnected(exchange);
                                       },
                                       [](HttpExchangeId /*exchange*/) {
                                           std::_Exit(EXIT_FAILURE);
                                       }})
{
    recordLoadChange();
}

StandinServer &EngineStandin::server()
{
    return m_server;
}

std::uint64_t EngineStandin::runsOf(const std::string &name) const
{
    const auto it = m_counters.runs.find(name);
    return it == m_counters.runs.end() ? 0 : it->second;
}

std::size_t EngineStandin::running() const
{
    return m_batch.running();
}

const PrefixCache &EngineStandin::cache() const
{
    return m_cache;
}

void EngineStandin::notFound(HttpExchangeId exchange)
{
    m_server.answer(exchange, {{"error", {{"message", "not found"}}}}, NotFound);
}

void EngineStandin::handle(HttpExchangeId exchange, const HttpRequest &request)
{
    if (request.method == "GET") {
        handleGet(exchange, request);
    } else if (request.method == "POST") {
        handlePost(exchange, request);
    } else if (request.method == "DELETE") {
        handleDelete(exchange, request);
    } else {
        notFound(exchange);
    }
}

void EngineStandin::handleGet(HttpExchangeId exchange, const HttpRequest &request)
{
    if (request.path == "/v1/load") {
        m_server.answer(exchange, m_report.loadAt(Loop::now(), m_server.faultOf(exchange).kind == FaultKind::Stale));
    } else if (request.path == "/v1/pins") {
        m_server.answer(exchange, pins());
    } else if (request.path == "/v1/counters") {
        m_server.answer(exchange, counters());
    } else if (request.path == "/v1/cache/events") {
        const std::string after = queryValue(request.query, "after");
        m_server.answer(exchange, m_report.eventsAfter(std::strtoull(after.c_str(), nullptr, 10), Loop::now()));
    } else if (request.path.starts_with(RequestsPath) && request.path.ends_with(StreamSuffix)) {
        resumeRequest(exchange, request.path, request.query);
    } else if (request.path.starts_with(BlobsPath) && m_blobs.contains(request.path.substr(BlobsPath.size()))) {
        m_server.answer(exchange, m_blobs.at(request.path.substr(BlobsPath.size())));
    } else {
        notFound(exchange);
    }
}

void EngineStandin::handlePost(HttpExchangeId exchange, const HttpRequest &request)
{
    const Fault fault = m_server.faultOf(exchange);
    if (request.path == "/v1/chat/completions" && fault.kind == FaultKind::Slow) {
        m_server.loop().after(fault.time, [this, exchange, body = request.body] {
            startRequest(exchange, body);
        });
    } else if (request.path == "/v1/chat/completions") {
        startRequest(exchange, request.body);
    } else if (request.path == "/v1/orders") {
        handleOrder(exchange, request.body);
    } else if (request.path == "/v1/kv/export") {
        exportCache(exchange, request.body);
    } else if (request.path == "/v1/kv/import") {
        importCache(exchange, request.body);
    } else {
        notFound(exchange);
    }
}

void EngineStandin::handleDelete(HttpExchangeId exchange, const HttpRequest &request)
{
    if (request.path == "/v1/pins") {
        m_cache.unpinAll();
        m_server.answer(exchange, nlohmann::json::object());
    } else if (request.path.starts_with(PinsPath)) {
        const bool known = m_cache.unpin(percentDecode(request.path.substr(PinsPath.size())));
        m_server.answer(exchange, nlohmann::json::object(), known ? 200 : NotFound);
    } else if (request.path.starts_with(RequestsPath)) {
        cancelRequest(exchange, percentDecode(request.path.substr(RequestsPath.size())));
    } else {
        notFound(exchange);
    }
    recordLoadChange();
}

void EngineStandin::startRequest(HttpExchangeId exchange, const std::string &body)
{
    if (!m_settings.crashMatch.empty() && body.find(m_settings.crashMatch) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    auto request = readEngineRequest(nlohmann::json::parse(body, nullptr, false));
    if (!request) {
        m_server.answer(exchange, {{"error", {{"message", "not a chat completion"}}}}, BadRequest);
    } else if (!m_models.contains(request->model)) {
        m_server.answer(exchange, {{"error", {{"message", "no such model"}}}}, NotFound);
    } else if (m_batch.waiting() >= m_settings.maxWaiting) {
        m_server.answer(exchange, {{"error", {{"message", "queue full"}}}}, TooManyRequests);
    } else {
        if (!request->named) {
            request->name = "made-up-" + std::to_string(++m_lastName);
        }
        removeRequest(request->name);
        auto owned = std::make_unique<EngineRequest>(std::move(*request));
        EngineRequest &stored = *owned;
        m_requests[stored.name] = std::move(owned);
        stored.listeners.push_back(StreamListener{exchange, 0, {}, false});
        m_batch.add(stored);
        recordLoadChange();
    }
}

void EngineStandin::listen(EngineRequest &request, StreamListener listener)
{
    const FaultKind fault = m_server.faultOf(listener.exchange).kind;
    if (fault == FaultKind::Silent || fault == FaultKind::DropAnswer) {
        listener.stopAt = listener.next + TokensBeforeFault;
        listener.cutAtStop = fault == FaultKind::DropAnswer;
    }
    m_server.beginEvents(listener.exchange);
    request.listeners.push_back(listener);
    sendTokens(request, request.listeners.back());
}

void EngineStandin::onAdmitted(EngineRequest &request)
{
    m_counters.runs[request.name]++;
    request.cachedTokens = m_cache.match(request.prompt);
    m_counters.cachedTokens += request.cachedTokens;
    m_counters.prefillTokens += request.promptTokens - request.cachedTokens;
    m_cache.store(request.prompt);
    if (!request.pin.empty()) {
        m_cache.pin(request.pin, request.prompt);
    }
    if (request.streamed) {
        for (const auto &it : std::exchange(request.listeners, {})) {
            listen(request, it);
        }
    }
    recordLoadChange();
}

void EngineStandin::onTokenGenerated(EngineRequest &request)
{
    m_counters.decodeTokens++;
    if (request.streamed) {
        for (auto &it : request.listeners) {
            sendTokens(request, it);
        }
    }
    if (request.done) {
        completeRequest(request);
    }
}

void EngineStandin::sendTokens(EngineRequest &request, StreamListener &listener)
{
    const bool stopped = listener.stopAt.has_value() && listener.next >= *listener.stopAt;
    if (stopped) {
        return;
    }
    std::string piece;
    const std::size_t end = std::min(request.tokens.size(), listener.stopAt.value_or(request.tokens.size()));
    for (; listener.next < end; listener.next++) {
        piece += tokenEvent(request, listener.next);
    }
    const bool reachesStop = listener.stopAt.has_value() && listener.next >= *listener.stopAt;
    const bool ends = request.done && !reachesStop;
    if (ends) {
        piece += endEvents(request);
    }
    if (!piece.empty()) {
        m_server.http().sendPiece(listener.exchange, std::move(piece));
    }
    if (ends) {
        m_server.http().endStream(listener.exchange);
    } else if (reachesStop && listener.cutAtStop) {
        m_server.http().cut(listener.exchange);
    }
}

void EngineStandin::completeRequest(EngineRequest &request)
{
    const nlohmann::json completion = completionResponse(request);
    PrefixChain chain = request.prompt;
    const std::string message = completion.at("choices").at(0).at("message").dump();
    chain.push_back(PrefixLink{chainHash(chain.back().hash, message), request.tokens.size()});
    m_cache.store(chain);
    if (!request.pin.empty() && m_cache.pins().contains(request.pin)) {
        m_cache.pin(request.pin, chain);
    }
    if (!request.streamed) {
        for (const auto &it : request.listeners) {
            m_server.answer(it.exchange, completion);
        }
    }
    request.listeners.clear();
    m_finished.push_back(request.name);
    if (m_finished.size() > MaxFinishedRequests) {
        removeRequest(m_finished.front());
        m_finished.pop_front();
    }
    recordLoadChange();
}

void EngineStandin::removeRequest(const std::string &name)
{
    const auto it = m_requests.find(name);
    if (it != m_requests.end()) {
        m_batch.remove(*it->second);
        m_requests.erase(name);
    }
}

void EngineStandin::resumeRequest(HttpExchangeId exchange, const std::string &path, const std::string &query)
{
    const std::size_t length = path.size() - RequestsPath.size() - StreamSuffix.size();
    const auto it = m_requests.find(percentDecode(path.substr(RequestsPath.size(), length)));
    const std::size_t from = std::strtoull(queryValue(query, "from").c_str(), nullptr, 10);
    if (it == m_requests.end() || from > it->second->tokens.size()) {
        notFound(exchange);
        return;
    }
    listen(*it->second, StreamListener{exchange, from, {}, false});
}

void EngineStandin::cancelRequest(HttpExchangeId exchange, const std::string &name)
{
    const auto it = m_requests.find(name);
    if (it == m_requests.end()) {
        notFound(exchange);
        return;
    }
    m_counters.cancelled += it->second->done ? 0 : 1;
    for (const auto &listener : it->second->listeners) {
        m_server.http().cut(listener.exchange);
    }
    removeRequest(name);
    m_server.answer(exchange, nlohmann::json::object());
}

void EngineStandin::onClientDisconnected(HttpExchangeId exchange)
{
    for (auto &[name, request] : m_requests) {
        const std::size_t removed = std::erase_if(request->listeners, [exchange](const auto &it) {
            return it.exchange == exchange;
        });
        if (removed > 0 && !request->named && !request->done) {
            m_counters.cancelled++;
            removeRequest(std::string(name));
            return;
        }
    }
}

void EngineStandin::recordLoadChange()
{
    m_report.recordLoad(load(), Loop::now());
}

} // namespace Vanillahall
