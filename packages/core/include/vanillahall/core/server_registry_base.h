/**
 * Registry of backend servers with their load and prefix cache contents, and the choice of a server for each request.
 * Load pattern: many entries send to the same servers and learn of each other's requests late. Each entry counts its own requests exactly,
 * adds the load that servers report with their responses, and compares waiting, prefill and distance in one unit, the expected time.
 */
#pragma once

#include "vanillahall/core/forward_type.h"
#include "vanillahall/core/placement/choice_explanation_type.h"
#include "vanillahall/core/placement/object_directory_base.h"
#include "vanillahall/core/placement/server_backlog_base.h"
#include "vanillahall/core/placement/server_index_base.h"
#include "vanillahall/core/placement/work_estimator_base.h"
#include "vanillahall/core/server_rate_limit_base.h"

#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/**
 * Parameters of the server choice. What depends on a deployment is learned; these are the proxy's preferences, as times that a request
 * would rather wait. docs/design/08-where-a-request-goes.md tells how they were found.
 */
struct ChoiceSettings
{
    Placement placement = Placement::Learned; ///< Whether costs and paces are learned.
    double crossZoneMs = 4.0;                 ///< Penalty for a server in another availability zone, in milliseconds; about a round trip.
    double perRequestMs
        = 2.0; ///< Delay per request that the server already has, in milliseconds; spreads requests over servers with free slots.
    double homeBonusMs = 150.0; ///< Bonus for the home server, in milliseconds; all entries prefer it, so later turns find their cache
                                ///< there. A program's further turns gain from it, so it exceeds the time of one prefill.
    std::uint32_t newTokensPerTurn
        = StartingFreshTokens;    ///< Prompt tokens that a turn adds to its session, assumed where the earlier turns aren't known.
    double slownessMs = 200.0;    ///< Penalty per multiple of the usual time per event, in milliseconds; outweighs the home bonus.
    double failureRateMs = 300.0; ///< Penalty for a server whose requests all fail, in milliseconds; two failures outweigh the home bonus.
    double coldStartMs = 100.0;   ///< Penalty for a server that is still slow after its start, in milliseconds; less than the home bonus.
    double backoffMs = 400.0;     ///< Penalty for a server in back-off after a failure or a refusal, in milliseconds; exceeds the others.
};

/** Request to choose a server for. */
struct ChoiceRequest
{
    std::string service;                                    ///< Name of the service.
    const RequestAttributes *attributes = nullptr;          ///< Attributes of the request.
    std::uint32_t maxConnections = 16;                      ///< Connections that one server accepts from all proxies together.
    const std::set<std::string> *avoided;                   ///< Servers that already refused or failed this request.
    std::string homeZone;                                   ///< Availability zone of the program's home server; empty for any.
    const std::vector<SoftwareVersion> *software = nullptr; ///< Software versions of which the server has to be one; null for any.
    std::string_view route = {};                            ///< Name of the route.
    std::string_view customer = {};                         ///< Name of the customer; empty if none.
    bool isSticky = false;                                  ///< True if servers that handled the request's object lately answer faster.
    std::uint32_t tokensPerEvent = 1;                       ///< Generated tokens in one event.
};

/** Result of the choice. */
struct Choice
{
    Server server;                    ///< Chosen server.
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that it has to prefill, as far as known.
    double expectedMs = 0;            ///< Expected delay until the server responds, including penalties, in milliseconds.
    WorkPlan plan;                    ///< Expected course of the request.
};

/** Paces of the known servers that have been measured. */
struct PaceSummary
{
    std::size_t measured = 0; ///< Number of servers.
    double fastest = 1;       ///< Time that work takes at the fastest one, relative to the usual time.
    double median = 1;        ///< The same at the median.
    double slowest = 1;       ///< The same at the slowest one.
};

/** Tracks servers and their load, and chooses among them. */
class ServerRegistry
{
public:
    ServerRegistry(std::string zone, ChoiceSettings settings);
    ServerRegistry(const ServerRegistry &) = delete; // The index by service points into this object.
    ServerRegistry &operator=(const ServerRegistry &) = delete;
    ~ServerRegistry() = default;

    // Commands.

