#include "command_func.h"

#include "log_explanation.h"
#include "request_func.h"
#include "where_text.h"

#include "vanillahall/core/error_func.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t Ok = 200;
constexpr std::uint32_t PreconditionFailed = 412;
constexpr int NameWidth = 24;
constexpr std::chrono::milliseconds WaitInterval{250};

/** Prints the error body of a response. @return The matching exit code. */
CommandExit printRefusal(const CommandAnswer &answer)
{
    const Json body = Json::parse(answer.body, nullptr, false);
    std::cerr << (body.is_object() ? body.dump(2) : answer.body) << '\n';
    if (answer.status == PreconditionFailed) {
        return CommandExit::Conflict;
    }
    const bool unknown = body.is_object() && body.contains("error") && body["error"].value("run", "") == "unknown";
    return unknown ? CommandExit::Unknown : CommandExit::Refused;
}

CommandExit printFailure(const Error &reason)
{
    std::cerr << toText(reason) << '\n';
    return reason.run == RunState::Unknown ? CommandExit::Unknown : CommandExit::Unreachable;
}

/** Sends a request. @return The JSON body of a successful response; otherwise nothing. @param exit Set to the result. */
std::optional<Json> requestJson(const CommandContext &context, const CommandRequest &request, CommandExit &exit)
{
    Error reason;
    const auto answer = sendRequest(context, request, reason);
    if (!answer) {
        exit = printFailure(reason);
        return std::nullopt;
    }
    if (answer->status != Ok) {
        exit = printRefusal(*answer);
        return std::nullopt;
    }
    exit = CommandExit::Done;
    Json body = Json::parse(answer->body, nullptr, false);
    return body.is_discarded() ? Json(answer->body) : body;
}

/** Requests a path and prints the response: JSON indented, other text as received. */
CommandExit showJson(const CommandContext &context, const std::string &path)
{
    CommandExit exit = CommandExit::Done;
    const auto body = requestJson(context, {"GET", path, "", ""}, exit);
    if (body) {
        std::cout << (body->is_string() ? body->get<std::string>() : body->dump(2)) << '\n';
    }
    return exit;
}

/** Reads the configuration and prints one of its lists, as JSON or as a table of two columns. */
CommandExit showList(const CommandContext &context, const char *list, const char *name, const char *value)
{
    CommandExit exit = CommandExit::Done;
    const auto body = requestJson(context, {"GET", "/v1/config", "", ""}, exit);
    if (!body) {
        return exit;
    }
    if (context.json) {
        std::cout << (*body)[list].dump(2) << '\n';
        return exit;
    }
    std::cout << std::left << std::setw(NameWidth) << name << value << '\n';
    for (const auto &it : (*body)[list]) {
        std::cout << std::left << std::setw(NameWidth) << it[name].get<std::string>() << it[value].dump() << '\n';
    }
    return exit;
}

/** Changes the configuration, provided that it still has the expected or, without one given, the current version. */
CommandExit change(const CommandContext &context, const std::string &path, const Json &body)
{
    CommandExit exit = CommandExit::Done;
    std::uint64_t version = 0;
    if (context.expectVersion) {
        version = *context.expectVersion;
    } else {
        const auto config = requestJson(context, {"GET", "/v1/config", "", ""}, exit);
        if (!config) {
            return exit;
        }
        version = (*config)["version"].get<std::uint64_t>();
    }
    const auto accepted = requestJson(context, {"PUT", path, body.dump(), std::to_string(version)}, exit);
    if (accepted && context.json) {
        std::cout << accepted->dump() << '\n';
    } else if (accepted) {
        std::cout << "accepted as version " << (*accepted)["version"] << '\n';
    }
    return exit;
}

CommandExit declare(const CommandContext &context, const char *state)
{
    return change(context, "/v1/servers/" + context.arguments[0], {{"state", state}});
}

} // namespace

CommandExit setTarget(const CommandContext &context)
{
    const Json target = Json::parse(context.arguments[1], nullptr, false);
    if (!target.is_number_unsigned()) {
        std::cerr << "target set: expected a whole number of milliseconds, found '" << context.arguments[1] << "'\n";
        return CommandExit::Usage;
    }
    return change(context, "/v1/classes/" + context.arguments[0], {{"target_ms", target}});
}

CommandExit listTargets(const CommandContext &context)
{
    return showList(context, "classes", "class", "target_ms");
}

