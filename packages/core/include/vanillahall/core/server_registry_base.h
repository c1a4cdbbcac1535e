/**
 * Registry of backend servers with their load and prefix cache contents, and the choice of a server for each request.
 * Load pattern: many entries send to the same servers and learn of each other's requests late. Each entry counts its own requests exactly,
 * adds the load that servers report with their responses, and compares waiting, prefill and distance in one unit, the expected time.
 */
#pragma once

#include "vanillahall/core/forward_type.h"
#include "vanillahall/core/server_rate_limit_base.h"

#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Parameters of the server choice. The default of `promptTokensPerMs` is the figure given for the klokwerk site. */
struct ChoiceSettings
{
    double promptTokensPerMs = 60.0; ///< Prompt tokens that an engine prefills per millisecond.
    double crossZoneMs = 4.0;        ///< Penalty for a server in another availability zone, in milliseconds.
    double slotHoldMs = 288.0;       ///< Time that a request occupies one of a server's slots, in milliseconds.
    double perRequestMs = 2.0;       ///< Delay per request that the server already has, in milliseconds.
    double homeBonusMs
        = 150.0; ///< Bonus for the home server, in milliseconds; all entries prefer it, so later turns find their cache there.
    std::uint32_t newTokensPerTurn = 500; ///< Prompt tokens that a turn adds to its session, assumed where the earlier turns aren't known.
    double slownessMs = 200.0;            ///< Penalty per multiple of the usual time per event, in milliseconds.
    double failureRateMs = 300.0;         ///< Penalty for a server whose requests all fail, in milliseconds; scaled by the failure rate.
    double coldStartMs = 100.0;           ///< Penalty for a server that is still slow after its start, in milliseconds.
    double backoffMs = 400.0;             ///< Penalty for a server in back-off after a failure or a refusal, in milliseconds.
    std::uint32_t entries = 12;           ///< Number of proxies assumed until the store has told it.
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
};

/** Result of the choice. */
struct Choice
{
    Server server;                    ///< Chosen server.
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that it has to prefill, as far as known.
    double expectedMs = 0;            ///< Expected delay at the server including penalties, in milliseconds.
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
    /** Records the first event of a stream: the prompt is prefilled. */
    void recordFirstEvent(const std::string &id, std::uint32_t uncachedTokens);
    /** Records the end of a request at a server. @param hadFirstEvent True if recordFirstEvent() was called for it. */
    void recordEnd(const std::string &id, std::uint32_t uncachedTokens, bool hadFirstEvent);
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
    /** Sets the offset of the store's clock to the clock of this process. */
    void setStoreClock(Duration offset);
    /** Records that another server was found at the address of this one. It is not used until it is listed anew or restarted. */
    void recordMisdirection(const std::string &id);

    // Queries.

    /** @return Server with the shortest expected time, or nothing if none can take the request. */
    [[nodiscard]] std::optional<Choice> choose(const ChoiceRequest &request, TimePoint now) const;
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
        std::vector<const CachedPart *> parts; ///< Leading parts of the prompt that are known here.
        const ServerState *home = nullptr;     ///< Home server of the program.
        double usualMsPerEvent = 0;            ///< Usual time per event of the service; 0 if unknown.
    };

    void recordPrompt(std::uint64_t runHash, const RequestAttributes &attributes);
    void indexServices();
    /** @return True if a row holds an earlier heartbeat of a server that was removed since. */
    [[nodiscard]] bool isOutdated(const Server &row) const;
    void rememberRemoved(const Server &server);
    [[nodiscard]] Lookup lookUp(const ChoiceRequest &request) const;
    [[nodiscard]] static std::uint32_t cachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes);
    /** @return Servers of a service that were usable at the last update; some may have become unusable since. */
    [[nodiscard]] const std::vector<const ServerState *> &usableServers(const std::string &service) const;
    [[nodiscard]] const ServerState *home(const ChoiceRequest &request) const;
    [[nodiscard]] static double currentFailureRate(const ServerState &state, TimePoint now);
    [[nodiscard]] std::uint32_t uncachedTokens(const ServerState &state, const Lookup &lookup, const RequestAttributes &attributes) const;
    [[nodiscard]] static double slowness(const ServerState &state, double usualMsPerEvent, TimePoint now);
    [[nodiscard]] double expectedMs(const ServerState &state, std::uint32_t uncached, double usualMsPerEvent, TimePoint now) const;

    std::string m_zone;
    ChoiceSettings m_settings;
    SharePosition m_position; ///< Position of this proxy among those that share connections and rate limits.
    std::unordered_map<std::string, ServerState> m_servers;
    std::unordered_map<std::string, Server> m_leaving; ///< Servers that have stated that they are leaving, also those no longer listed.
    std::deque<std::string> m_leavingIds;              ///< Ids in `m_leaving`, oldest first.
    /** Servers that were removed from the list, with their last heartbeat; a late write of an earlier one doesn't bring them back. */
    std::unordered_map<std::string, Server> m_removed;
    std::deque<std::string> m_removedIds;                                          ///< Ids in `m_removed`, oldest first.
    std::unordered_map<std::string, std::vector<const ServerState *>> m_byService; ///< Usable servers by service, as of the last update.
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
