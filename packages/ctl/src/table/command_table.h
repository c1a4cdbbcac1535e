/** All commands of the operator's terminal. */
#pragma once

#include "command_func.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace Vanillahall {

/** Process that a command asks. */
enum class CommandTarget : std::uint8_t {
    Entry, ///< An entry, with the operator's token.
    Proxy, ///< The operators' listener of a proxy; needs no token on the same VM.
    None,  ///< None.
};

/** One row of the table. */
struct CommandRow
{
    std::string_view noun;                             ///< First word.
    std::string_view verb;                             ///< Second word; empty if there is none.
    std::string_view arguments;                        ///< Arguments, for the help text.
    std::size_t argumentCount;                         ///< Number of arguments.
    CommandExit (*run)(const CommandContext &context); ///< Executes the command.
    std::string_view meaning;                          ///< Description for operators.
    CommandTarget target = CommandTarget::Entry;       ///< Process that it asks.
};

inline constexpr auto CommandTable = std::to_array<CommandRow>({
    {"target", "set", "CLASS MILLISECONDS", 2, setTarget, "Sets the target of a class; creates the class if it does not exist."},
    {"target", "list", "", 0, listTargets, "Lists all classes with their targets."},
    {"target", "history", "", 0, showHistory, "Shows the history of configuration changes."},
    {"server", "coming", "NAME", 1, declareComing, "Declares that a backend server will join."},
    {"server", "leaving", "NAME", 1, declareLeaving, "Declares that a backend server will leave."},
    {"server", "list", "", 0, listServers, "Lists all declared backend servers."},
    {"config", "show", "", 0, showConfig, "Shows the configuration in force at the entry."},
    {"config",
     "wait",
     "VERSION",
     1,
     waitConfig,
     "Waits until every process uses a configuration version; on time-out, lists those that don't."},
    {"outcome", "list", "", 0, listOutcomes, "Lists calls whose outcome is unknown."},
    {"outcome", "settle", "PROGRAM TURN ran|not-run", 3, settleOutcome, "Records whether a call of unknown outcome ran."},
    {"program", "show", "PROGRAM", 1, showProgram, "Shows a program turn by turn."},
    {"report", "burn", "", 0, reportBurn, "Shows missed targets and the burn rate of the error budget."},
    {"explain",
     "",
     "ID",
     1,
     explainId,
     "Reconstructs what happened to a request or program from log lines on standard input.",
     CommandTarget::None},
    {"where",
     "",
     "METHOD HOST PATH",
     3,
     explainRequest,
     "Explains where a proxy would send a request now, and why; sends nothing. Role proxy only; header fields come from --header-file, "
     "--header and --body-bytes.",
     CommandTarget::Proxy},
    {"state", "", "", 0, showState, "Shows the state of the entry."},
    {"metrics", "", "", 0, showMetrics, "Shows the metrics of the entry."},
});

} // namespace Vanillahall
