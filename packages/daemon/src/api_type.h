/** API requests of callers and operators, decoded from HTTP. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/config_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Vanillahall {

/** A request to the native API for callers. */
struct CallerApi
{
    CallerRequest body; ///< The request.
    bool stream{};      ///< True for a response as server-sent events.
};

/** A chat completion request to the OpenAI-compatible API. */
struct ChatApi
{
    std::optional<CallKey> key; ///< Program and turn from the headers; without them a temporary program of one turn is created.
    ClassName className;        ///< Class of the temporary program.
    ModelInput input;           ///< Model, token limit and the messages that the program's history does not contain yet.
    bool stream{};              ///< True for a response as server-sent events.
    bool includeUsage{};        ///< True if the stream ends with a usage chunk.
};

/** An operator's change of a class target or declaration of a server. */
struct ChangeApi
{
    ConfigVersion expected;                              ///< Version from If-Match; the change is rejected if it is not the current one.
    std::variant<ClassTarget, ServerDeclaration> change; ///< The change.
};

/** Resources that operators can read. */
enum class ReadKind : std::uint8_t {
    Config,   ///< Classes, servers and change history.
    State,    ///< State of this entry: shards, gates, requests and known processes.
    Burn,     ///< Burn rate report of the service-level targets.
    Metrics,  ///< Metrics in the Prometheus text format.
    Outcomes, ///< Calls whose outcome is unknown.
};

/** An operator's read of one resource. */
struct ReadApi
{
    ReadKind kind = ReadKind::Config; ///< The resource.
};

/** An operator's resolution of a call with unknown outcome. */
struct SettleApi
{
    CallKey key; ///< The call.
    bool ran{};  ///< True if the operator established that the call ran.
};

/** An operator's request for the history of a program of any customer. */
struct InspectApi
{
    ProgramId program; ///< The program.
};

using ApiRequest = std::variant<CallerApi, ChatApi, ChangeApi, ReadApi, SettleApi, InspectApi>;

} // namespace Vanillahall