    /**
     * Updates the registry from a complete list of servers.
     * @param list Servers; those that are missing in it are removed.
     * @param wasListUnavailable True if the list couldn't be read for a while: servers whose rows expired meanwhile get ListingGrace to be
     * listed again.
     * @return Ids of the servers that are new, removed, or have started or stopped draining.
     */
    std::vector<std::string> update(const std::vector<Server> &list, bool wasListUnavailable, TimePoint now);
    /** Records a request that was sent to a server. */
    void recordStart(const std::string &id, std::uint32_t uncachedTokens, const RequestAttributes &attributes, TimePoint now);
    /** Records a request that was sent to the chosen server. */
    void recordStart(const Choice &choice, const RequestAttributes &attributes, TimePoint now);
    /** Records the first event of a stream: the prompt is prefilled. */
    void recordFirstEvent(const std::string &id, std::uint32_t uncachedTokens);
    /** Records the end of a request at a server. @param hadFirstEvent True if recordFirstEvent() was called for it. */
    void recordEnd(const std::string &id, std::uint32_t uncachedTokens, bool hadFirstEvent);
    /** Records the end of a request at the chosen server, and learns from it if it is complete. */
    void recordEnd(const Choice &choice, const AttemptTimes &times, TimePoint now);
    /** Records the load that a server reported. */
    void recordLoad(const std::string &id, const ServerLoad &load, TimePoint now);
    /**
     * Records the rate limit that a response names, or that it names none.
     * @param sentAt When the request was sent. A response to a request that was sent before the limit was named doesn't end the limit.
     * @return True if the limit has begun, changed or ended.
     */
    bool recordRateLimit(const std::string &id, std::optional<double> rate, TimePoint sentAt, TimePoint now);
    /**
     * Records that a server has stated that it is leaving. It gets no new requests until it has restarted, whatever the list says.
     * @return True if it wasn't known to be leaving.
     */
    bool recordLeaving(const std::string &id);
    /** Records that a server couldn't be reached or broke a connection. */
    void recordFailure(const std::string &id, TimePoint now);
    /** Records a proper response of a server. */
    void recordSuccess(const std::string &id, TimePoint now);
    /** Records the event rate of a stream that has ended. @param perEvent Time between two of its events. */
    void recordEventInterval(const std::string &id, Duration perEvent, TimePoint now);
    /** Records that a server refused a request because it is full. */
    void recordRefusal(const std::string &id, TimePoint now);
    /** Sets the number of proxies that share each server's connections and rate limit, and the rank of this one among them, from 0. */
    void setProxies(std::uint32_t proxies, std::uint32_t rank);
    /** Sets how servers are chosen. What has been learned is kept. */
    void setPlacement(Placement placement);
    /** Sets the offset of the store's clock to the clock of this process. */
    void setStoreClock(Duration offset);
    /** Records that another server was found at the address of this one. It is not used until it is listed anew or restarted. */
    void recordMisdirection(const std::string &id);

    // Queries.

    /** @return Server with the shortest expected time, or nothing if none can take the request. */
    [[nodiscard]] std::optional<Choice> choose(const ChoiceRequest &request, TimePoint now) const;
    /** @return The decision of choose(), with everything that it compares. */
    [[nodiscard]] ChoiceExplanation explain(const ChoiceRequest &request, TimePoint now) const;
    /** @return True if a service has a usable server. */
    [[nodiscard]] bool hasServer(const std::string &service) const;
    /** @return True if there is a usable server with a version of the software. */
    [[nodiscard]] bool hasServer(const SoftwareVersion &software) const;
    /**
     * @return Time until the rate limit of a server of the service allows this proxy another request; nothing if a usable server has no
     * rate limit, or if there is no usable server.
     */
    [[nodiscard]] std::optional<Duration> rateLimitDelay(const std::string &service, TimePoint now) const;
    /** @return Number of known servers. */
    [[nodiscard]] std::size_t size() const;
    /** @return Number of known servers that have named a rate limit. */
    [[nodiscard]] std::size_t limitedCount() const;
    /** @return Number of known servers that have stated that they are leaving. */
    [[nodiscard]] std::size_t leavingCount() const;
    /** @return State of a server in the list: "ready", "draining" or "gone". */
    [[nodiscard]] std::string_view listedState(const std::string &id) const;
    /** @return Accuracy of the expected work of requests. */
    [[nodiscard]] EstimateError estimateError() const;
    /** @return Learned paces of the servers. */
    [[nodiscard]] PaceSummary paces(TimePoint now) const;
    /** @return Number of connections to one server that this entry may open. */
    [[nodiscard]] std::uint32_t connectionShare(std::uint32_t maxConnections) const;
    /** @return Slots of the usable servers of a service, divided by the number of proxies. */
    [[nodiscard]] double slotShare(const std::string &service) const;

private:
    /** State of one server. */
    struct ServerState
    {
        Server server;                     ///< As listed.
        std::uint64_t runHash = 0;         ///< Hash of id and start time; a restarted server has an empty prefix cache.
        ServerBacklog backlog;             ///< Remaining work and pace.
        std::uint32_t running = 0;         ///< Running requests of this entry.
        std::uint64_t prefillTokens = 0;   ///< Uncached prompt tokens of this entry's requests that have no first event yet.
        std::uint32_t otherRequests = 0;   ///< Requests of other entries, by the last load report.
        double failureRate = 0;            ///< Failure rate: moving average that decays with time.
        TimePoint failureRateAt{};         ///< When `failureRate` was last updated.
        double msPerEvent = 0;             ///< Moving average of the time per event; 0 if unknown.
        TimePoint msPerEventAt{};          ///< When `msPerEvent` was last updated.
        std::uint32_t failures = 0;        ///< Consecutive failures.
        TimePoint backoffUntil{};          ///< End of the back-off after a failure.
        TimePoint fullUntil{};             ///< End of the back-off after a refusal.
        TimePoint otherRequestsAt{};       ///< When `otherRequests` was last updated.
        TimePoint coldUntil{};             ///< End of the slow phase after its start.
        ServerRateLimit rateLimit;         ///< Requests per second that it accepts from all proxies together, if it is limited.
        TimePoint rateLimitAt{};           ///< When `rateLimit` was last named.
        std::optional<TimePoint> removeAt; ///< Removed at this time if it is still not listed.
        bool isLeaving = false;            ///< True once recordLeaving() was called for it.
        bool isUnlisted = false;           ///< True if it isn't listed any more.
        bool hasLostAddress = false;       ///< True once recordMisdirection() was called for it.

