#include "store_model.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Vanillahall::Forward {

namespace {

using Json = nlohmann::json;

std::string base64(const std::string &bytes)
{
    std::string text(bytes.size() * 2 + 8, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes(text.size(), '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()),
                                  static_cast<int>(text.size()));
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(std::max(n, 0)) - std::min<std::size_t>(padding, static_cast<std::size_t>(std::max(n, 0))));
    return bytes;
}

/** @return Value of a query parameter, decoded. */
std::string queryValue(const std::string &request, const std::string &name)
{
    const auto line = request.substr(0, request.find(" HTTP/1.1"));
    const auto at = std::min(line.find("?" + name + "="), line.find("&" + name + "="));
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 2;
    const auto text = line.substr(begin, line.find('&', begin) - begin);
    std::string value;
    for (std::size_t n = 0; n < text.size(); n++) {
        if (text[n] == '%') {
            value += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            value += text[n];
        }
    }
    return value;
}

std::string json(const Json &body, unsigned status = 200)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

Script StoreModel::answer(const std::string &request)
{
    if (refusesAll) {
        return {json(Json::object(), 503)};
    }
    recordChanges(m_config, config.empty() ? std::map<std::string, std::string>() : std::map<std::string, std::string>{{"config", config}});
    recordChanges(m_servers, servers);
    recordChanges(m_crashes, crashRecords);
    if (request.find("GET /api/rows-get?table=op") == 0) {
        return wholeTable(m_config);
    }
    if (request.find("GET /api/rows-get?table=servers") == 0) {
        fullReads++;
        return wholeTable(m_servers);
    }
    if (request.find("GET /api/rows-feed?table=op") == 0) {
        return changes(m_config, request);
    }
    if (request.find("GET /api/rows-feed?table=servers") == 0) {
        watches++;
        return changes(m_servers, request);
    }
    if (request.find("GET /api/rows-get?table=broken_contents") == 0) {
        if (refusesCrashReads) {
            return {json(Json::object(), 503)};
        }
        return wholeTable(m_crashes);
    }
    if (request.find("GET /api/rows-feed?table=broken_contents") == 0) {
        return changes(m_crashes, request);
    }
    if (auto turnsAnswer = answerTurns(request)) {
        return *turnsAnswer;
    }
    for (auto *table : {&budgetOwners, &streamVersions}) {
        if (auto tableAnswer = answerTable(request, table == &budgetOwners ? "budget_owners" : "stream_versions", *table)) {
            return *tableAnswer;
        }
    }
    const bool isTokenRead = request.find("GET /api/rows-get?table=token_budgets") == 0 && request.find("&to=") != std::string::npos;
    if (isTokenRead) {
        tokenReads++;
        Json list = Json::array();
        const auto row = tokens.find(queryValue(request, "from"));
        if (row != tokens.end()) {
            list.push_back({{"key", row->first}, {"value", row->second.first}, {"ver", row->second.second}});
        }
        return {json({{"rows", list}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
    }
    const bool isUsageRead = request.find("GET /api/rows-get?table=customer_usage") == 0;
    if (isUsageRead || request.find("\"table\":\"customer_usage\"") != std::string::npos) {
        usageCalls++;
        if (holdsUsage) {
            return {};
        }
    }
    if (isUsageRead || request.find("GET /api/rows-get?table=proxies") == 0) {
        Json list = Json::array();
        for (const auto &[key, value] : isUsageRead ? usage : members) {
            list.push_back({{"key", key}, {"value", value}, {"ver", version}});
        }
        return {json({{"rows", list}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
    }
    if (request.find("GET /api/rows-get?") == 0) {
        return {json({{"rows", Json::array()}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
    }
    if (refusesWrites) {
        return {json(Json::object(), refusalStatus)};
    }
    const Json body = Json::parse(request.substr(request.find("\r\n\r\n") + 4));
    for (const auto &it : body["writes"]) {
        if (it["table"] == "broken_contents") {
            crashRecords[it["key"]] = fromBase64(it["value"]);
        } else if (it["table"] == "proxies") {
            members[it["key"]] = it["value"];
        } else if (it["table"] == "customer_usage") {
            usage[it["key"]] = it["value"];
        }
    }
    for (const auto &it : body["remove"]) {
        removed.insert(it["key"]);
        crashRecords.erase(it["key"]);
    }
    if (body["expect"].empty()) {
        return {json({{"ver", ++version}, {"nowMs", nowMs}})};
    }
    writes++;
    const auto &expected = body["expect"][0];
    auto answer = writeTokens(expected["key"], expected["ver"], body["writes"][0]["value"]);
    if (lostReplies != 0) {
        lostReplies--;
        return {};
    }
    return answer;
}

std::optional<Script> StoreModel::answerTable(const std::string &request, const std::string &name, ConditionalTable &table)
{
    const auto rowsOf = [&table](const auto &wanted) {
        Json list = Json::array();
        for (const auto &[key, row] : table) {
            if (wanted(key)) {
                list.push_back({{"key", key}, {"value", row.first}, {"ver", row.second}});
            }
        }
        return list;
    };
    if (request.find("GET /api/rows-get?table=" + name) == 0) {
        const auto all = rowsOf([](const auto &) {
            return true;
        });
        return Script{json({{"rows", all}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
    }
    if (request.find("\"table\":\"" + name + "\"") == std::string::npos) {
        return std::nullopt;
    }
    if (refusesWrites) {
        return Script{json(Json::object(), refusalStatus)};
    }
    const Json body = Json::parse(request.substr(request.find("\r\n\r\n") + 4));
    for (const auto &it : body["expect"]) {
        const auto row = table.find(it["key"]);
        if ((row == table.end() ? 0 : row->second.second) != it["ver"]) {
            const auto current = rowsOf([&body](const auto &key) {
                return std::any_of(body["expect"].begin(), body["expect"].end(), [&key](const auto &expected) {
                    return expected["key"] == key;
                });
            });
            return Script{json({{"rows", current}}, 412)};
        }
    }
    version++;
    for (const auto &it : body["writes"]) {
        table[it["key"]] = {it["value"], version};
    }
    return Script{json({{"ver", version}, {"nowMs", nowMs}})};
}

std::optional<Script> StoreModel::answerTurns(const std::string &request)
{
    const bool isRead = request.find("GET /api/rows-get?table=turn") == 0;
    const bool isWrite = request.find("POST /api/rows-tx") == 0 && request.find("\"table\":\"turn") != std::string::npos;
    if (!isRead && !isWrite) {
        return std::nullopt;
    }
    turnReads += isRead && queryValue(request, "table") == "turns" ? 1 : 0;
    if (refusesTurns || (isRead && queryValue(request, "part") == downPart)) {
        return Script{json(Json::object(), 503)};
    }
    return isRead ? readTurns(request) : writeTurns(request.substr(request.find("\r\n\r\n") + 4));
}

Script StoreModel::readTurns(const std::string &request)
{
    const auto prefix = queryValue(request, "table") + "/" + queryValue(request, "part") + "/";
    Json list = Json::array();
    for (auto it = turns.lower_bound(prefix + queryValue(request, "from"));
         it != turns.end() && it->first < prefix + queryValue(request, "to");
         ++it) {
        list.push_back({{"key", it->first.substr(prefix.size())}, {"value", it->second.first}, {"ver", it->second.second}});
    }
    return {json({{"rows", list}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
}

Script StoreModel::writeTurns(const std::string &text)
{
    const Json body = Json::parse(text);
    const auto pathOf = [](const Json &row) {
        return row["table"].get<std::string>() + "/" + row["part"].get<std::string>() + "/" + row["key"].get<std::string>();
    };
    const auto &first = body["writes"].empty() ? body["remove"][0] : body["writes"][0];
    if (first["part"] == downPart) {
        return {json(Json::object(), 503)};
    }
    turnWrites += body["writes"].empty() ? 0 : 1;
    if (refusedTurnWrites != 0) {
        refusedTurnWrites--;
        return {json(Json::object(), 503)};
    }
    if (holdsTurns) {
        return {};
    }
    Json currentRows = Json::array();
    bool conditionsHold = true;
    for (const auto &it : body["expect"]) {
        const auto row = turns.find(pathOf(it));
        conditionsHold = conditionsHold && (row == turns.end() ? 0 : row->second.second) == it["ver"];
        if (row != turns.end()) {
            currentRows.push_back({{"key", it["key"]}, {"value", row->second.first}, {"ver", row->second.second}});
        }
    }
    if (!conditionsHold) {
        return {json({{"rows", currentRows}}, 412)};
    }
    version++;
    for (const auto &it : body["writes"]) {
        turns[pathOf(it)] = {it["value"], version};
    }
    for (const auto &it : body["remove"]) {
        turns.erase(pathOf(it));
    }
    if (lostTurnReplies != 0) {
        lostTurnReplies--;
        return {};
    }
    return {json({{"ver", version}, {"nowMs", nowMs}})};
}

void StoreModel::recordChanges(Table &table, const std::map<std::string, std::string> &rows)
{
    for (const auto &[key, value] : rows) {
        auto &row = table[key];
        if (row.version == 0 || row.isRemoved || row.value != value) {
            row = {value, ++version, false};
        }
    }
    for (auto &[key, row] : table) {
        if (!row.isRemoved && rows.count(key) == 0) {
            row = {{}, ++version, true};
        }
    }
}

Script StoreModel::wholeTable(const Table &table) const
{
    Json list = Json::array();
    for (const auto &[key, row] : table) {
        if (!row.isRemoved) {
            list.push_back({{"key", key}, {"value", base64(row.value)}, {"ver", row.version}});
        }
    }
    return {json({{"rows", list}, {"hasMore", false}, {"ver", version}, {"nowMs", nowMs}})};
}

Script StoreModel::changes(const Table &table, const std::string &request)
{
    if (unansweredWatches != 0) {
        unansweredWatches--;
        return {};
    }
    if (hasNoHistory) {
        return {json(Json::object(), 410)};
    }
    const int after = std::stoi(request.substr(request.find("after=") + 6));
    std::map<int, Json> list;
    for (const auto &[key, row] : table) {
        if (row.version > after && !suppressesChanges) {
            list[row.version] = {{"key", key}, {"ver", row.version}};
            if (row.isRemoved) {
                list[row.version]["removed"] = true;
            } else {
                list[row.version]["value"] = base64(row.value);
            }
        }
    }
    Json rows = Json::array();
    for (const auto &[at, row] : list) {
        rows.push_back(row);
    }
    return {json({{"rows", rows}, {"ver", version}, {"nowMs", nowMs}})};
}

Script StoreModel::writeTokens(const std::string &key, int expected, const std::string &value)
{
    const auto row = tokens.find(key);
    if ((row == tokens.end() ? 0 : row->second.second) != expected) {
        Json list = Json::array();
        if (row != tokens.end()) {
            list.push_back({{"key", key}, {"value", row->second.first}, {"ver", row->second.second}});
        }
        return {json({{"rows", list}}, 412)};
    }
    tokens[key] = {value, ++version};
    return {json({{"ver", version}, {"nowMs", nowMs}})};
}

} // namespace Vanillahall::Forward
