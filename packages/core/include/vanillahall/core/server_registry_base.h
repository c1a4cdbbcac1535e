/**
 * Backend servers, what is known of their load and prompt memory, and the choice among them.
 * Load pattern: many entries send to the same servers with late knowledge of each other. Each entry counts its own requests exactly, adds
 * what servers tell with their answers, and weighs waiting, prompt reading and distance in one currency, the expected time.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <list>
#include <set>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Figures of the choice. `promptTokensPerMs` is the klokwerk sheet's; `homeMs` had the best worth of five (design note 5); others are
 * estimates. */
struct ChoiceSettings
{
    double promptTokensPerMs = 60.0; ///< Prompt tokens that an engine reads in a millisecond.
    double otherZoneMs = 4.0;        ///< Price of a server in another availability zone, in milliseconds.
    double turnMs = 288.0;           ///< Time for which a request holds one of a server's slots, in milliseconds.
    double busyMs = 2.0;             ///< Wait for each request that a server has already, in milliseconds.
    double homeMs = 150.0;           ///< Gain of a program's home server, where later turns at other entries are sent too, in milliseconds.
    std::uint32_t newTokens = 500;   ///< Prompt tokens that a turn adds to its line, where the line isn't known here.
    double slowMs = 200.0;           ///< Price of a server for each multiple of the usual time for an event, in milliseconds.
    double troubleMs = 300.0;        ///< Price of a server all of whose requests fail, in milliseconds.
    double coldMs = 100.0;           ///< Price of a server that is still slow after its start, in milliseconds.
    double doubtMs = 400.0;          ///< Price of a server that failed a moment ago, in milliseconds.
    std::uint32_t entries = 12;      ///< Entries that share each server's connections.
};

/** A request that needs a server. */
struct ChoiceRequest
{
    std::string service;                      ///< Service.
    const RequestAttributes *facts = nullptr; ///< Facts of the request.
    std::uint32_t maxConnections = 16;        ///< Connections that one server takes from all callers together.
    const std::set<std::string> *avoided;     ///< Servers that refused or failed this request.
    std::string homeZone;                     ///< Availability zone of the program's home server; empty for any.
};

/** The chosen server. */
struct Choice
{
    Server server;                  ///< The server.
    std::uint32_t unreadTokens = 0; ///< Prompt tokens that it has to read, as far as known.
    double expectedMs = 0;          ///< Expected wait at the server and its prices, in milliseconds.
};

/** Servers, load, and choice. */
class ServerRegistry
{
public:
    ServerRegistry(std::string zone, ChoiceSettings settings);
    ServerRegistry(const ServerRegistry &) = delete; // The index by service points into the book.
    ServerRegistry &operator=(const ServerRegistry &) = delete;
    ~ServerRegistry() = default;

    // Commands.

    /**
     * Takes a complete list of servers.
     * @param list Servers; one that is missing is gone.
     * @param wasAway True if the list couldn't be read for a while: entries that lapsed meanwhile are given LapseGrace to come back.
     * @return Ids of the servers that are new, gone or draining now.
     */
    std::vector<std::string> update(const std::vector<Server> &list, bool wasAway, TimePoint now);
    /** A request was sent to a server. */
    void recordStart(const std::string &id, std::uint32_t unreadTokens, const RequestAttributes &facts);
    /** The first event of a stream came. */
    void recordFirstEvent(const std::string &id, std::uint32_t unreadTokens);
    /** A request has ended at a server. @param hadFirstEvent True if recordFirstEvent() was called for it. */
    void recordEnd(const std::string &id, std::uint32_t unreadTokens, bool hadFirstEvent);
    /** A server told its load. */
    void recordLoad(const std::string &id, const ServerLoad &load, TimePoint now);
    /** A server couldn't be reached or broke a connection. */
    void recordFailure(const std::string &id, TimePoint now);
    /** A server answered properly. */
    void recordSuccess(const std::string &id, TimePoint now);
    /** A stream has ended. @param perEvent Time between two of its events. */
    void recordEventInterval(const std::string &id, Duration perEvent, TimePoint now);
    /** A server refused a request because it is full. */
    void recordRefusal(const std::string &id, TimePoint now);
    /** Sets the number of entries that share each server's connections. */
    void setEntries(std::uint32_t entries);
    /** Another incarnation has the server's address. */
    void recordMisdirection(const std::string &id);

    // Queries.

