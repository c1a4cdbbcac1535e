#include "api_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t Created = 201;
constexpr std::uint32_t PreconditionFailed = 412;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::int64_t milliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

Json errorJson(const Error &error)
{
    Json json = {{"code", toText(error.code)},
                 {"run", toText(error.run)},
                 {"step", toText(error.step)},
                 {"peer", error.peer},
                 {"message", error.message}};
    if (error.retryAfter) {
        json["retry_after_ms"] = milliseconds(*error.retryAfter);
    }
    return Json{{"error", json}};
}

Json inputJson(const CallInput &input)
{
    if (const auto *model = std::get_if<ModelInput>(&input)) {
        Json messages = Json::array();
        for (const auto &it : model->messages) {
            messages.push_back(Json::parse(it, nullptr, false));
        }
        return {{"kind", "model"}, {"model", model->model.text}, {"messages", messages}, {"max_tokens", model->maxTokens}};
    }
    const auto &call = std::get<ServiceCall>(input);
    return {{"kind", "service"},
            {"service", call.service.text},
            {"operation", call.operation},
            {"body", Json::parse(call.body, nullptr, false)},
            {"repeatable", call.repeatable}};
}

Json resultJson(const CallInput &input, const CallResult &result)
{
    Json json = {{"waited_ms", milliseconds(result.waited)},
                 {"prefill_ms", milliseconds(result.prefill)},
                 {"decode_ms", milliseconds(result.decode)}};
    if (std::holds_alternative<ModelInput>(input)) {
        json["text"] = result.body;
        json["finish_reason"] = result.finishReason;
        json["usage"] = {
            {"prompt_tokens", result.promptTokens}, {"completion_tokens", result.completionTokens}, {"cached_tokens", result.cachedTokens}};
        return json;
    }
    json["status"] = result.status;
    const Json body = Json::parse(result.body, nullptr, false);
    json["body"] = body.is_discarded() ? Json(result.body) : body;
    return json;
}

std::string_view turnStateText(TurnState state)
{
    switch (state) {
    case TurnState::Reserving:
        return "reserving";
    case TurnState::Ordered:
        return "ordered";
    case TurnState::Running:
        return "running";
    case TurnState::Finished:
        break;
    }
    return "finished";
}

void addOutcome(Json &json, const CallInput &input, const CallOutcome &outcome)
{
    if (const auto *result = std::get_if<CallResult>(&outcome)) {
        json["result"] = resultJson(input, *result);
    } else {
        json.update(errorJson(std::get<Error>(outcome)));
    }
}

Json turnJson(const TurnView &turn)
{
    Json json = {{"program", toText(turn.key.program)},
                 {"turn", turn.key.turn.value},
                 {"state", turnStateText(turn.state)},
                 {"input", inputJson(turn.input)},
                 {"server", turn.server.text},
                 {"attempt", turn.attempt.value},
                 {"began_ms", turn.began.time_since_epoch().count()},
                 {"durable", turn.durable}};
    if (turn.outcome) {
        json["ended_ms"] = turn.ended.time_since_epoch().count();
        addOutcome(json, turn.input, *turn.outcome);
    }
    return json;
}

Json budgetJson(const Budget &budget)
{
    return {{"tokens", budget.tokens}, {"calls", budget.calls}, {"seconds", std::chrono::duration<double>(budget.time).count()}};
}

Json programJson(const ProgramView &view)
{
    Json json = {{"program", toText(view.program)},
                 {"customer", view.customer.text},
                 {"class", view.className.text},
                 {"budget", budgetJson(view.budget)},
                 {"spent", budgetJson(view.spent)},
                 {"began_ms", view.began.time_since_epoch().count()},
                 {"deadline_ms", view.deadline.time_since_epoch().count()},
                 {"ended", view.ended},
                 {"last_turn", view.lastTurn.value},
                 {"holder", view.holder.text}};
    if (view.parent != view.program) {
        json["parent"] = toText(view.parent);
    }
    return json;
}

Json callJson(const CallAnswered &answer)
{
    Json json = {{"program", toText(answer.key.program)},
                 {"turn", answer.key.turn.value},
                 {"server", answer.server.text},
                 {"attempt", answer.attempt.value},
                 {"replayed", answer.replayed}};
    addOutcome(json, answer.input, answer.outcome);
    return json;
}

/** Encodes each kind of answer as a JSON body. */
struct AnswerWriter
{
    Json operator()(const ProgramAccepted &answer) const
    {
        return {{"program", toText(answer.program)}};
    }
    Json operator()(const CallAnswered &answer) const
    {
        return callJson(answer);
    }
    Json operator()(const ProgramEndAccepted &answer) const
    {
        return {{"program", toText(answer.program)}, {"ended", true}};
    }
    Json operator()(const TurnView &answer) const
    {
        return turnJson(answer);
    }
    Json operator()(const ProgramView &answer) const
    {
        return programJson(answer);
    }
    Json operator()(const HistoryView &answer) const
    {
        Json turns = Json::array();
        for (const auto &it : answer.turns) {
            turns.push_back(turnJson(it));
        }
        return {{"program", toText(answer.program)}, {"turns", turns}};
    }
    Json operator()(const OutcomeAccepted &answer) const
    {
        return {{"program", toText(answer.key.program)}, {"turn", answer.key.turn.value}, {"settled", true}};
    }
    Json operator()(const Error &answer) const
    {
        return errorJson(answer);
    }
};

const Error *errorOf(const CallerAnswer &answer)
{
    if (const auto *call = std::get_if<CallAnswered>(&answer)) {
        return std::get_if<Error>(&call->outcome);
    }
    return std::get_if<Error>(&answer);
}

