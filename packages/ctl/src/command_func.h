/** Commands of the operator's terminal. Results go to standard output, errors to standard error. */
#pragma once

#include "command_type.h"

namespace Vanillahall {

/** target set CLASS MILLISECONDS */
CommandExit setTarget(const CommandContext &context);
/** target list */
CommandExit listTargets(const CommandContext &context);
/** target history, config history */
CommandExit showHistory(const CommandContext &context);
/** server coming NAME */
CommandExit declareComing(const CommandContext &context);
/** server leaving NAME */
CommandExit declareLeaving(const CommandContext &context);
/** server list */
CommandExit listServers(const CommandContext &context);
/** config show */
CommandExit showConfig(const CommandContext &context);
/** config wait VERSION */
CommandExit waitConfig(const CommandContext &context);
/** outcome list */
CommandExit listOutcomes(const CommandContext &context);
/** outcome settle PROGRAM TURN ran|not-run */
CommandExit settleOutcome(const CommandContext &context);
/** state */
CommandExit showState(const CommandContext &context);
/** report burn */
CommandExit reportBurn(const CommandContext &context);
/** program show PROGRAM */
CommandExit showProgram(const CommandContext &context);
/** explain ID */
CommandExit explainId(const CommandContext &context);
/** where METHOD HOST PATH */
CommandExit explainRequest(const CommandContext &context);
/** metrics */
CommandExit showMetrics(const CommandContext &context);

} // namespace Vanillahall
