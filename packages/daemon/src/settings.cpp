#include "settings_func.h"

#include "table/settings_table.h"

#include <charconv>
#include <map>
#include <set>

#include <arpa/inet.h>

namespace Vanillahall {

namespace {

constexpr std::string_view Blanks = " \t\r";
constexpr std::string_view CommandLine = "command line";
constexpr std::uint64_t MaxNumber = 1'000'000'000;
constexpr std::uint64_t MaxMilliseconds = 86'400'000;

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && ec == std::errc() && end == text.data() + text.size();
}

bool isIpNumber(const std::string &text)
{
    in6_addr buf{};
    return inet_pton(AF_INET, text.c_str(), &buf) == 1 || inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

const SettingsRow *findRow(const std::string &section, const std::string &key)
{
    for (const auto &row : SettingsTable) {
        if (row.section == section && row.key == key) {
            return &row;
        }
    }
    return nullptr;
}

bool isRequired(const SettingsRow &row, Role role)
{
    const bool isEntryOrGate = role != Role::Proxy;
    return row.requiredBy == RequiredBy::All || (row.requiredBy == RequiredBy::Both && isEntryOrGate)
        || (row.requiredBy == RequiredBy::Proxy && !isEntryOrGate) || (row.requiredBy == RequiredBy::Entry && role == Role::Entry)
        || (row.requiredBy == RequiredBy::Gate && role == Role::Gate);
}

SettingsError errorAt(const SettingsLine &line, std::string message)
{
    return {line.file, line.line, line.section, line.key, std::move(message)};
}

std::string_view requiredByText(RequiredBy requiredBy)
{
    switch (requiredBy) {
    case RequiredBy::Nobody:
        return "no";
    case RequiredBy::Entry:
        return "entry";
    case RequiredBy::Gate:
        return "gate";
    case RequiredBy::Both:
        return "entry and gate";
    case RequiredBy::Proxy:
        return "proxy";
    case RequiredBy::All:
        return "all";
    }
    return "";
}

void checkCombinations(const Settings &settings, const std::string &file, std::vector<SettingsError> &errors)
{
    if (settings.linkTls.certificate.empty() != settings.linkTls.key.empty()) {
        errors.push_back({file, 0, "link", "private_key", "expected together with link.certificate"});
    }
    if (settings.entryTls.certificate.empty() != settings.entryTls.key.empty()) {
        errors.push_back({file, 0, "entry", "private_key", "expected together with entry.certificate"});
    }
    if (settings.renewInterval * 2 > settings.leaseTime) {
        errors.push_back({file, 0, "lease", "renew_interval_ms", "expected at most half of lease.time_ms"});
    }
    if (settings.role == Role::Proxy && settings.store.address.empty()) {
        errors.push_back({file, 0, "platform", "store", "expected an IP number and a port, because process.role is proxy"});
    }
    if (!settings.proxyTokensFile.empty() && settings.proxyOperatorListen.address.empty()) {
        errors.push_back({file, 0, "proxy", "operator_listen", "expected together with proxy.tokens_file"});
    }
    if (settings.role == Role::Proxy && settings.proxyOutageBudgetPercent != 0 && settings.proxyPeerListen.address.empty()) {
        errors.push_back(
            {file, 0, "proxy", "peer_listen", "expected an IP number and a port, because proxy.outage_budget_percent isn't 0"});
    }
    if (settings.role == Role::Gate && settings.serverKind == "service" && settings.service.empty()) {
        errors.push_back({file, 0, "gate", "service", "expected a non-empty text, because gate.kind is service"});
    }
}

} // namespace

bool setText(std::string &field, const std::string &value)
{
    field = value;
    return !value.empty();
}

bool setNumber(std::uint64_t &field, const std::string &value)
{
    return parseNumber(value, field) && field >= 1 && field <= MaxNumber;
}

bool setSharePercent(std::uint32_t &field, const std::string &value)
{
    constexpr std::uint64_t MaxShare = 50; // The first share is at least as large as the second.
    std::uint64_t number = 0;
    if (!parseNumber(value, number) || number > MaxShare) {
        return false;
    }
    field = static_cast<std::uint32_t>(number);
    return true;
}

bool setMilliseconds(Duration &field, const std::string &value)
{
    std::uint64_t number = 0;
    if (!parseNumber(value, number) || number < 1 || number > MaxMilliseconds) {
        return false;
    }
    field = std::chrono::milliseconds(number);
    return true;
}

bool setFlag(bool &field, const std::string &value)
{
    // Templates may write Booleans with a capital letter.
    field = value == "true" || value == "True";
    return field || value == "false" || value == "False";
}

bool setOptionalMilliseconds(std::optional<Duration> &field, const std::string &value)
{
    Duration span{};
    if (!setMilliseconds(span, value)) {
        return false;
    }
    field = span;
    return true;
}

bool setOptionalSeconds(std::optional<Duration> &field, const std::string &value)
{
    double number = 0;
    const char *end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, number);
    const std::chrono::duration<double> span(number);
    const bool isInRange = span >= std::chrono::milliseconds(1) && span <= std::chrono::milliseconds(MaxMilliseconds);
    if (read.ec != std::errc() || read.ptr != end || !isInRange) {
        return false;
    }
    field = std::chrono::duration_cast<Duration>(span);
    return true;
}