    /** @return The server with the least expected time, or nothing if none can take the request. */
    [[nodiscard]] std::optional<Choice> choose(const ChoiceRequest &request, TimePoint now) const;
    /** @return True if a service has a server that may be used. */
    [[nodiscard]] bool hasServer(const std::string &service) const;
    /** @return Number of servers known. */
    [[nodiscard]] std::size_t size() const;
    /** @return Connections to one server that this entry may hold. */
    [[nodiscard]] std::uint32_t connectionShare(std::uint32_t maxConnections) const;

private:
    /** One server. */
    struct Place
    {
        Server server;                    ///< As listed.
        std::uint64_t run = 0;            ///< Hash of id and start: another run of a server has read nothing yet.
        std::uint32_t running = 0;        ///< Requests of this entry there.
        std::uint64_t unread = 0;         ///< Prompt tokens of this entry's requests that have no first event yet.
        std::uint32_t others = 0;         ///< Requests of other entries, as last told.
        double trouble = 0;               ///< Share of failures, the latest counting most; fades with time.
        TimePoint troubleAt{};            ///< When `trouble` was last changed.
        double paceMs = 0;                ///< Time between two events, the latest counting most; 0 if unknown.
        TimePoint paceAt{};               ///< Age of `paceMs`.
        std::uint32_t failures = 0;       ///< Failures in a row.
        TimePoint doubtUntil{};           ///< Avoided until then because it failed.
        TimePoint fullUntil{};            ///< Avoided until then because it was full.
        TimePoint othersAt{};             ///< Age of `others`.
        TimePoint coldUntil{};            ///< Slow until then after its start.
        std::optional<TimePoint> lapseAt; ///< Given up then if it is still missing in the list.
        bool isGone = false;              ///< True while it isn't listed any more.
        bool hasLostAddress = false;      ///< True once another server answered at its address.

        /** @return True if it may get new requests. */
        [[nodiscard]] bool isUsable() const
        {
            return !isGone && !hasLostAddress && !server.isDraining;
        }
    };

    /** Where a part of a prompt was read last, and how much of it. */
    struct PartPlace
    {
        std::uint64_t run = 0;    ///< Run of a server.
        std::uint32_t tokens = 0; ///< Tokens of the part there.
    };
    /** One part of prompts. */
    struct Part
    {
        std::vector<PartPlace> places;              ///< Servers that have read it, the latest last.
        std::list<std::uint64_t>::iterator lastUse; ///< Place in the order of use.
    };

    /** What is looked up once for a request, before its servers are compared. */
    struct Lookup
    {
        std::vector<const Part *> parts; ///< The first parts of the prompt that are known here.
        const Place *home = nullptr;     ///< Server where the program's turns meet.
        double usualPaceMs = 0;          ///< Usual time between two events of the service; 0 if unknown.
    };

    void remember(std::uint64_t run, const RequestAttributes &facts);
    void indexServices();
    [[nodiscard]] Lookup lookUp(const ChoiceRequest &request) const;
    [[nodiscard]] static std::uint32_t readTokens(const Place &place, const Lookup &lookup, const RequestAttributes &facts);
    /** @return Servers of a service that may be used, and some that stopped being usable since the last list. */
    [[nodiscard]] const std::vector<const Place *> &placesOf(const std::string &service) const;
    [[nodiscard]] const Place *home(const ChoiceRequest &request) const;
    [[nodiscard]] static double troubleOf(const Place &place, TimePoint now);
    [[nodiscard]] std::uint32_t unreadTokens(const Place &place, const Lookup &lookup, const RequestAttributes &facts) const;
    [[nodiscard]] static double slowness(const Place &place, double usualPaceMs, TimePoint now);
    [[nodiscard]] double expectedMs(const Place &place, std::uint32_t unread, double usualPaceMs, TimePoint now) const;

    std::string m_zone;
    ChoiceSettings m_settings;
    std::unordered_map<std::string, Place> m_places;
    std::unordered_map<std::string, std::vector<const Place *>> m_byService; ///< Usable entries of `m_places`, as of the last list.
    std::unordered_map<std::uint64_t, Part> m_parts;
    std::unordered_map<std::string, double> m_paceMs; ///< Usual time between two events, by service.
    std::list<std::uint64_t> m_partUse;               ///< Least recently used first.
};

inline constexpr Duration LapseGrace = std::chrono::milliseconds(1900); ///< Servers that live are listed again within 2 s.
inline constexpr std::size_t MaxParts = 20000;                          ///< Parts remembered; 2.7 MB by `make bench-capacity`.
inline constexpr std::size_t MaxPartPlaces = 16;                        ///< Servers remembered for one part.

} // namespace Vanillahall::Forward
