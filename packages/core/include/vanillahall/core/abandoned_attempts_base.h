/**
 * Attempts that the proxy has ended although their servers may still run them.
 * Load pattern: a client leaves, or a time limit ends its request, shortly before the request crashes its server. The connection of the
 * attempt is closed by then, so the crash shows only in other ways, and the content would reach server after server without being counted.
 */
#pragma once

#include "vanillahall/core/crash/crash_evidence_type.h"
#include "vanillahall/core/forward_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Vanillahall::Forward {

/** How the end of a server became known. */
enum class ServerEnd : std::uint8_t {
    Refused,     ///< It refuses connections: no process listens at its port.
    Restarted,   ///< The list shows a later start of it, or of another server at its address.
    Unreachable, ///< It is gone from the list without having drained, and no connection to it can be established.
};

/** @return Name of a ServerEnd for logs and metrics. */
std::string_view serverEndName(ServerEnd end);

/** Result of a connection attempt to a server. */
enum class ConnectResult : std::uint8_t {
    Connected, ///< The connection was established.
    Refused,   ///< The connection was refused.
    Failed,    ///< There was no response in time, or another error.
};

/** Server that has ended, with the attempts that it may have been running then. */
struct EndedServer
{
    std::string server;                   ///< Id of the server.
    ServerEnd end{};                      ///< How its end became known.
    std::vector<CrashedAttempt> attempts; ///< Abandoned attempts that may have been running.
};

/** Remembers abandoned attempts for as long as their servers may run them, and assigns the end of a server to those that were there. */
class AbandonedAttempts
{
public:
    // Commands.

    /**
     * Records an attempt that has ended for the proxy while its server may still run it.
     * @param server Server of the attempt, as chosen.
     * @param attempt The attempt.
     * @param runsUntil Deadline that the server was given; it stops work then.
     */
    void record(const Server &server, CrashedAttempt attempt, TimePoint runsUntil);
    /** Handles the result of a connection attempt to a server. @return The server, if it shows that it has ended. */
    std::vector<EndedServer> onConnectResult(const std::string &server, ConnectResult result, TimePoint now);
    /** Handles a current list of servers. @return Servers that it shows to have ended. */
    std::vector<EndedServer> onServerList(const std::vector<Server> &list, TimePoint now);
    /** Removes attempts whose servers can't run them any more, and whose crash would be known by now. */
    void removeExpired(TimePoint now);

    // Queries.

    /** @return Number of recorded attempts. */
    [[nodiscard]] std::size_t size() const;
    /**
     * @return Servers to which a connection should be open, so that their end is noticed: those with recorded attempts.
     * @param unlisted True for those that are gone from the list: a new connection has to show whether they still run.
     */
    [[nodiscard]] std::vector<Server> serversToWatch(bool unlisted) const;

private:
    /** An abandoned attempt. */
    struct Attempt
    {
        CrashedAttempt crashed; ///< What counts if the server ends.
        TimePoint runsUntil{};  ///< Deadline that the server was given.
    };

    /** Attempts at one server. */
    struct ServerAttempts
    {
        Server server;                 ///< Server as last listed.
        std::vector<Attempt> attempts; ///< Attempts, oldest first; never empty.
        bool isUnlisted = false;       ///< True if it is gone from the list and it isn't known whether it still runs.
        bool hasLeft = false;          ///< True if it leaves as planned: it is draining, or still ran when it was gone from the list.
    };

    using Iterator = std::unordered_map<std::string, ServerAttempts>::iterator;

    /** Removes the attempts at a server. @return The server, with those that may have been running at `runningAfter` or later. */
    EndedServer end(Iterator it, ServerEnd how, TimePoint runningAfter);

    std::unordered_map<std::string, ServerAttempts> m_servers; ///< By id of the server.
};

inline constexpr Duration RefusalDelay
    = std::chrono::seconds(1); ///< Longest time from the end of a server to a refused connection, while its attempts are watched.
inline constexpr Duration ListDelay
    = std::chrono::seconds(6); ///< Longest time from the end of a server to the list that shows it: a few heartbeats and a watch call.
inline constexpr std::size_t MaxAbandonedPerServer
    = 200; ///< Attempts remembered for one server, several times its slots and its queue; beyond that the oldest are dropped.

} // namespace Vanillahall::Forward