void addRetryAfter(HttpResponse &response, const Error &error)
{
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.headers.push_back({"retry-after", std::to_string(seconds)});
    }
}

std::string event(const Json &json)
{
    return "data: " + dump(json) + "\n\n";
}

std::string chatId(const ChatCompletionInfo &completion)
{
    return "chatcmpl-" + toText(completion.key.program) + "-" + std::to_string(completion.key.turn.value);
}

Json chatFrame(const ChatCompletionInfo &completion, const char *kind, const Json &choices)
{
    const auto created = std::chrono::duration_cast<std::chrono::seconds>(completion.createdAt.time_since_epoch()).count();
    return {{"id", chatId(completion)}, {"object", kind}, {"created", created}, {"model", completion.model.text}, {"choices", choices}};
}

Json chatUsage(const CallResult &result)
{
    return {{"prompt_tokens", result.promptTokens},
            {"completion_tokens", result.completionTokens},
            {"total_tokens", result.promptTokens + result.completionTokens},
            {"prompt_tokens_details", {{"cached_tokens", result.cachedTokens}}}};
}

Json chunk(const ChatCompletionInfo &completion, const Json &delta, const Json &finishReason)
{
    const Json choice = {{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}};
    return chatFrame(completion, "chat.completion.chunk", Json::array({choice}));
}

} // namespace

HttpResponse encodeAnswer(const CallerAnswer &answer)
{
    HttpResponse response;
    response.body = dump(std::visit(AnswerWriter(), answer));
    if (std::holds_alternative<ProgramAccepted>(answer)) {
        response.status = Created;
    }
    if (const Error *error = errorOf(answer)) {
        response.status = httpStatus(error->code);
        addRetryAfter(response, *error);
    }
    return response;
}

HttpResponse encodeError(const Error &error)
{
    return encodeAnswer(CallerAnswer(error));
}

HttpResponse encodeConfig(const ConfigRow &config)
{
    Json classes = Json::array();
    for (const auto &it : config.classes) {
        classes.push_back({{"class", it.name.text}, {"target_ms", it.target.count()}});
    }
    Json servers = Json::array();
    for (const auto &it : config.servers) {
        servers.push_back({{"server", it.name.text}, {"state", it.state == ServerState::Leaving ? "leaving" : "coming"}});
    }
    Json history = Json::array();
    for (const auto &it : config.history) {
        Json change = {{"version", it.version.value}, {"operator", it.operatorName}, {"at_ms", it.at.time_since_epoch().count()}};
        if (const auto *target = std::get_if<ClassTarget>(&it.change)) {
            change["class"] = target->name.text;
            change["target_ms"] = target->target.count();
        } else {
            const auto &server = std::get<ServerDeclaration>(it.change);
            change["server"] = server.name.text;
            change["state"] = server.state == ServerState::Leaving ? "leaving" : "coming";
        }
        history.push_back(change);
    }
    HttpResponse response;
    response.headers.push_back({"etag", "\"" + std::to_string(config.version.value) + "\""});
    response.body = dump({{"version", config.version.value}, {"classes", classes}, {"servers", servers}, {"history", history}});
    return response;
}

HttpResponse encodeAnswer(const ConfigAnswer &answer)
{
    if (const auto *error = std::get_if<Error>(&answer)) {
        return encodeError(*error);
    }
    if (const auto *conflict = std::get_if<ConfigConflict>(&answer)) {
        HttpResponse response = encodeConfig(conflict->current);
        Json body = errorJson(notRun(ErrorCode::VersionMismatch, Step::Configure, "", "another change came first"));
        body["current"] = Json::parse(response.body);
        response.status = PreconditionFailed;
        response.body = dump(body);
        return response;
    }
    HttpResponse response;
    const auto version = std::get<ConfigAccepted>(answer).version.value;
    response.headers.push_back({"etag", "\"" + std::to_string(version) + "\""});
    response.body = dump({{"version", version}});
    return response;
}

std::string encodeTokens(const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces)
{
    return event({{"turn", key.turn.value}, {"index", firstToken}, {"tokens", pieces}});
}

std::string encodeLastEvent(const CallerAnswer &answer)
{
    return "event: answer\n" + event(std::visit(AnswerWriter(), answer));
}

HttpResponse encodeChat(const ChatCompletionInfo &completion, const CallResult &result)
{
    const Json message = {{"role", "assistant"}, {"content", result.body}};
    const Json choice = {{"index", 0}, {"message", message}, {"finish_reason", result.finishReason}};
    Json json = chatFrame(completion, "chat.completion", Json::array({choice}));
    json["usage"] = chatUsage(result);
    HttpResponse response;
    response.body = dump(json);
    return response;
}

std::string encodeChatPieces(const ChatCompletionInfo &completion, const std::vector<std::string> &pieces)
{
    std::string text;
    for (const auto &it : pieces) {
        text += event(chunk(completion, {{"role", "assistant"}, {"content", it}}, nullptr));
    }
    return text;
}

std::string encodeChatEnd(const ChatCompletionInfo &completion, const CallResult &result, bool includeUsage)
{
    std::string text = event(chunk(completion, Json::object(), result.finishReason));
    if (includeUsage) {
        Json json = chatFrame(completion, "chat.completion.chunk", Json::array());
        json["usage"] = chatUsage(result);
        text += event(json);
    }
    return text + "data: [DONE]\n\n";
}

std::string encodeChatError(const Error &error)
{
    return event(errorJson(error));
}

} // namespace Vanillahall
