#include "engine_standin_base.h"

#include <charconv>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t BadRequest = 400;
constexpr std::uint32_t NotFound = 404;
constexpr std::uint32_t Conflict = 409;
constexpr std::uint32_t BadGateway = 502;

nlohmann::json chainToJson(const PrefixChain &chain)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &it : chain) {
        list.push_back({{"hash", it.hash}, {"tokens", it.tokens}});
    }
    return list;
}

PrefixChain chainFromJson(const nlohmann::json &list)
{
    PrefixChain chain;
    for (const auto &it : list) {
        chain.push_back(PrefixLink{it.at("hash").get<std::uint64_t>(), it.at("tokens").get<std::uint64_t>()});
    }
    return chain;
}

} // namespace

void EngineStandin::handleOrder(HttpExchangeId exchange, const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    const auto fence = json.at("fence").get<std::uint64_t>();
    const auto kind = json.at("kind").get<std::string>();
    const auto model = json.at("model").get<std::string>();
    if (m_settings.fencing && fence < m_fence) {
        m_server.answer(exchange, {{"fence", m_fence}}, Conflict);
        return;
    }
    m_fence = std::max(m_fence, fence);
    if (kind == "unload_model") {
        m_models.erase(model);
        recordLoadChange();
        m_server.answer(exchange, nlohmann::json::object());
    } else if (kind == "load_model") {
        m_server.loop().after(m_settings.modelLoad, [this, exchange, model] {
            m_models.insert(model);
            recordLoadChange();
            m_server.answer(exchange, nlohmann::json::object());
        });
    } else {
        m_server.answer(exchange, {{"error", "unknown kind of order"}}, BadRequest);
    }
}

void EngineStandin::exportCache(HttpExchangeId exchange, const std::string &body)
{
    const auto pin = nlohmann::json::parse(body).at("pin").get<std::string>();
    const auto it = m_cache.pins().find(pin);
    if (it == m_cache.pins().end()) {
        notFound(exchange);
        return;
    }
    const std::string blob = std::to_string(m_run) + "-" + std::to_string(m_blobs.size());
    m_blobs[blob] = {{"pin", pin}, {"chain", chainToJson(it->second)}};
    m_server.answer(exchange, {{"blob_id", blob}, {"tokens", tokensOf(it->second)}});
}

void EngineStandin::importCache(HttpExchangeId exchange, const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    const auto from = json.at("from").get<std::string>();
    const std::size_t colon = std::min(from.rfind(':'), from.size());
    HttpClientRequest request;
    request.address = from.substr(0, colon);
    std::from_chars(from.data() + std::min(colon + 1, from.size()), from.data() + from.size(), request.port);
    request.path = "/v1/kv/blobs/" + json.at("blob_id").get<std::string>();
    const auto text = std::make_shared<std::string>(); // Shared by the handlers of one request, which the client stores separately.
    HttpClientHandlers handlers;
    handlers.onHead = [](std::uint32_t /*status*/) {};
    handlers.onBody = [text](std::string_view piece) {
        text->append(piece);
    };
    handlers.onEnd = [this, exchange, text] {
        storeImport(exchange, *text);
    };
    handlers.onFailure = [this, exchange](const HttpFailure &failure) {
        m_server.answer(exchange, {{"error", failure.message}}, BadGateway);
    };
    m_http.send(std::move(request), std::move(handlers));
}

void EngineStandin::storeImport(HttpExchangeId exchange, const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("chain")) {
        m_server.answer(exchange, {{"error", "no such blob"}}, NotFound);
        return;
    }
    const PrefixChain chain = chainFromJson(json.at("chain"));
    const std::uint64_t tokens = tokensOf(chain);
    const Duration transfer = m_settings.transferPerToken * static_cast<std::int64_t>(tokens);
    m_server.loop().after(transfer, [this, exchange, chain, tokens, pin = json.at("pin").get<std::string>()] {
        m_cache.store(chain);
        m_cache.pin(pin, chain);
        m_counters.importedTokens += tokens;
        recordLoadChange();
        m_server.answer(exchange, {{"tokens", tokens}});
    });
}

nlohmann::json EngineStandin::load() const
{
    return {{"run", m_run},
            {"running", m_batch.running()},
            {"waiting", m_batch.waiting()},
            {"slots", m_settings.slots},
            {"cache_tokens", m_cache.used()},
            {"cache_capacity", m_cache.capacity()},
            {"models", m_models}};
}

nlohmann::json EngineStandin::pins() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[pin, chain] : m_cache.pins()) {
        list.push_back({{"pin", pin}, {"tokens", tokensOf(chain)}});
    }
    return {{"pins", std::move(list)}};
}

nlohmann::json EngineStandin::counters() const
{
    return {{"runs", m_counters.runs},
            {"prefill_tokens", m_counters.prefillTokens},
            {"cached_tokens", m_counters.cachedTokens},
            {"decode_tokens", m_counters.decodeTokens},
            {"imported_tokens", m_counters.importedTokens},
            {"cancelled", m_counters.cancelled}};
}

} // namespace Vanillahall
