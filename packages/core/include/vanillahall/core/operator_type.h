/** Requests of operators to change the configuration, and the answers to them. */
#pragma once

#include "vanillahall/core/config_type.h"
#include "vanillahall/core/error_type.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Vanillahall {

/** Changes the configuration if its version is still the one that the operator saw. */
struct ConfigChangeRequest
{
    ConfigVersion expected;                              ///< Version that the operator saw.
    std::string operatorName;                            ///< Name of the operator.
    std::variant<ClassTarget, ServerDeclaration> change; ///< The change.
    std::uint64_t requestNumber{};                       ///< Random; identifies the write if its reply is lost.
};

/** The change is durable and will come into force at all processes. */
struct ConfigAccepted
{
    ConfigVersion version; ///< The new version.
};

/** The version has changed since; nothing was written. */
struct ConfigConflict
{
    ConfigRow current; ///< Current configuration.
};

using ConfigAnswer = std::variant<ConfigAccepted, ConfigConflict, Error>;

} // namespace Vanillahall
