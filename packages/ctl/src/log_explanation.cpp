#include "log_explanation.h"

#include "vanillahall/core/forward_outcome_type.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace Vanillahall {

namespace {

/** A parsed log line. */
struct LogLine
{
    std::string time;                          ///< Time stamp, as written.
    std::map<std::string, std::string> fields; ///< Values by key.
    std::string text;                          ///< The line from its time stamp on.

    [[nodiscard]] std::string get(const std::string &key) const
    {
        const auto it = fields.find(key);
        return it == fields.end() ? std::string() : it->second;
    }
};

/** @return The parsed line; without fields if it is not a log line of this system. */
LogLine parseLogLine(const std::string &text)
{
    LogLine line;
    std::istringstream words(text);
    std::string word;
    std::string last;
    while (words >> word) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            last = line.fields.empty() ? word : last;
            continue;
        }
        if (line.fields.empty()) {
            line.time = last;
            line.text = text.substr(text.find(last));
        }
        line.fields.emplace(word.substr(0, equals), word.substr(equals + 1));
    }
    return line;
}

bool isAbout(const LogLine &line, const std::string &id)
{
    return line.get("request") == id || line.get("program") == id;
}

std::string meaningOf(const std::string &outcome)
{
    for (const auto &it : Forward::OutcomeTable) {
        if (it.name == outcome) {
            return std::string(it.meaning);
        }
    }
    return {};
}

} // namespace

std::vector<std::string> explainFromLog(std::istream &logs, const std::string &id)
{
    std::vector<LogLine> lines;
    std::set<std::string> processes;
    std::set<std::string> servers;
    std::string last;
    std::string text;
    while (std::getline(logs, text)) {
        auto line = parseLogLine(text);
        if (line.get("event").empty()) {
            continue;
        }
        if (isAbout(line, id)) {
            processes.insert(line.get("process"));
            std::istringstream list(line.get("servers"));
            std::string server;
            while (std::getline(list, server, ',')) {
                servers.insert(server);
            }
            last = std::max(last, line.time);
        }
        lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &a, const LogLine &b) {
        return a.time < b.time;
    });
    const std::set<std::string> contextEvents{
        "store_away", "store_back", "config_in_force", "process_started", "stop_begun", "content_quarantined"};
    const std::set<std::string> serverEvents{"server_changed", "server_limited", "server_leaving"};
    std::vector<std::string> explanation;
    for (const auto &it : lines) {
        const bool isContext = processes.count(it.get("process")) != 0 && it.time <= last
            && (contextEvents.count(it.get("name")) != 0
                || (serverEvents.count(it.get("name")) != 0 && servers.count(it.get("server")) != 0));
        if (!isAbout(it, id) && !isContext) {
            continue;
        }
        explanation.push_back(it.text);
        const auto meaning = meaningOf(it.get("outcome"));
        if (!meaning.empty()) {
            explanation.push_back("    " + meaning);
        }
    }
    return explanation;
}

} // namespace Vanillahall
