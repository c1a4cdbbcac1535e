/** vanillahall: the operator's terminal. */
#include "table/command_table.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

namespace Vanillahall {

namespace {

namespace Options = boost::program_options;

constexpr const char *Version = VANILLAHALL_VERSION;
constexpr const char *EntryVariable = "VANILLAHALL_ENTRY";          ///< Default of --entry.
constexpr const char *ProxyVariable = "VANILLAHALL_PROXY";          ///< Default of --proxy.
constexpr const char *TokenFileVariable = "VANILLAHALL_TOKEN_FILE"; ///< Default of --token-file.

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : "";
}

void printHelp(const Options::options_description &options)
{
    std::cout << "vanillahall [options] COMMAND\n\nCommands:\n";
    for (const auto &row : CommandTable) {
        std::cout << "  " << row.noun << (row.verb.empty() ? "" : " ") << row.verb << (row.arguments.empty() ? "" : " ") << row.arguments
                  << "\n      " << row.meaning << '\n';
    }
    std::cout << '\n'
              << options << "\nExit codes: 0 success, 1 rejected, 2 invalid command line, 3 entry unreachable,\n"
              << "4 concurrent change, 5 outcome unknown, 6 timed out, 7 not known to the proxy.\n";
}

const CommandRow *findCommand(const std::vector<std::string> &words)
{
    for (const auto &row : CommandTable) {
        const std::size_t nameWords = row.verb.empty() ? 1 : 2;
        if (words.size() == nameWords + row.argumentCount && words[0] == row.noun && (row.verb.empty() || words[1] == row.verb)) {
            return &row;
        }
    }
    return nullptr;
}

bool parseAddress(const std::string &text, CommandContext &context)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    context.address = text.substr(0, colon);
    const long port = std::strtol(text.c_str() + colon + 1, nullptr, 10);
    context.port = static_cast<std::uint16_t>(port);
    return port > 0 && port <= UINT16_MAX;
}

bool readToken(const std::string &file, CommandContext &context)
{
    std::ifstream stream(file);
    return static_cast<bool>(stream >> context.token);
}

int usage(const std::string &message)
{
    std::cerr << message << "; see vanillahall --help\n";
    return static_cast<int>(CommandExit::Usage);
}

/** Addresses and files that the options name. */
struct CommandSources
{
    std::string entry;      ///< Address of an entry.
    std::string proxy;      ///< Address of the operators' listener of a proxy.
    std::string tokenFile;  ///< File with the operator's token.
    std::string headerFile; ///< File with header fields; "-" for standard input.
};

/** Reads header fields, one a line. @return False if the file can't be read. */
bool readHeaders(const std::string &file, CommandContext &context)
{
    std::ifstream stream;
    if (file != "-") {
        stream.open(file);
    }
    std::istream &lines = file == "-" ? std::cin : stream;
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (!line.empty()) {
            context.headers.push_back(line);
        }
    }
    return lines.eof();
}

int runCommand(const CommandSources &sources, CommandContext context, const std::vector<std::string> &words)
{
    const CommandRow *row = findCommand(words);
    if (row == nullptr) {
        return usage("expected a command");
    }
    const bool needsEntry = row->target == CommandTarget::Entry;
    const bool needsProxy = row->target == CommandTarget::Proxy;
    if (needsEntry && !parseAddress(sources.entry, context)) {
        return usage("expected --entry IP:PORT or " + std::string(EntryVariable));
    }
    if (needsProxy && !parseAddress(sources.proxy, context)) {
        return usage("expected --proxy IP:PORT or " + std::string(ProxyVariable) + ", the address of proxy.operator_listen");
    }
    const bool hasToken = readToken(sources.tokenFile, context);
    if (!hasToken && (needsEntry || (needsProxy && !sources.tokenFile.empty()))) {
        return usage("expected --token-file FILE or " + std::string(TokenFileVariable) + ", with a token in it");
    }
    if (needsProxy && !sources.headerFile.empty() && !readHeaders(sources.headerFile, context)) {
        return usage("--header-file can't be read");
    }
    context.arguments.assign(words.begin() + (row->verb.empty() ? 1 : 2), words.end());
    return static_cast<int>(row->run(context));
}

int run(int argc, char **argv)
{
    CommandContext context;
    CommandSources sources{fromEnvironment(EntryVariable), fromEnvironment(ProxyVariable), fromEnvironment(TokenFileVariable), {}};
    std::uint64_t expectVersion = 0;
    std::vector<std::string> words;
    Options::options_description visible("Options");
    visible.add_options()("entry", Options::value(&sources.entry), "IP:PORT of an entry")(
        "proxy", Options::value(&sources.proxy), "IP:PORT of a proxy's proxy.operator_listen, for where")(
        "header", Options::value(&context.headers), "header field 'Name: value' of where; other users can read it, so give keys by file")(
        "header-file", Options::value(&sources.headerFile), "file with header fields of where, one a line; - for standard input")(
        "body-bytes", Options::value(&context.bodyBytes), "size of the body of where")(
        "token-file", Options::value(&sources.tokenFile), "file with the operator's token")(
        "json", Options::bool_switch(&context.json), "print JSON")(
        "if-version", Options::value(&expectVersion), "change only if the configuration has this version")(
        "wait-seconds", Options::value(&context.waitSeconds), "time limit of config wait, in seconds")("version", "print the version")(
        "help", "print this help");
    Options::options_description all;
    all.add(visible).add_options()("words", Options::value(&words));
    Options::positional_options_description positional;
    positional.add("words", -1);
    Options::variables_map values;
    try {
        Options::store(Options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
        Options::notify(values);
    } catch (const Options::error &ec) {
        return usage(ec.what());
    }
    if (values.count("help") != 0) {
        printHelp(visible);
        return static_cast<int>(CommandExit::Done);
    }
    if (values.count("version") != 0) {
        std::cout << "vanillahall " << Version << '\n';
        return static_cast<int>(CommandExit::Done);
    }
    if (values.count("if-version") != 0) {
        context.expectVersion = expectVersion;
    }
    return runCommand(sources, context, words);
}

} // namespace

} // namespace Vanillahall

int main(int argc, char **argv)
{
    return Vanillahall::run(argc, argv);
}
