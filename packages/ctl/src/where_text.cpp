#include "where_text.h"

#include <array>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

constexpr int TitleWidth = 12;
constexpr int ServerWidth = 24;
constexpr int TermWidth = 10;
constexpr auto Sections = std::to_array<const char *>({"config", "customer", "admission", "rate_limit", "tokens"});
constexpr auto Terms = std::to_array<const char *>({"wait", "prefill", "load", "zone", "penalty", "run", "saved", "home", "spread"});
constexpr auto Ages = std::to_array<const char *>({"load_report", "pace", "event_time", "failures", "rate_limit"});

std::string text(const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/** @return Field of an object; null if there is none. */
Json field(const Json &object, const char *name)
{
    return object.is_object() ? object.value(name, Json()) : Json();
}

void printFields(std::ostream &out, const char *title, const Json &object)
{
    if (!object.is_object()) {
        return;
    }
    out << std::left << std::setw(TitleWidth) << title;
    for (const auto &[name, value] : object.items()) {
        out << name << '=' << text(value) << ' ';
    }
    out << '\n';
}

void printServers(std::ostream &out, const Json &choice)
{
    out << std::left << std::setw(TitleWidth) << "servers" << text(field(choice, "known")) << " known, "
        << text(field(choice, "considered")) << " considered; terms of the weight in ms, ages in ms\n  " << std::setw(ServerWidth)
        << "server" << std::right << std::setw(TermWidth) << "weight";
    for (const auto *it : Terms) {
        out << std::setw(TermWidth) << it;
    }
    out << "  zone, excluded by, ages\n";
    const auto servers = field(choice, "servers");
    for (const auto &it : servers) {
        out << "  " << std::left << std::setw(ServerWidth) << text(field(it, "server")) << std::right << std::setw(TermWidth)
            << text(field(it, "weight_ms"));
        const auto terms = field(it, "terms_ms");
        for (const auto *term : Terms) {
            out << std::setw(TermWidth) << text(field(terms, term));
        }
        out << "  " << text(field(it, "zone")) << ' ' << text(field(it, "excluded_by"));
        const auto ages = field(it, "ages_ms");
        for (const auto *age : Ages) {
            out << ' ' << age << '=' << text(field(ages, age));
        }
        out << '\n';
    }
}

} // namespace

std::optional<std::string> describeRequest(const CommandContext &context)
{
    Json headers = Json::array();
    for (const auto &it : context.headers) {
        const auto colon = it.find(':');
        if (colon == std::string::npos || colon == 0) {
            return std::nullopt;
        }
        const auto value = it.find_first_not_of(" \t", colon + 1);
        headers.push_back({it.substr(0, colon), value == std::string::npos ? std::string() : it.substr(value)});
    }
    const Json body = {{"method", context.arguments.at(0)},
                       {"host", context.arguments.at(1)},
                       {"path", context.arguments.at(2)},
                       {"headers", std::move(headers)},
                       {"body_bytes", context.bodyBytes}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string explanationText(const Json &explanation)
{
    std::ostringstream out;
    const auto choice = field(explanation, "choice");
    const auto verdict = text(field(explanation, "verdict"));
    out << std::left << std::setw(TitleWidth) << "verdict" << verdict;
    if (verdict == "sent") {
        out << " to " << text(field(choice, "chosen"));
    }
    out << '\n' << std::setw(TitleWidth) << "reason" << text(field(explanation, "reason")) << '\n';
    if (const auto wait = field(explanation, "max_wait_ms"); !wait.is_null()) {
        out << std::setw(TitleWidth) << "waits"
            << "at most " << text(wait) << " ms; then:\n";
    }
    printFields(out, "refusal", field(explanation, "refusal"));
    out << std::setw(TitleWidth) << "route" << text(field(explanation, "route")) << ", service " << text(field(explanation, "service"))
        << '\n'
        << std::setw(TitleWidth) << "inputs"
        << "server list " << text(field(explanation, "server_list_age_ms")) << " ms old, store "
        << (field(explanation, "store_reachable") == Json(true) ? "reachable" : "not reachable") << '\n';
    for (const auto *it : Sections) {
        printFields(out, it, field(explanation, it));
    }
    if (choice.is_object()) {
        printServers(out, choice);
    }
    const auto notes = field(explanation, "notes");
    for (const auto &it : notes) {
        out << std::left << std::setw(TitleWidth) << "note" << text(it) << '\n';
    }
    return out.str();
}

} // namespace Vanillahall
