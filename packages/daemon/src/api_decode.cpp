#include "api_decoder.h"
#include "api_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

// Sanity limits, far above the design size given in docs/DEVELOPERS.md.
constexpr std::uint32_t MaxTurn = 1'000'000;                     ///< Turn number; programs have up to 71 turns.
constexpr std::uint64_t MaxTokens = 100'000'000;                 ///< Token budget of a program; programs use up to 120,000.
constexpr std::uint32_t MaxCalls = 1'000'000;                    ///< Call budget of a program.
constexpr std::uint64_t MaxSeconds = 365ULL * 24 * 3600;         ///< Time budget of a program: a year.
constexpr std::uint32_t MaxCallTokens = 1'000'000;               ///< Generated tokens of one call.
constexpr std::uint32_t DefaultCallTokens = 1024;                ///< Limit of generated tokens if the request sets none.
constexpr std::uint64_t MaxTargetMs = 366ULL * 24 * 3600 * 1000; ///< Latency target of a class: a leap year.

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        const auto end = path.find('/');
        if (end != 0) {
            parts.push_back(path.substr(0, end));
        }
        path.remove_prefix(end == std::string_view::npos ? path.size() : end + 1);
    }
    return parts;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<CallKey> parseKey(std::string_view program, std::string_view turn)
{
    const auto id = parseProgramId(program);
    const auto number = parseNumber(turn);
    if (!id || !number || *number == 0 || *number > MaxTurn) {
        return std::nullopt;
    }
    return CallKey{*id, Turn{static_cast<std::uint32_t>(*number)}};
}

std::optional<ApiRequest> decodeCreate(ApiDecoder &decoder)
{
    if (!decoder.parseBody()) {
        return std::nullopt;
    }
    CreateProgram create;
    const Json &body = decoder.body();
    if (body.contains("parent")) {
        create.parent = parseProgramId(decoder.text(body, "parent"));
        if (!create.parent) {
            return decoder.failField("parent", "the name of a program");
        }
    } else {
        create.className.text = decoder.text(body, "class");
        const auto budget = body.find("budget");
        if (budget == body.end() || !budget->is_object()) {
            return decoder.failField("budget", "an object with tokens, calls and seconds");
        }
        create.budget.tokens = decoder.number(*budget, "tokens", 1, MaxTokens, {});
        create.budget.calls = static_cast<std::uint32_t>(decoder.number(*budget, "calls", 1, MaxCalls, {}));
        create.budget.time = std::chrono::seconds(decoder.number(*budget, "seconds", 1, MaxSeconds, {}));
    }
    const std::string key = decoder.header(IdempotencyHeader);
    if (!key.empty()) {
        create.idempotencyKey = contentHash(key);
    }
    if (decoder.failed()) {
        return std::nullopt;
    }
    return CallerApi{create, false};
}

ServiceCall decodeService(ApiDecoder &decoder)
{
    const Json &body = decoder.body();
    ServiceCall call;
    call.service.text = decoder.text(body, "service");
    call.operation = decoder.text(body, "operation");
    call.repeatable = decoder.flag(body, "repeatable", {});
    const auto it = body.find("body");
    call.body = it == body.end() ? "{}" : it->dump();
    return call;
}

ModelInput decodeModel(ApiDecoder &decoder, const char *tokensField)
{
    const Json &body = decoder.body();
    ModelInput input;
    input.model.text = decoder.text(body, "model");
    input.messages = decoder.messages(body);
    input.maxTokens = static_cast<std::uint32_t>(decoder.number(body, tokensField, 1, MaxCallTokens, DefaultCallTokens));
    return input;
}

