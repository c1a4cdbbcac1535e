/** All commands of the operator's terminal. */
#pragma once

#include "command_func.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace Vanillahall {

/** One row of the table. */
struct CommandRow
{
    std::string_view noun;                             ///< First word.
    std::string_view verb;                             ///< Second word; empty if there is none.
    std::string_view arguments;                        ///< Words behind it, for the help.
    std::size_t words;                                 ///< Number of words behind it.
    CommandExit (*run)(const CommandContext &context); ///< Carries it out.
    std::string_view meaning;                          ///< One sentence for operators.
};

inline constexpr auto CommandTable = std::to_array<CommandRow>({
    {"target", "set", "CLASS MILLISECONDS", 2, setTarget, "Sets the target of a class; creates the class if need be."},
    {"target", "list", "", 0, listTargets, "Lists all classes with their targets."},
    {"target", "history", "", 0, showHistory, "Shows who changed what."},
    {"server", "coming", "NAME", 1, declareComing, "Declares that a backend server is coming."},
    {"server", "leaving", "NAME", 1, declareLeaving, "Declares that a backend server is leaving."},
    {"server", "list", "", 0, listServers, "Lists all declared backend servers."},
    {"config", "show", "", 0, showConfig, "Shows the configuration in force at the entry."},
    {"config", "wait", "VERSION", 1, waitConfig, "Waits until a version is in force everywhere and names who is behind."},
    {"outcome", "list", "", 0, listOutcomes, "Lists calls whose outcome can't be learnt."},
    {"outcome", "settle", "PROGRAM TURN ran|not-run", 3, settleOutcome, "Records what an operator found out about such a call."},
    {"program", "show", "PROGRAM", 1, showProgram, "Shows a program turn by turn."},
    {"report", "burn", "", 0, reportBurn, "Shows missed targets and how fast the agreed rate is being used up."},
    {"explain", "", "ID", 1, explainId, "Tells from log lines on standard input what happened to a request or program."},
    {"state", "", "", 0, showState, "Shows what the entry holds and knows."},
    {"metrics", "", "", 0, showMetrics, "Shows the entry's counters."},
});

} // namespace Vanillahall