        /** @return True if it can take new requests. */
        [[nodiscard]] bool isUsable() const
        {
            return !isUnlisted && !hasLostAddress && !isLeaving && !server.isDraining;
        }
    };

    /** Server that has a part of a prompt in its prefix cache. */
    struct PartHolder
    {
        std::uint64_t runHash = 0; ///< Hash of the server's id and start time.
        std::uint32_t tokens = 0;  ///< Cached tokens of the part.
    };
    /** Cache locations of one prompt part. */
    struct CachedPart
    {
        std::vector<PartHolder> holders;                ///< Servers that have prefilled it, the latest last.
        std::list<std::uint64_t>::iterator usePosition; ///< Position in the order of use.
    };

    /** Data that is looked up once per request, before its servers are compared. */
    struct Lookup
    {
        std::vector<const CachedPart *> parts;   ///< Leading parts of the prompt that are known here.
        const ServerState *home = nullptr;       ///< Home server of the program.
        double usualMsPerEvent = 0;              ///< Usual time per event of the service; 0 if unknown.
        const ServiceUsual *usual = nullptr;     ///< Usual figures of the service.
        WorkFeatures features;                   ///< Work of the request, without its prefill.
        WorkEstimate work;                       ///< Its estimate, without the prefill.
        std::uint64_t programKey = 0;            ///< Hash of the program.
        std::uint64_t spreadKey = 0;             ///< Key by which requests are spread over servers that are about equal.
        std::uint64_t object = 0;                ///< Hash of the request's object; 0 if none counts.
        ObjectDirectory::Holders holders{};      ///< Servers that have handled it.
        const ServerState *objectHome = nullptr; ///< Server that all proxies prefer for it.
        std::uint32_t share = 0;                 ///< Requests of this proxy that a server may have.
    };
    /** Usable servers of a service, as of the last update. */
    struct ServiceServers
    {
        std::vector<const ServerState *> servers;
        ServerIndex index; ///< Index of `servers`.
    };
    /** Expectation for a request at one server. */
    struct Score
    {
        double weight = 0;          ///< Expected time with all preferences, in milliseconds; the least is best.
        double delayMs = 0;         ///< Expected delay until the server responds, including penalties, in milliseconds.
        double finishMs = 0;        ///< Expected time to the end, in milliseconds.
        std::uint32_t uncached = 0; ///< Prompt tokens to prefill.
        BacklogView view;           ///< State of the server.
        ChoiceTerms terms;          ///< Terms of `weight`.
    };
    /** Server with its expectation. */
    struct Scored
    {
        const ServerState *state = nullptr;
        Score score;
    };
    /** Server that was considered, for an explanation. */
    struct Considered
    {
        Scored scored;
        std::string_view excludedBy; ///< Why it can't be used; empty if it can.
    };
    using ConsideredList = std::vector<Considered>;

