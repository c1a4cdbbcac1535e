/** Tells from log lines what happened to one request or program. */
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace Vanillahall {

/**
 * @param logs Log lines of any number of processes, in any order.
 * @param id Id of a request or program.
 * @return Lines for a person, in order of time: each decision about the id, and what the processes concerned believed of the store, the
 *         configuration and the servers concerned up to then. Empty if no line names the id.
 */
std::vector<std::string> tellStory(std::istream &logs, const std::string &id);

} // namespace Vanillahall
