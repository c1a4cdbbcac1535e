/** Reconstructs from log lines what happened to one request or program. */
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace Vanillahall {

/**
 * @param logs Log lines of any number of processes, in any order.
 * @param id Id of a request or program.
 * @return Readable lines in chronological order: each decision about the id and, as context, the events up to then by which the processes
 *         involved learned the state of the store, the configuration and the servers involved. Empty if no line mentions the id.
 */
std::vector<std::string> explainFromLog(std::istream &logs, const std::string &id);

} // namespace Vanillahall