    void recordPrompt(std::uint64_t runHash, const RequestAttributes &attributes);
    void indexServices();
    /** @return True if a row holds an earlier heartbeat of a server that was removed since. */
    [[nodiscard]] bool isOutdated(const Server &row) const;
    void rememberRemoved(const Server &server);
    [[nodiscard]] Lookup lookUp(const ChoiceRequest &request) const;
    [[nodiscard]] static std::uint32_t cachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes);
    /** @return Servers of a service that were usable at the last update; some may have become unusable since. */
    [[nodiscard]] const std::vector<const ServerState *> &usableServers(const std::string &service) const;
    [[nodiscard]] const ServiceServers *serviceServers(const std::string &service) const;
    /** @return How well a server suits as a home for a request. */
    [[nodiscard]] static HomeSuitability homeSuitability(const ServerState &state, const ChoiceRequest &request);
    /** @return Home of a program among the usable servers of a service. */
    [[nodiscard]] const ServerState *home(const ChoiceRequest &request, std::uint64_t programKey) const;
    /** @return Server that all proxies prefer for an object. */
    [[nodiscard]] const ServerState *objectHome(const ChoiceRequest &request, std::uint64_t object) const;
    [[nodiscard]] bool isLearning() const;
    void lookUpWork(const ChoiceRequest &request, Lookup &lookup) const;
    /** @return Why a server can't be used for a request; empty if it can. */
    [[nodiscard]] std::string_view
    exclusion(const ServerState &state, const ChoiceRequest &request, const Lookup &lookup, TimePoint now) const;
    [[nodiscard]] Score score(const ServerState &state, const ChoiceRequest &request, const Lookup &lookup, TimePoint now) const;
    /** @return True if the first server is preferred to the second one. */
    [[nodiscard]] static bool isBetter(const Scored &first, const Scored &second, const Lookup &lookup);
    /**
     * Finds the server with the least weight.
     * @param considered Receives all servers that are considered, some of them twice; null if that isn't needed.
     */
    [[nodiscard]] Scored findBest(
        const ServiceServers &service, const ChoiceRequest &request, const Lookup &lookup, TimePoint now, ConsideredList *considered) const;
    /** @return Why a server is chosen, from the servers considered, the best first. */
    [[nodiscard]] static std::string choiceReason(const std::vector<ServerExplanation> &servers);
    [[nodiscard]] static ServerExplanation explainServer(const Considered &considered, const Lookup &lookup, TimePoint now);
    /** @return Positions of a few servers of a service that has many. */
    [[nodiscard]] std::vector<std::size_t> candidates(const ServiceServers &service, const Lookup &lookup) const;
    /** @return Penalties for the server's faults, in milliseconds. */
    [[nodiscard]] double penaltyMs(const ServerState &state, double usualMsPerEvent, TimePoint now) const;
    /** Learns from a complete attempt. */
    void learn(ServerState &state, const Choice &choice, const AttemptTimes &times, TimePoint now);
    ServiceUsual &usualOf(const std::string &service);
    [[nodiscard]] static double currentFailureRate(const ServerState &state, TimePoint now);
    [[nodiscard]] std::uint32_t uncachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes) const;
    [[nodiscard]] static double slowness(const ServerState &state, double usualMsPerEvent, TimePoint now);

    std::string m_zone;
    ChoiceSettings m_settings;
    SharePosition m_position; ///< Position of this proxy among those that share connections and rate limits.
    std::unordered_map<std::string, ServerState> m_servers;
    std::unordered_map<std::string, Server> m_leaving; ///< Servers that have stated that they are leaving, also those no longer listed.
    std::deque<std::string> m_leavingIds;              ///< Ids in `m_leaving`, oldest first.
    /** Servers that were removed from the list, with their last heartbeat; a late write of an earlier one doesn't bring them back. */
    std::unordered_map<std::string, Server> m_removed;
    std::deque<std::string> m_removedIds;                        ///< Ids in `m_removed`, oldest first.
    std::unordered_map<std::string, ServiceServers> m_byService; ///< Usable servers by service, as of the last update.
    std::unordered_map<std::string, ServiceUsual> m_usual;       ///< Usual figures by service.
    WorkEstimator m_estimator;                                   ///< Work of requests by kind.
    ObjectDirectory m_objects;                                   ///< Servers that have handled objects.
    std::unordered_map<std::uint64_t, CachedPart> m_parts;
    std::unordered_map<std::string, double> m_usualMsPerEvent; ///< Usual time per event, by service.
    std::list<std::uint64_t> m_partsByUse;                     ///< Ids of parts, least recently used first.
};

inline constexpr Duration ListingGrace
    = std::chrono::milliseconds(1900); ///< After the list was unavailable, missing servers are kept this long, since their rows may have
                                       ///< expired; a server that is alive is listed again within 2 s.
inline constexpr std::size_t MaxPromptParts = 20000;   ///< Maximum number of prompt parts tracked; 2.7 MB by `make bench-capacity`.
inline constexpr std::size_t MaxLeavingServers = 4000; ///< Leaving servers that are remembered; all of a large deployment fit.
inline constexpr std::size_t MaxRemovedServers = 4000; ///< Removed servers that are remembered; all of a large deployment fit.
inline constexpr std::size_t MaxServersPerPart = 16;   ///< Maximum number of servers tracked per part.

} // namespace Vanillahall::Forward
