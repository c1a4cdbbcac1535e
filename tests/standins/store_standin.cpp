#include "store_standin_base.h"

#include <cstdlib>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t BadRequest = 400;
constexpr std::uint32_t NotFound = 404;
constexpr std::uint32_t Conflict = 409;
constexpr std::size_t DefaultLimit = 100; ///< Most rows of a scan without a limit.
constexpr std::string_view RowsPath = "/v1/rows/";
constexpr std::string_view ObjectsPath = "/v1/objects/";

bool isTransaction(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return false;
    }
    for (const char *name : {"conditions", "puts", "removes"}) {
        if (!json.contains(name) || !json.at(name).is_array()) {
            return false;
        }
    }
    return true;
}

} // namespace

StoreStandin::StoreStandin(Loop &loop, const std::string &address, std::uint16_t port)
    : m_server(loop,
               address,
               port,
               {},
               StandinServer::Handlers{[this](HttpExchangeId exchange, const HttpRequest &request) {
                                           handle(exchange, request);
                                       },
                                       {},
                                       [](HttpExchangeId /*exchange*/) {
                                           std::_Exit(EXIT_FAILURE);
                                       }})
{
}

StandinServer &StoreStandin::server()
{
    return m_server;
}

void StoreStandin::handle(HttpExchangeId exchange, const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/v1/tx") {
        commit(exchange, request.body);
    } else if (request.method == "GET" && request.path == "/v1/rows") {
        scan(exchange, request.query);
    } else if (request.method == "GET" && request.path.starts_with(RowsPath)) {
        read(exchange, percentDecode(request.path.substr(RowsPath.size())));
    } else if (request.path.starts_with(ObjectsPath)) {
        handleObject(exchange, request, percentDecode(request.path.substr(ObjectsPath.size())));
    } else if (request.path == "/v1/counters") {
        m_server.answer(exchange, counters());
    } else {
        m_server.answer(exchange, {{"error", "no such path"}}, NotFound);
    }
}

bool StoreStandin::areConditionsMet(const nlohmann::json &conditions) const
{
    for (const auto &it : conditions) {
        const auto row = m_rows.find(it.at("key").get<std::string>());
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        if (version != it.at("version").get<std::uint64_t>()) {
            return false;
        }
    }
    return true;
}

void StoreStandin::write(const std::string &key, const nlohmann::json &value)
{
    Row &row = m_rows[key];
    row.previousVersion = std::exchange(row.version, m_version);
    row.previous = std::exchange(row.value, value);
}

void StoreStandin::commit(HttpExchangeId exchange, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!isTransaction(json)) {
        m_server.answer(exchange, {{"error", "not a transaction"}, {"run", "not_run"}}, BadRequest);
        return;
    }
    if (!areConditionsMet(json.at("conditions"))) {
        m_counters.conflicts++;
        m_server.answer(exchange, {{"conflict", true}}, Conflict);
        return;
    }
    m_version++;
    m_counters.writes++;
    for (const auto &it : json.at("puts")) {
        write(it.at("key").get<std::string>(), it.at("value"));
    }
    for (const auto &it : json.at("removes")) {
        m_rows.erase(it.get<std::string>());
    }
    m_server.answer(exchange, {{"version", m_version}});
}

nlohmann::json StoreStandin::view(const std::string &key, const Row &row, bool stale) const
{
    if (stale) {
        return {{"key", key}, {"version", row.previousVersion}, {"value", row.previous}};
    }
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

void StoreStandin::read(HttpExchangeId exchange, const std::string &key)
{
    m_counters.reads++;
    const bool stale = m_server.faultOf(exchange).kind == FaultKind::Stale;
    const auto it = m_rows.find(key);
    if (it == m_rows.end() || (stale && it->second.previousVersion == 0)) {
        m_server.answer(exchange, {{"error", "no such row"}}, NotFound);
        return;
    }
    m_server.answer(exchange, view(key, it->second, stale));
}

void StoreStandin::scan(HttpExchangeId exchange, const std::string &query)
{
    m_counters.reads++;
    const bool stale = m_server.faultOf(exchange).kind == FaultKind::Stale;
    const std::string to = queryValue(query, "to");
    const std::string limitText = queryValue(query, "limit");
    const std::size_t limit = limitText.empty() ? DefaultLimit : std::strtoull(limitText.c_str(), nullptr, 10);
    nlohmann::json rows = nlohmann::json::array();
    auto it = m_rows.lower_bound(queryValue(query, "from"));
    for (; it != m_rows.end() && it->first < to && rows.size() < limit; ++it) {
        if (!stale || it->second.previousVersion != 0) {
            rows.push_back(view(it->first, it->second, stale));
        }
    }
    const bool more = it != m_rows.end() && it->first < to;
    m_server.answer(exchange, {{"rows", std::move(rows)}, {"more", more}});
}

void StoreStandin::handleObject(HttpExchangeId exchange, const HttpRequest &request, const std::string &key)
{
    if (request.method == "GET") {
        m_counters.objectReads++;
        const auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            m_server.answer(exchange, {{"error", "no such object"}}, NotFound);
        } else {
            m_server.answerText(exchange, it->second);
        }
        return;
    }
    m_counters.objectWrites++;
    if (request.method == "PUT") {
        m_objects[key] = request.body;
    } else {
        m_objects.erase(key);
    }
    m_server.answer(exchange, nlohmann::json::object());
}

nlohmann::json StoreStandin::counters() const
{
    return {{"writes", m_counters.writes},
            {"conflicts", m_counters.conflicts},
            {"reads", m_counters.reads},
            {"object_writes", m_counters.objectWrites},
            {"object_reads", m_counters.objectReads},
            {"rows", m_rows.size()},
            {"objects", m_objects.size()}};
}

} // namespace Vanillahall
