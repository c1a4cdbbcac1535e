/** Prompts of model turns and requirements of calls on their server. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/core/program_type.h"
#include "vanillahall/core/worker_registry_base.h"

#include <string>
#include <vector>

namespace Vanillahall {

/**
 * Builds the prompt of a model turn.
 * @return JSON objects, one for each message: input and answer of each earlier model turn, then the new input.
 */
std::vector<std::string> promptMessages(const Program &program, const CallKey &key, const ModelInput &input);

/** @return Requirements of a submitted turn on its server; token counts are estimates. */
PlacementRequest placementRequest(const Program &program, const SubmitCall &call);

} // namespace Vanillahall
