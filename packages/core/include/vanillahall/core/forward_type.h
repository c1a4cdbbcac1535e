/** What forwarding of single requests needs to know: routes, services, backend servers, and the facts of a request and of an answer. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** What may be repeated when an attempt has failed. */
enum class Repetition : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< May run once for each request.
    Stream,        ///< Event stream that can't be resumed; may run once.
    Resumable,     ///< Event stream that another server may continue after the last event.
};

/** One service that a route leads to. */
struct RouteTarget
{
    std::string service;  ///< Name of the service.
    std::uint32_t weight; ///< Share of the requests, against the sum of all weights of the route.
};

/** One route of the operators' configuration. */
struct Route
{
    std::string name;                              ///< Name, for logs.
    std::string host;                              ///< Host in lower case, without port.
    std::string prefix;                            ///< Beginning of the path; begins and ends with a slash.
    Repetition repetition = Repetition::Stream;    ///< What may be repeated.
    Duration timeLimit = std::chrono::seconds(30); ///< Longest time for which a request may be kept waiting.
    Duration objective = std::chrono::seconds(1);  ///< Time to the answer, or to the first event, for full credit.
    std::uint32_t rank = 0;                        ///< Urgency; 0 is the most urgent.
    std::vector<RouteTarget> targets;              ///< At least one.
    std::uint32_t maxAttempts = 1;                 ///< Most servers that may run one request.
    bool keepsConversation = false;                ///< True if a turn brings only its new input and the system adds the earlier ones.
    Duration retention{};                          ///< For how long a turn and those before it are kept after its end.
};

/** One service of the operators' configuration. */
struct Service
{
    std::uint32_t maxConnections = 16; ///< Connections that one server takes from all callers together.
    std::uint32_t slots = 0;           ///< Requests that one model engine runs at once; 0 for plain services.
    std::uint64_t memoryTokens = 0;    ///< Prompt memory of one model engine, in tokens; 0 for plain services.
    std::uint32_t tokensPerEvent = 1;  ///< Generated tokens that one event of a stream holds.
};

/** What a client may send, and how long it may take. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16384;                      ///< Request line and headers.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< Body of a request.
    Duration headerTimeout = std::chrono::seconds(3);        ///< From a request's first byte to the end of its headers.
    Duration idleTimeout = std::chrono::seconds(15);         ///< Life of a connection without a request.
};

/** One version of the operators' configuration. */
struct Config
{
    std::uint64_t version = 0;               ///< Grows with each version.
    std::vector<Route> routes;               ///< All routes.
    std::map<std::string, Service> services; ///< All services by name.
    ClientLimits limits;                     ///< Limits on clients.
};

/** One backend server, as the platform's list tells it. */
struct Server
{
    std::string id;                  ///< Name of this incarnation.
    std::string service;             ///< Service that it belongs to.
    std::string address;             ///< IP number.
    std::uint16_t port{};            ///< Port.
    std::string zone;                ///< Availability zone.
    std::uint32_t slots = 1;         ///< Requests that it runs at once.
    bool isDraining = false;         ///< True if it takes no new requests.
    Duration coldLeft{};             ///< How much longer it stays slow after its start.
    std::uint64_t startedMs{};       ///< Calendar time of its start, in Unix milliseconds; 0 if unknown.
    std::vector<std::string> models; ///< Models that it has loaded; empty for plain services.
};

/** One part of a prompt, in the order of the prompt. */
struct PromptPart
{
    std::uint64_t id{};     ///< Identity of the content.
    std::uint32_t tokens{}; ///< Length.
};

/** What the headers of a client's request say. */
struct RequestAttributes
{
    std::string requestId;                    ///< Identity of this attempt of the client; empty if missing.
    std::optional<Duration> deadline;         ///< How long the client waits, from the arrival on.
    std::string program;                      ///< Program that the request belongs to; empty if none.
    std::string session;                      ///< Line of turns that it belongs to; empty if none.
    std::optional<Duration> programTimeLeft;  ///< Time until the program should have ended; negative if late.
    std::optional<std::uint64_t> tokenBudget; ///< Tokens that all turns of the program may generate.
    std::uint32_t promptTokens{};             ///< Length of the prompt.
    std::uint32_t maxGenerated{};             ///< Most tokens that this turn generates.
    std::vector<PromptPart> promptParts;      ///< Parts of the prompt; empty if not told.
    std::string model;                        ///< Model that is asked for; empty if none.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the client has, if it resumes a stream.
    std::string previousTurn;                 ///< Request id of the turn that this one goes on from; empty if none.
    bool isTurnFaulty = false;                ///< True if the turn before is named twice or by what can't be a name.
};

/** Load that a server told with an answer. */
struct ServerLoad
{
    std::uint32_t running{}; ///< Requests that run.
    std::uint32_t waiting{}; ///< Requests that wait for a slot.
    std::uint32_t slots{};   ///< Requests that can run at once.
};

/** What the headers of a server's answer say. */
struct ResponseAttributes
{
    std::optional<std::string> requestId; ///< Request that it answers.
    bool isSigned = false;                ///< True if the server vouches for the answer.
    bool isNotRun = false;                ///< True if the server says that it didn't run the request.
    bool isEncoded = false;               ///< True if the body is in another encoding than asked for.
    std::optional<ServerLoad> load;       ///< Load at the time of the answer.
    bool isEventStream = false;           ///< True if the body is a series of events.
    std::optional<Duration> keepAlive;    ///< For how long the server keeps the connection when it is idle.
};

} // namespace Vanillahall::Forward
