/** Context and results of the operator's commands. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Result of a command, used as exit code. */
enum class CommandExit : int {
    Done = 0,        ///< Success.
    Refused = 1,     ///< The entry rejected the request; nothing was changed.
    Usage = 2,       ///< Invalid command line.
    Unreachable = 3, ///< The entry did not respond.
    Conflict = 4,    ///< The configuration was changed concurrently; the current one is printed.
    Unknown = 5,     ///< The change may have been applied; check before retrying.
    TimedOut = 6,    ///< The condition was not met within the time limit.
    Undecided = 7,   ///< The proxy can't know what would happen to the request.
};

/** Input of every command. */
struct CommandContext
{
    std::string address;                        ///< IP address of an entry or proxy.
    std::uint16_t port{};                       ///< Its port.
    std::string token;                          ///< The operator's token.
    bool json{};                                ///< True to print JSON.
    std::optional<std::uint64_t> expectVersion; ///< Configuration version that a change is conditional on; nothing means the current one.
    std::uint64_t waitSeconds = 30;             ///< Time limit of `config wait`.
    std::vector<std::string> headers;           ///< Header fields of the request of `where`, as "Name: value".
    std::uint64_t bodyBytes = 0;                ///< Size of its body.
    std::vector<std::string> arguments;         ///< Arguments after the command's name.
};

/** Response of an entry. */
struct CommandAnswer
{
    std::uint32_t status{}; ///< HTTP status.
    std::string body;       ///< Response body.
};

} // namespace Vanillahall
