/** Configuration that operators change at run time: latency targets of classes, and declared servers. */
#pragma once

#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

/** Latency target of a class of work. */
struct ClassTarget
{
    ClassName name;                     ///< The class.
    std::chrono::milliseconds target{}; ///< Longest latency of a whole program that is acceptable.
};

/** What an operator declares about a backend server. */
enum class ServerState : std::uint8_t {
    Coming,  ///< Gets work as soon as it responds.
    Leaving, ///< Gets no new work.
};

/** Declaration of one backend server. */
struct ServerDeclaration
{
    ServerName name;                         ///< The server.
    ServerState state = ServerState::Coming; ///< The declared state.
};

/** One accepted change, as stored in the history. */
struct ConfigChange
{
    ConfigVersion version;                               ///< Version of the configuration that the change created.
    std::string operatorName;                            ///< Operator who made the change.
    WallTime at;                                         ///< When the change was made.
    std::variant<ClassTarget, ServerDeclaration> change; ///< The new value.
    std::uint64_t requestNumber{};                       ///< Chosen by the writer; shows after a lost reply whether the write took effect.
};

/** The whole configuration: all classes, all declared servers and the newest changes. */
struct ConfigRow
{
    ConfigVersion version;                  ///< Increases by one with every change.
    std::vector<ClassTarget> classes;       ///< Sorted by name.
    std::vector<ServerDeclaration> servers; ///< Sorted by name.
    std::vector<ConfigChange> history;      ///< Oldest first; bounded, see ConfigUpdaterSettings::historyLength.
};

} // namespace Vanillahall
