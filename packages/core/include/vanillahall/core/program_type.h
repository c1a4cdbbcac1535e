/** Programs and their turns, as stored by the holder. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Vanillahall {

/** A turn recorded in the journal. */
struct TurnRecord
{
    ContentHash content;                ///< Fingerprint of its content.
    CallInput input;                    ///< Input of the call.
    std::optional<CallOutcome> outcome; ///< Its outcome; nothing while the journal has only the intent.
    ServerName server;                  ///< Server where it runs or ran.
    Incarnation incarnation;            ///< Incarnation of the gate that the intent is bound to; unset once the turn has ended.
    Attempt attempt;                    ///< Newest attempt.
    WallTime began;                     ///< When it was submitted.
    WallTime ended;                     ///< When it ended; unset before.
    std::uint64_t spentTokens{};        ///< Tokens charged to the budget.
    std::string settledBy;              ///< Operator who settled an unknown outcome; empty if none did.
};

/** One program. */
struct Program
{
    ProgramId id;                     ///< Its name.
    ProgramId parent;                 ///< Its parent; equal to `id` for a root.
    ProgramId root;                   ///< The program whose budget and start time it shares.
    CustomerName customer;            ///< Who owns it.
    ClassName className;              ///< Its class.
    Budget budget;                    ///< Budget, if it is a root; unused for a sub-agent.
    WallTime began;                   ///< When it was created.
    ContentHash request;              ///< Fingerprint of an idempotency key; zero if none was given.
    std::map<Turn, TurnRecord> turns; ///< All turns in order, without gaps.
    std::vector<ProgramId> children;  ///< Its sub-agents, oldest first.
    std::optional<WallTime> ended;    ///< When it ended; nothing before.
};

/** @return The newest turn that has ended; 0 if none. */
inline Turn lastFinished(const Program &program)
{
    Turn last;
    for (const auto &[turn, record] : program.turns) {
        if (record.outcome) {
            last = turn;
        }
    }
    return last;
}

/** @return Servers where the program's turns run or ran, which may hold engine memory for it. */
inline std::set<ServerName> serversOf(const Program &program)
{
    std::set<ServerName> servers;
    for (const auto &[turn, record] : program.turns) {
        if (!record.server.empty()) {
            servers.insert(record.server);
        }
    }
    return servers;
}

/** @return True if the call must run at most once. */
inline bool isNonRepeatable(const CallInput &input)
{
    const auto *service = std::get_if<ServiceCall>(&input);
    return service != nullptr && !service->repeatable;
}

/** @return The error of an outcome; null if it is a result. */
inline const Error *findError(const CallOutcome &outcome)
{
    return std::get_if<Error>(&outcome);
}

} // namespace Vanillahall
