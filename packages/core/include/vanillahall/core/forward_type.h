/** Types of request forwarding: routes, services, backend servers, and the attributes of requests and responses. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** Whether a request may be sent again after a failed attempt. */
enum class Repetition : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Must not run more than once.
    Stream,        ///< Event stream that can't be resumed; must not run more than once.
    Resumable,     ///< Event stream that another server can continue after the last event.
};

/** Service that a route leads to. */
struct RouteTarget
{
    std::string service;  ///< Name of the service.
    std::uint32_t weight; ///< Share of the requests, relative to the sum of the route's weights.
};

/** One route of the operators' configuration. */
struct Route
{
    std::string name;                              ///< Name, for logs.
    std::string host;                              ///< Host in lower case, without port.
    std::string prefix;                            ///< Path prefix; begins and ends with a slash.
    Repetition repetition = Repetition::Stream;    ///< Whether requests may be sent again.
    Duration timeLimit = std::chrono::seconds(30); ///< Maximum time until a request is answered.
    Duration objective
        = std::chrono::seconds(1);    ///< Time to the response, or to the first event, that counts fully towards the service objective.
    std::uint32_t rank = 0;           ///< Urgency; 0 is the most urgent.
    std::vector<RouteTarget> targets; ///< At least one.
    std::uint32_t maxAttempts = 1;    ///< Maximum number of servers that may run one request.
    bool storesConversation = false;  ///< True if a turn sends only its new input and the system adds the earlier turns.
    Duration retention{};             ///< How long a turn and those before it are stored after its end.
    bool isSticky = false;            ///< True if a server that handled a request's object lately answers faster.
    bool needsKey = true;             ///< True if a request needs a customer's API key, provided that the configuration has customers.
};

/** One service of the operators' configuration. */
struct Service
{
    std::uint32_t maxConnections = 16; ///< Connections that one server accepts from all proxies together.
    std::uint32_t slots = 0;           ///< Requests that a model engine runs at once; 0 for plain services.
    std::uint64_t memoryTokens = 0;    ///< KV cache size of a model engine, in tokens; 0 for plain services.
    std::uint32_t tokensPerEvent = 1;  ///< Generated tokens per event of a stream.
};

/** Rate limit of a customer, over all proxies together. */
struct CustomerLimit
{
    double perSecond = 0; ///< Requests per second; 0 for no limit.
    double burst = 0;     ///< Requests beyond the rate that may come at once.

    bool operator==(const CustomerLimit &) const = default;
};

/** A customer, whose clients identify themselves by its API keys. */
struct Customer
{
    std::string name;              ///< Name, as servers are told it.
    std::vector<std::string> keys; ///< API keys; secret.
    std::uint32_t rank = 0;        ///< Urgency; 0 is the most urgent. Precedes the rank of the route.
    CustomerLimit limit;           ///< Rate limit.
};

/** Limits on the size and duration of client requests. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16384;                      ///< Maximum size of request line and headers.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< Maximum size of a request body.
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15); ///< How long a connection without a request stays open.
};

/** One version of the operators' configuration. */
struct Config
{
    std::uint64_t version = 0;               ///< Version number; grows with each change.
    std::vector<Route> routes;               ///< All routes.
    std::map<std::string, Service> services; ///< All services by name.
    ClientLimits limits;                     ///< Limits on clients.
    std::vector<Customer> customers;         ///< All customers.
    bool hasCustomers = false;               ///< True if the configuration names customers, even none; requests then need API keys.
};

/** Version of the software of backend servers. What two versions write in a stream doesn't fit together. */
struct SoftwareVersion
{
    std::string service; ///< Service of the servers; empty if the version is unknown.
    std::string version; ///< Version as the servers name it; empty if they don't.

    [[nodiscard]] bool isUnknown() const
    {
        return service.empty();
    }

    bool operator==(const SoftwareVersion &) const = default;
};

