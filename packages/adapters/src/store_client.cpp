#include "vanillahall/adapters/store_client_base.h"

#include "vanillahall/adapters/row_codec_func.h"

#include "buffered_request_base.h"
#include "row_json_func.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** Implementation of StoreClient. */
struct StoreClientState
{
    StoreClientState(HttpClient &http, PlatformPeer peer)
        : requests(http, std::move(peer))
    {
    }

    BufferedRequests requests; ///< Requests to the store.
};

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNotFound = 404;
constexpr std::uint32_t StatusConflict = 409;

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string rowPath(const RowKey &key)
{
    return "/v1/rows/" + percentEncode(key.text);
}

std::string objectPath(const ObjectKey &key)
{
    return "/v1/objects/" + percentEncode(key.text);
}

/** @return A JSON array with `write(item)` for each item. */
template<typename Items, typename Write>
std::string listText(const Items &items, Write write)
{
    std::string text = "[";
    for (const auto &it : items) {
        text += text.size() > 1 ? "," : "";
        text += write(it);
    }
    return text + "]";
}

std::string transactionText(const StoreTransaction &transaction)
{
    const auto condition = [](const RowCondition &it) {
        return R"({"key":)" + quoted(it.key.text) + R"(,"version":)" + std::to_string(it.version.value) + "}";
    };
    const auto put = [](const RowPut &it) {
        return R"({"key":)" + quoted(it.key.text) + R"(,"value":)" + encodeRow(it.value) + "}";
    };
    const auto remove = [](const RowKey &it) {
        return quoted(it.text);
    };
    return R"({"conditions":)" + listText(transaction.conditions, condition) + R"(,"puts":)" + listText(transaction.puts, put)
        + R"(,"removes":)" + listText(transaction.removes, remove) + "}";
}

/** Builds the HTTP request of each kind of store request. */
struct RequestWriter
{
    BufferedRequest operator()(const StoreTransaction &request) const
    {
        return BufferedRequest{"POST", "/v1/tx", transactionText(request), {}, {}, {}};
    }
    BufferedRequest operator()(const StoreGet &request) const
    {
        return BufferedRequest{"GET", rowPath(request.key), {}, {}, {}, {}};
    }
    BufferedRequest operator()(const StoreScan &request) const
    {
        const std::string range = "from=" + percentEncode(request.from.text) + "&to=" + percentEncode(request.to.text);
        return BufferedRequest{"GET", "/v1/rows?" + range + "&limit=" + std::to_string(request.limit), {}, {}, {}, {}};
    }
    BufferedRequest operator()(const ObjectPut &request) const
    {
        return BufferedRequest{"PUT", objectPath(request.key), encodeSnapshot(request.snapshot), {}, {}, {}};
    }
    BufferedRequest operator()(const ObjectGet &request) const
    {
        return BufferedRequest{"GET", objectPath(request.key), {}, {}, {}, {}};
    }
    BufferedRequest operator()(const ObjectRemove &request) const
    {
        return BufferedRequest{"DELETE", objectPath(request.key), {}, {}, {}, {}};
    }
};

StoreFailed storeFailure(ErrorCode code, RunState run, std::string message)
{
    return StoreFailed{Error{code, run, Step::Commit, {}, std::move(message), {}}};
}