bool setOptionalAmount(std::optional<double> &field, const std::string &value)
{
    constexpr double MaxAmount = 1e6;
    double number = 0;
    const char *end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end || !(number >= 0 && number <= MaxAmount)) {
        return false;
    }
    field = number;
    return true;
}

bool setEndpoint(Endpoint &field, const std::string &value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string address = value.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    std::uint64_t port = 0;
    if (!isIpNumber(address) || !parseNumber(std::string_view(value).substr(colon + 1), port) || port > UINT16_MAX) {
        return false;
    }
    field = Endpoint{address, static_cast<std::uint16_t>(port)};
    return true;
}

bool setRole(Role &field, const std::string &value)
{
    field = value == "gate" ? Role::Gate : (value == "proxy" ? Role::Proxy : Role::Entry);
    return value == "gate" || value == "entry" || value == "proxy";
}

bool setServerKind(std::string &field, const std::string &value)
{
    field = value;
    return value == "model" || value == "service";
}

bool setPlacement(std::string &field, const std::string &value)
{
    field = value;
    return value == "learned" || value == "fixed";
}

bool setSwitch(bool &field, const std::string &value)
{
    field = value == "on";
    return value == "on" || value == "off";
}

bool setLogLevel(std::string &field, const std::string &value)
{
    field = value;
    return value == "info" || value == "warning" || value == "error";
}

std::vector<SettingsLine> splitSettings(const std::string &file, std::string_view text, std::vector<SettingsError> &errors)
{
    std::vector<SettingsLine> lines;
    std::string section;
    std::uint32_t number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        number++;
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            continue;
        }
        if (line.front() == '[' && line.back() == ']') {
            section = trim(line.substr(1, line.size() - 2));
            continue;
        }
        const auto equals = line.find('=');
        if (equals == std::string_view::npos) {
            errors.push_back({file, number, section, std::string(line), "expected [section], key = value, or a comment"});
            continue;
        }
        lines.push_back({file, number, section, std::string(trim(line.substr(0, equals))), std::string(trim(line.substr(equals + 1)))});
    }
    return lines;
}

std::optional<SettingsLine> splitOverride(std::string_view text, std::vector<SettingsError> &errors)
{
    const auto equals = text.find('=');
    const auto dot = text.substr(0, equals).find('.');
    if (equals == std::string_view::npos || dot == std::string_view::npos) {
        errors.push_back({std::string(CommandLine), 0, "", std::string(text), "expected --section.key=value"});
        return std::nullopt;
    }
    return SettingsLine{std::string(CommandLine),
                        0,
                        std::string(text.substr(0, dot)),
                        std::string(text.substr(dot + 1, equals - dot - 1)),
                        std::string(trim(text.substr(equals + 1)))};
}

Settings readSettings(const std::string &file, const std::vector<SettingsLine> &lines, std::vector<SettingsError> &errors)
{
    Settings settings;
    std::set<const SettingsRow *> present;
    std::map<const SettingsRow *, std::string> sources;
    for (const auto &line : lines) {
        const SettingsRow *row = findRow(line.section, line.key);
        if (row == nullptr) {
            errors.push_back(errorAt(line, "expected a known key; this one does not exist"));
            continue;
        }
        const auto source = sources.find(row);
        if (source != sources.end() && source->second == line.file) {
            errors.push_back(errorAt(line, "expected once; it was given before"));
            continue;
        }
        sources[row] = line.file;
        present.insert(row);
        if (!row->set(settings, line.value)) {
            errors.push_back(errorAt(line, "expected " + std::string(row->form) + ", found '" + line.value + "'"));
        }
    }
    for (const auto &row : SettingsTable) {
        if (isRequired(row, settings.role) && present.count(&row) == 0) {
            errors.push_back(
                {file, 0, std::string(row.section), std::string(row.key), "expected " + std::string(row.form) + "; it is missing"});
        }
    }
    checkCombinations(settings, file, errors);
    return settings;
}

std::string toText(const SettingsError &error)
{
    std::string text = error.file;
    if (error.line != 0) {
        text += ":" + std::to_string(error.line);
    }
    return text + ": [" + error.section + "] " + error.key + ": " + error.message;
}

std::string settingsReference()
{
    std::string text = "| setting | form | needed by | meaning |\n| --- | --- | --- | --- |\n";
    for (const auto &row : SettingsTable) {
        text += "| `" + std::string(row.section) + "." + std::string(row.key) + "` | " + std::string(row.form) + " | "
            + std::string(requiredByText(row.requiredBy)) + " | " + std::string(row.meaning) + " |\n";
    }
    return text;
}

} // namespace Vanillahall