/** Backend server as listed by the platform. */
struct Server
{
    std::string id;                  ///< Id of this incarnation.
    std::string service;             ///< Service that it belongs to.
    std::string address;             ///< IP number.
    std::uint16_t port{};            ///< Port.
    std::string zone;                ///< Availability zone.
    std::uint32_t slots = 1;         ///< Requests that it can run at once.
    bool isDraining = false;         ///< True if it takes no new requests.
    Duration coldLeft{};             ///< Remaining time of its slow phase after the start.
    std::uint64_t startedMs{};       ///< Calendar time of its start, in Unix milliseconds; 0 if unknown.
    std::uint64_t sequence{};        ///< Number of its heartbeat; grows within one incarnation.
    std::vector<std::string> models; ///< Models that it has loaded; empty for plain services.
    std::string softwareVersion;     ///< Version of its software; empty if it isn't listed.

    /** @return Version of its software, together with its service. */
    [[nodiscard]] SoftwareVersion software() const
    {
        return {service, softwareVersion};
    }
};

/** One part of a prompt, in prompt order. */
struct PromptPart
{
    std::uint64_t id{};     ///< Hash that identifies the content.
    std::uint32_t tokens{}; ///< Length in tokens.
};

/** Attributes of a request, from its headers. */
struct RequestAttributes
{
    std::string requestId;                    ///< Id of this attempt of the client; empty if missing.
    std::optional<Duration> deadline;         ///< How long the client waits, counted from the arrival.
    std::string program;                      ///< Program of the request; empty if none.
    std::string session;                      ///< Session of the request; empty if none.
    std::optional<Duration> programTimeLeft;  ///< Time until the program's deadline; negative if it has passed.
    std::optional<std::uint64_t> tokenBudget; ///< Tokens that all turns of the program may generate.
    std::uint32_t promptTokens{};             ///< Length of the prompt in tokens.
    std::uint32_t maxGenerated{};             ///< Maximum number of tokens that this turn generates.
    std::vector<PromptPart> promptParts;      ///< Parts of the prompt; empty if not given.
    std::string model;                        ///< Requested model; empty if none.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the client has received, if it resumes a stream.
    bool resumesStream = false;               ///< True if the client resumes a stream, whether or not `lastEventId` could be read.
    std::string resumedRequest;               ///< Id of the request that brought the first event of the resumed stream; empty if not given.
    std::string previousTurn;                 ///< Request id of the turn that this one continues; empty if none.
    bool isPreviousTurnInvalid = false;       ///< True if the previous turn is named twice or with an invalid name.
    std::string customerKey;                  ///< API key; empty if none. Secret: never logged.
    std::string claimedCustomer;              ///< Customer that the client names itself; empty if none. Not to be trusted.
    std::uint32_t keyHeaders{};               ///< Number of headers with an API key; with more than one, none of them counts.
    std::string customerHeaders;              ///< Header lines with keys and claimed customers, as received. Secret: never logged.
    std::optional<std::uint32_t> lengthHint;  ///< The client's estimate of the tokens that will be generated.
    std::string object;                       ///< Key of the object that the request is about; empty if none.
};

/** Load that a server reported with a response. */
struct ServerLoad
{
    std::uint32_t running{}; ///< Running requests.
    std::uint32_t waiting{}; ///< Requests waiting for a slot.
    std::uint32_t slots{};   ///< Requests that can run at once.
    double slowdown = 1;     ///< How long work takes on the server's VM at that moment, relative to the usual time.

    bool operator==(const ServerLoad &) const = default;
};

/** Attributes of a server's response, from its headers. */
struct ResponseAttributes
{
    std::optional<std::string> requestId; ///< Id of the request that it responds to.
    bool isSigned = false;                ///< True if the server signed the response.
    bool isNotRun = false;                ///< True if the server states that it didn't run the request.
    bool isEncoded = false;               ///< True if the body has a content encoding, which was not requested.
    std::optional<ServerLoad> load;       ///< Server load at the time of the response.
    std::optional<double> rateLimit;      ///< Requests per second that the server accepts from all proxies together, if it is limited.
    bool isLeaving = false;               ///< True if the server states that it is leaving.
    bool isEventStream = false;           ///< True if the body is an event stream.
    std::optional<Duration> keepAlive;    ///< How long the server keeps an idle connection open.
};

} // namespace Vanillahall::Forward