CommandExit showHistory(const CommandContext &context)
{
    CommandExit exit = CommandExit::Done;
    const auto body = requestJson(context, {"GET", "/v1/config", "", ""}, exit);
    if (!body) {
        return exit;
    }
    if (context.json) {
        std::cout << (*body)["history"].dump(2) << '\n';
        return exit;
    }
    for (const auto &it : (*body)["history"]) {
        std::cout << it.dump() << '\n';
    }
    return exit;
}

CommandExit declareComing(const CommandContext &context)
{
    return declare(context, "coming");
}

CommandExit declareLeaving(const CommandContext &context)
{
    return declare(context, "leaving");
}

CommandExit listServers(const CommandContext &context)
{
    return showList(context, "servers", "server", "state");
}

CommandExit showConfig(const CommandContext &context)
{
    return showJson(context, "/v1/config");
}

CommandExit waitConfig(const CommandContext &context)
{
    const Json version = Json::parse(context.arguments[0], nullptr, false);
    if (!version.is_number_unsigned()) {
        std::cerr << "config wait: expected a version, found '" << context.arguments[0] << "'\n";
        return CommandExit::Usage;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(context.waitSeconds);
    Json outdated;
    while (std::chrono::steady_clock::now() < deadline) {
        CommandExit exit = CommandExit::Done;
        const auto state = requestJson(context, {"GET", "/v1/state", "", ""}, exit);
        if (!state) {
            return exit;
        }
        outdated = Json::array();
        for (const auto &it : (*state)["processes"]) {
            if (it["config"] < version) {
                outdated.push_back(it["name"]);
            }
        }
        if (outdated.empty()) {
            std::cout << "every process uses this version\n";
            return CommandExit::Done;
        }
        std::this_thread::sleep_for(WaitInterval);
    }
    std::cerr << "timed out; processes with an older configuration: " << outdated.dump() << '\n';
    return CommandExit::TimedOut;
}

CommandExit listOutcomes(const CommandContext &context)
{
    return showJson(context, "/v1/outcomes");
}

CommandExit settleOutcome(const CommandContext &context)
{
    const std::string &found = context.arguments[2];
    if (found != "ran" && found != "not-run") {
        std::cerr << "outcome settle: expected ran or not-run, found '" << found << "'\n";
        return CommandExit::Usage;
    }
    CommandExit exit = CommandExit::Done;
    const Json body = {{"ran", found == "ran"}};
    const auto accepted
        = requestJson(context, {"POST", "/v1/outcomes/" + context.arguments[0] + "/" + context.arguments[1], body.dump(), ""}, exit);
    if (accepted) {
        std::cout << (context.json ? accepted->dump() : "settled") << '\n';
    }
    return exit;
}

CommandExit showState(const CommandContext &context)
{
    return showJson(context, "/v1/state");
}

CommandExit reportBurn(const CommandContext &context)
{
    return showJson(context, "/v1/report/burn");
}

CommandExit showProgram(const CommandContext &context)
{
    return showJson(context, "/v1/inspect/" + context.arguments[0]);
}

CommandExit explainId(const CommandContext &context)
{
    const auto explanation = explainFromLog(std::cin, context.arguments.front());
    for (const auto &it : explanation) {
        std::cout << it << '\n';
    }
    if (explanation.empty()) {
        std::cerr << "no log line mentions " << context.arguments.front() << '\n';
    }
    return explanation.empty() ? CommandExit::Refused : CommandExit::Done;
}

CommandExit explainRequest(const CommandContext &context)
{
    const auto body = describeRequest(context);
    if (!body) {
        std::cerr << "where: expected header fields as 'Name: value'\n";
        return CommandExit::Usage;
    }
    CommandExit exit = CommandExit::Done;
    const auto explanation = requestJson(context, {"POST", "/where", *body, ""}, exit);
    if (!explanation) {
        return exit;
    }
    std::cout << (context.json ? explanation->dump(2) + "\n" : explanationText(*explanation));
    if (explanation->contains("error")) {
        std::cerr << "not known to the proxy: " << (*explanation)["error"].value("message", "") << '\n';
        return CommandExit::Undecided;
    }
    return exit;
}

CommandExit showMetrics(const CommandContext &context)
{
    return showJson(context, "/metrics");
}

} // namespace Vanillahall