std::optional<ApiRequest> decodeSubmit(ApiDecoder &decoder, std::string_view program)
{
    const auto id = parseProgramId(program);
    if (!id) {
        return decoder.fail(ErrorCode::NotFound, "no such program");
    }
    if (!decoder.parseBody()) {
        return std::nullopt;
    }
    SubmitCall submit;
    submit.key = CallKey{*id, Turn{static_cast<std::uint32_t>(decoder.number(decoder.body(), "turn", 1, MaxTurn, {}))}};
    const std::string kind = decoder.text(decoder.body(), "kind");
    if (kind == "model") {
        submit.input = decodeModel(decoder, "max_tokens");
    } else if (kind == "service") {
        submit.input = decodeService(decoder);
    } else {
        return decoder.failField("kind", "model or service");
    }
    const bool stream = decoder.flag(decoder.body(), "stream", false);
    if (decoder.failed()) {
        return std::nullopt;
    }
    submit.content = inputHash(submit.input);
    return CallerApi{std::move(submit), stream};
}

/** Removes the messages that the program's history already contains: all up to the last assistant message. */
void removeStoredMessages(ModelInput &input)
{
    std::size_t first = 0;
    for (std::size_t n = 0; n < input.messages.size(); n++) {
        if (Json::parse(input.messages[n])["role"] == "assistant") {
            first = n + 1;
        }
    }
    if (first < input.messages.size()) {
        input.messages.erase(input.messages.begin(), input.messages.begin() + static_cast<std::ptrdiff_t>(first));
    }
}

std::optional<ApiRequest> decodeChat(ApiDecoder &decoder, const ClassName &defaultClass)
{
    if (!decoder.parseBody()) {
        return std::nullopt;
    }
    ChatApi chat;
    const bool hasNewLimitField = decoder.body().contains("max_completion_tokens");
    chat.input = decodeModel(decoder, hasNewLimitField ? "max_completion_tokens" : "max_tokens");
    chat.stream = decoder.flag(decoder.body(), "stream", false);
    const auto options = decoder.body().find("stream_options");
    if (options != decoder.body().end() && options->is_object()) {
        chat.includeUsage = decoder.flag(*options, "include_usage", false);
    }
    const std::string program = decoder.header(ProgramHeader);
    if (!program.empty()) {
        chat.key = parseKey(program, decoder.header(TurnHeader));
        if (!chat.key) {
            return decoder.failField(TurnHeader, "a turn, with the name of a program in " + std::string(ProgramHeader));
        }
        removeStoredMessages(chat.input);
    }
    chat.className.text = decoder.header(ClassHeader);
    if (chat.className.empty()) {
        chat.className = defaultClass;
    }
    if (decoder.failed()) {
        return std::nullopt;
    }
    return chat;
}

std::optional<ApiRequest> decodeChange(ApiDecoder &decoder, std::string_view list, std::string_view name)
{
    std::string version = decoder.header(IfMatchHeader);
    std::erase(version, '"');
    const auto expected = parseNumber(version);
    if (!expected) {
        return decoder.failField(IfMatchHeader, "the version of the configuration that you have seen");
    }
    if (!decoder.parseBody()) {
        return std::nullopt;
    }
    ChangeApi change;
    change.expected = ConfigVersion{*expected};
    if (list == "classes") {
        const auto target = decoder.number(decoder.body(), "target_ms", 1, MaxTargetMs, {});
        change.change = ClassTarget{ClassName{std::string(name)}, std::chrono::milliseconds(target)};
    } else {
        const std::string state = decoder.text(decoder.body(), "state");
        if (state != "coming" && state != "leaving") {
            return decoder.failField("state", "coming or leaving");
        }
        const auto declared = state == "coming" ? ServerState::Coming : ServerState::Leaving;
        change.change = ServerDeclaration{ServerName{std::string(name)}, declared};
    }
    if (decoder.failed() || name.size() > MaxNameLength) {
        return decoder.failField("name", "a text of at most " + std::to_string(MaxNameLength) + " bytes");
    }
    return change;
}

std::optional<ApiRequest> decodeSettle(ApiDecoder &decoder, std::string_view program, std::string_view turn)
{
    const auto key = parseKey(program, turn);
    if (!key) {
        return decoder.fail(ErrorCode::NotFound, "no such call");
    }
    if (!decoder.parseBody()) {
        return std::nullopt;
    }
    const bool ran = decoder.flag(decoder.body(), "ran", {});
    if (decoder.failed()) {
        return std::nullopt;
    }
    return SettleApi{*key, ran};
}

