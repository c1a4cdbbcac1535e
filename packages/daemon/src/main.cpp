/** vanillahalld: an entry or a gate. */
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
    ExitOk = 0,       ///< Stopped as asked, or the settings are right.
    ExitUsage = 2,    ///< The command line is wrong.
    ExitSettings = 3, ///< The settings are wrong; nothing was started.
    ExitStart = 4,    ///< The process could not start.
};

/** The command line, taken apart. */
struct CommandLine
{
    std::string config;                 ///< Path of the settings file.
    std::vector<std::string> overrides; ///< "section.key=value".
    bool checkOnly = false;             ///< True if the settings are only to be checked.
};

/** Moves the overrides out of the arguments; Boost.Program_options reads the rest. */
std::vector<std::string> takeOverrides(int argc, char **argv, std::vector<std::string> &overrides)
{
    std::vector<std::string> rest;
    for (int n = 1; n < argc; n++) {
        const std::string word = argv[n];
        const auto name = word.substr(0, word.find('='));
        if (word.rfind("--", 0) == 0 && name.find('.') != std::string::npos) {
            overrides.push_back(word.substr(2));
        } else {
            rest.push_back(word);
        }
    }
    return rest;
}

bool readFile(const std::string &path, std::string &text, std::vector<SettingsError> &errors)
{
    std::ifstream stream(path);
    if (!stream) {
        errors.push_back({path, 0, "", "", "expected a file that can be read"});
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
    beginLog(settings.name, settings.logLevel, LogTarget::BoundedOutput);
    Error reason;
    const auto readAgain = [&command](std::vector<SettingsError> &errors) -> std::optional<Settings> {
        auto read = loadSettings(command, errors);
        return errors.empty() ? std::optional(std::move(read)) : std::nullopt;
    };
    if (!runProxy(settings, command.config, readAgain, reason)) {
        std::cerr << toText(reason) << '\n';
        return ExitStart;
    }
    return ExitOk;
}

int runProcess(const Settings &settings)
{
    beginLog(settings.name, settings.logLevel, LogTarget::StandardError);
    Error reason;
    const auto self = readIdentity(settings, Incarnation{freshRandom()}, reason);
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
        "check-config", Options::bool_switch(&command.checkOnly), "check the settings and exit")(
        "settings-reference", "print the table of all settings and exit")("version", "print the version and exit")("help",
                                                                                                                   "print this and exit");
    Options::variables_map values;
    try {
        const auto rest = takeOverrides(argc, argv, command.overrides);
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
