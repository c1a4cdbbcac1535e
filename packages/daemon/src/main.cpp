/** vanillahalld: runs an entry, a gate or a proxy. */
#include "log_func.h"
#include "process_func.h"
#include "settings_func.h"

#include "vanillahall/core/error_func.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

namespace Vanillahall {

namespace {

namespace Options = boost::program_options;

constexpr const char *Version = VANILLAHALL_VERSION;

/** Exit codes, as documented in docs/OPERATIONS.md. */
enum ExitCode {
    ExitOk = 0,       ///< Stopped on request, or the settings are valid.
    ExitUsage = 2,    ///< Invalid command line.
    ExitSettings = 3, ///< Invalid settings; nothing was started.
    ExitStart = 4,    ///< The process could not start.
};

/** Parsed command line. */
struct CommandLine
{
    std::string config;                 ///< Path of the settings file.
    std::vector<std::string> overrides; ///< "section.key=value".
    bool checkOnly = false;             ///< True to validate the settings and exit.
};

/** Splits off the overrides, whose names Boost.Program_options does not know. @return The other arguments. */
std::vector<std::string> extractOverrides(int argc, char **argv, std::vector<std::string> &overrides)
{
    std::vector<std::string> rest;
    for (int n = 1; n < argc; n++) {
        const std::string argument = argv[n];
        const auto name = argument.substr(0, argument.find('='));
        if (argument.rfind("--", 0) == 0 && name.find('.') != std::string::npos) {
            overrides.push_back(argument.substr(2));
        } else {
            rest.push_back(argument);
        }
    }
    return rest;
}

bool readFile(const std::string &path, std::string &text, std::vector<SettingsError> &errors)
{
    std::ifstream stream(path);
    if (!stream) {
        errors.push_back({path, 0, "", "", "expected a readable file"});
        return false;
    }
    std::ostringstream buf;
    buf << stream.rdbuf();
    text = buf.str();
    return true;
}

Settings loadSettings(const CommandLine &command, std::vector<SettingsError> &errors)
{
    std::string text;
    if (!readFile(command.config, text, errors)) {
        return {};
    }
    auto lines = splitSettings(command.config, text, errors);
    for (const auto &it : command.overrides) {
        auto line = splitOverride(it, errors);
        if (line) {
            lines.push_back(std::move(*line));
        }
    }
    return readSettings(command.config, lines, errors);
}

int runProxyProcess(const Settings &settings, const CommandLine &command)
{
    initLog(settings.name, settings.logLevel, LogTarget::BoundedOutput);
    Error reason;
    const auto reloadSettings = [&command](std::vector<SettingsError> &errors) -> std::optional<Settings> {
        auto read = loadSettings(command, errors);
        return errors.empty() ? std::optional(std::move(read)) : std::nullopt;
    };
    if (!runProxy(settings, command.config, reloadSettings, reason)) {
        std::cerr << toText(reason) << '\n';
        return ExitStart;
    }
    return ExitOk;
}

int runProcess(const Settings &settings)
{
    initLog(settings.name, settings.logLevel, LogTarget::StandardError);
    Error reason;
    const auto self = readIdentity(settings, Incarnation{randomNumber()}, reason);
    if (!self) {
        std::cerr << toText(reason) << '\n';
        return ExitSettings;
    }
    Loop loop;
    const bool started = settings.role == Role::Entry ? runEntry(loop, settings, *self, reason) : runGate(loop, settings, *self, reason);
    if (!started) {
        std::cerr << toText(reason) << '\n';
        return ExitStart;
    }
    return ExitOk;
}

int runCommand(const CommandLine &command)
{
    std::vector<SettingsError> errors;
    const Settings settings = loadSettings(command, errors);
    for (const auto &it : errors) {
        std::cerr << toText(it) << '\n';
    }
    if (!errors.empty()) {
        return ExitSettings;
    }
    if (command.checkOnly) {
        std::cout << command.config << ": ok\n";
        return ExitOk;
    }
    return settings.role == Role::Proxy ? runProxyProcess(settings, command) : runProcess(settings);
}

int run(int argc, char **argv)
{
    CommandLine command;
    Options::options_description description("vanillahalld --config FILE [--section.key=value ...]");
    description.add_options()("config", Options::value(&command.config), "settings file (INI)")(
        "check-config", Options::bool_switch(&command.checkOnly), "validate the settings and exit")(
        "settings-reference", "print the table of all settings and exit")("version",
                                                                          "print the version and exit")("help", "print this help and exit");
    Options::variables_map values;
    try {
        const auto rest = extractOverrides(argc, argv, command.overrides);
        Options::store(Options::command_line_parser(rest).options(description).run(), values);
        Options::notify(values);
    } catch (const Options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return ExitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return ExitOk;
    }
    if (values.count("version") != 0) {
        std::cout << "vanillahalld " << Version << '\n';
        return ExitOk;
    }
    if (values.count("settings-reference") != 0) {
        std::cout << settingsReference();
        return ExitOk;
    }
    if (command.config.empty()) {
        std::cerr << "expected --config FILE\n" << description;
        return ExitUsage;
    }
    return runCommand(command);
}

} // namespace

} // namespace Vanillahall

int main(int argc, char **argv)
{
    return Vanillahall::run(argc, argv);
}