/** Decodes the paths below /v1/programs/{program}. */
std::optional<ApiRequest> decodeProgram(ApiDecoder &decoder, const std::string &method, const std::vector<std::string_view> &parts)
{
    const auto id = parseProgramId(parts[2]);
    if (!id) {
        return decoder.fail(ErrorCode::NotFound, "no such program");
    }
    const std::string_view leaf = parts.size() > 3 ? parts[3] : std::string_view();
    if (method == "POST" && parts.size() == 4 && leaf == "calls") {
        return decodeSubmit(decoder, parts[2]);
    }
    if (method == "POST" && parts.size() == 4 && leaf == "end") {
        return CallerApi{EndCommand{*id}, false};
    }
    if (method == "GET" && parts.size() == 3) {
        return CallerApi{ProgramQuery{*id}, false};
    }
    if (method == "GET" && parts.size() == 4 && leaf == "history") {
        return CallerApi{HistoryQuery{*id}, false};
    }
    if (method == "GET" && parts.size() == 5 && leaf == "calls") {
        const auto key = parseKey(parts[2], parts[4]);
        if (key) {
            return CallerApi{TurnQuery{*key}, false};
        }
    }
    return decoder.fail(ErrorCode::NotFound, "no such path");
}

std::optional<ApiRequest> decodeRead(ApiDecoder &decoder, const std::string &path)
{
    static constexpr std::array Paths = std::to_array<std::pair<std::string_view, ReadKind>>({
        {"/metrics", ReadKind::Metrics},
        {"/v1/config", ReadKind::Config},
        {"/v1/state", ReadKind::State},
        {"/v1/report/burn", ReadKind::Burn},
        {"/v1/outcomes", ReadKind::Outcomes},
    });
    for (const auto &[text, kind] : Paths) {
        if (text == path) {
            return ReadApi{kind};
        }
    }
    return decoder.fail(ErrorCode::NotFound, "no such path");
}

} // namespace

ContentHash inputHash(const CallInput &input)
{
    Json content;
    if (const auto *model = std::get_if<ModelInput>(&input)) {
        content = {model->model.text, model->messages, model->maxTokens};
    } else {
        const auto &call = std::get<ServiceCall>(input);
        content = {call.service.text, call.operation, call.body, call.repeatable};
    }
    return contentHash(content.dump());
}

std::optional<ApiRequest> decodeApi(const HttpRequest &request, const ClassName &defaultClass, Error &reason)
{
    ApiDecoder decoder(request, reason);
    const auto parts = splitPath(request.path);
    const bool versioned = parts.size() >= 2 && parts[0] == "v1";
    if (versioned && parts[1] == "programs" && parts.size() == 2 && request.method == "POST") {
        return decodeCreate(decoder);
    }
    if (versioned && parts[1] == "programs" && parts.size() >= 3) {
        return decodeProgram(decoder, request.method, parts);
    }
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        return decodeChat(decoder, defaultClass);
    }
    if (versioned && parts.size() == 3 && request.method == "PUT" && (parts[1] == "classes" || parts[1] == "servers")) {
        return decodeChange(decoder, parts[1], parts[2]);
    }
    if (versioned && parts.size() == 4 && request.method == "POST" && parts[1] == "outcomes") {
        return decodeSettle(decoder, parts[2], parts[3]);
    }
    if (versioned && parts.size() == 3 && request.method == "GET" && parts[1] == "inspect") {
        const auto id = parseProgramId(parts[2]);
        if (id) {
            return InspectApi{*id};
        }
    }
    if (request.method == "GET") {
        return decodeRead(decoder, request.path);
    }
    return decoder.fail(ErrorCode::NotFound, "no such path");
}

bool isOperatorApi(const ApiRequest &request)
{
    return !std::holds_alternative<CallerApi>(request) && !std::holds_alternative<ChatApi>(request);
}

} // namespace Vanillahall