nlohmann::json parseObject(const std::string &text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

/** @return The failure for an unexpected response. NotRun only if the store states explicitly that it did nothing. */
StoreAnswer unexpectedAnswer(const BufferedAnswer &answer)
{
    const auto json = parseObject(answer.body);
    const auto it = json.find("run");
    const bool notRun = answer.status != StatusOk && it != json.end() && *it == "not_run";
    return storeFailure(
        ErrorCode::StoreUnavailable, notRun ? RunState::NotRun : RunState::Unknown, "status " + std::to_string(answer.status));
}

StoreAnswer unreadableAnswer(const std::string &message)
{
    return storeFailure(ErrorCode::Internal, RunState::Unknown, "unreadable answer: " + message);
}

/** @return The member, or nothing if it is missing or not an unsigned integer. */
std::optional<std::uint64_t> unsignedMember(const nlohmann::json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::optional<StoredRow> readRow(const nlohmann::json &json, Error &reason)
{
    reason.message = "a row lacks a member";
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto key = json.find("key");
    const auto version = unsignedMember(json, "version");
    const auto value = json.find("value");
    if (key == json.end() || !key->is_string() || !version || value == json.end()) {
        return std::nullopt;
    }
    auto row = rowFromJson(*value, reason);
    if (!row) {
        return std::nullopt;
    }
    return StoredRow{RowKey{key->get<std::string>()}, RowVersion{*version}, std::move(*row)};
}

StoreAnswer readRows(const std::string &body)
{
    const auto json = parseObject(body);
    const auto rows = json.find("rows");
    const auto more = json.find("more");
    if (rows == json.end() || !rows->is_array() || more == json.end() || !more->is_boolean()) {
        return unreadableAnswer("not a list of rows");
    }
    StoreRows answer;
    answer.more = more->get<bool>();
    for (const auto &it : *rows) {
        Error reason;
        auto row = readRow(it, reason);
        if (!row) {
            return unreadableAnswer(reason.message);
        }
        answer.rows.push_back(std::move(*row));
    }
    return answer;
}

/** Decodes the response to each kind of store request. */
struct AnswerReader
{
    const BufferedAnswer &answer;

    StoreAnswer operator()(const StoreTransaction & /*request*/) const
    {
        const auto json = parseObject(answer.body);
        if (answer.status == StatusConflict) {
            const auto it = json.find("conflict");
            return it != json.end() && *it == true ? StoreAnswer(StoreConflict{}) : unexpectedAnswer(answer);
        }
        if (answer.status != StatusOk) {
            return unexpectedAnswer(answer);
        }
        const auto version = unsignedMember(json, "version");
        return version ? StoreAnswer(StoreDone{RowVersion{*version}}) : unreadableAnswer("no version");
    }
    StoreAnswer operator()(const StoreGet & /*request*/) const
    {
        if (answer.status == StatusNotFound) {
            return StoreRows{};
        }
        if (answer.status != StatusOk) {
            return unexpectedAnswer(answer);
        }
        Error reason;
        auto row = readRow(parseObject(answer.body), reason);
        return row ? StoreAnswer(StoreRows{{std::move(*row)}, false}) : unreadableAnswer(reason.message);
    }
    StoreAnswer operator()(const StoreScan & /*request*/) const
    {
        return answer.status == StatusOk ? readRows(answer.body) : unexpectedAnswer(answer);
    }
    StoreAnswer operator()(const ObjectPut & /*request*/) const
    {
        return answer.status == StatusOk ? StoreAnswer(StoreDone{}) : unexpectedAnswer(answer);
    }
    StoreAnswer operator()(const ObjectGet & /*request*/) const
    {
        if (answer.status == StatusNotFound) {
            return StoreObject{};
        }
        if (answer.status != StatusOk) {
            return unexpectedAnswer(answer);
        }
        Error reason;
        auto snapshot = decodeSnapshot(answer.body, reason);
        return snapshot ? StoreAnswer(StoreObject{std::move(snapshot)}) : unreadableAnswer(reason.message);
    }
    StoreAnswer operator()(const ObjectRemove & /*request*/) const
    {
        const bool removed = answer.status == StatusOk || answer.status == StatusNotFound;
        return removed ? StoreAnswer(StoreDone{}) : unexpectedAnswer(answer);
    }
};

/** @return An empty request of the same kind, which is enough to decode the response. */
StoreRequest emptyOfSameKind(const StoreRequest &request)
{
    return std::visit(
        []<typename T>(const T & /*request*/) {
            return StoreRequest(T{});
        },
        request);
}

StoreAnswer answerFromFailure(const HttpFailure &failure)
{
    const auto run = failure.progress == HttpProgress::NotSent ? RunState::NotRun : RunState::Unknown;
    return storeFailure(failure.timedOut ? ErrorCode::Timeout : ErrorCode::StoreUnavailable, run, failure.message);
}

StoreAnswer answerFromOutcome(const StoreRequest &kind, const BufferedOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        return answerFromFailure(*failure);
    }
    return std::visit(AnswerReader{std::get<BufferedAnswer>(outcome)}, kind);
}

} // namespace

StoreClient::StoreClient(HttpClient &http, PlatformPeer peer)
    : m_state(std::make_unique<StoreClientState>(http, std::move(peer)))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::send(const StoreRequest &request, Duration timeLimit, StoreCallback callback)
{
    BufferedRequest httpRequest = std::visit(RequestWriter{}, request);
    httpRequest.timeLimit = timeLimit;
    const std::string &peer = m_state->requests.peer().name;
    auto done = [kind = emptyOfSameKind(request), peer, callback = std::move(callback)](BufferedOutcome &&outcome) {
        StoreAnswer answer = answerFromOutcome(kind, outcome);
        if (auto *failure = std::get_if<StoreFailed>(&answer)) {
            failure->error.peer = peer;
        }
        callback(std::move(answer));
    };
    m_state->requests.send(std::move(httpRequest), std::move(done));
}

} // namespace Vanillahall
