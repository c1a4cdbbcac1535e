#include "log_story.h"

#include "vanillahall/core/forward_outcome_type.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace Vanillahall {

namespace {

/** One log line, taken apart. */
struct LogLine
{
    std::string time;                          ///< Calendar time, as written.
    std::map<std::string, std::string> fields; ///< By key.
    std::string text;                          ///< The whole line from its time on.

    [[nodiscard]] std::string get(const std::string &key) const
    {
        const auto it = fields.find(key);
        return it == fields.end() ? std::string() : it->second;
    }
};

/** @return The line taken apart; without fields if it is none of ours. */
LogLine readLine(const std::string &text)
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

std::vector<std::string> tellStory(std::istream &logs, const std::string &id)
{
    std::vector<LogLine> lines;
    std::set<std::string> processes;
    std::set<std::string> servers;
    std::string last;
    std::string text;
    while (std::getline(logs, text)) {
        auto line = readLine(text);
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
    const std::set<std::string> beliefs{
        "store_away", "store_back", "config_in_force", "process_started", "stop_begun", "content_quarantined"};
    std::vector<std::string> story;
    for (const auto &it : lines) {
        const bool isBelief = processes.count(it.get("process")) != 0 && it.time <= last
            && (beliefs.count(it.get("name")) != 0 || (it.get("name") == "server_changed" && servers.count(it.get("server")) != 0));
        if (!isAbout(it, id) && !isBelief) {
            continue;
        }
        story.push_back(it.text);
        const auto meaning = meaningOf(it.get("outcome"));
        if (!meaning.empty()) {
            story.push_back("    " + meaning);
        }
    }
    return story;
}

} // namespace Vanillahall
