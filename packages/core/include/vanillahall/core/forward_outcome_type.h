/** How a forwarded request ended, with a name for logs and metrics and a sentence for operators. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Vanillahall::Forward {

/** How a request ended. */
enum class Outcome : std::uint8_t {
    Answered,            ///< The server's answer was passed on whole.
    BudgetSpent,         ///< The program's token budget doesn't hold the turn.
    ClientGone,          ///< The client left first.
    ContentQuarantined,  ///< The content has broken several servers.
    ConversationAway,    ///< The earlier turns can't be read from the store.
    ConversationTooLong, ///< The turn or its conversation is longer than what is kept.
    FaultyTurnName,      ///< The turn before is named twice, wrongly, or on a route without kept conversations.
    NoConfiguration,     ///< No configuration is known yet.
    NoOtherServer,       ///< It failed, may be repeated, and no other server can take it.
    NoRoute,             ///< No route fits.
    NoServer,            ///< The service has no server.
    NoService,           ///< The route leads to an unknown service.
    NoSuchTurn,          ///< The turn before doesn't exist.
    NoStoreForBudget,    ///< Tokens can't be reserved because the store is away.
    ServerBrokeOff,      ///< The server ended a stream midway.
    ServerFailed,        ///< The server broke the connection or its answer can't be passed on.
    ServersFull,         ///< All servers refused or are full.
    ServersUnreachable,  ///< No connection to a server came about.
    TooManyBytesHeld,    ///< The proxy holds as many bytes of bodies as it may.
    TurnNotKept,         ///< The answer was broken off because the turn couldn't be kept.
    TimeLimit,           ///< The deadline or the route's time limit passed.
};

/** One row of the table of outcomes. */
struct OutcomeRow
{
    Outcome outcome;          ///< The outcome.
    std::string_view name;    ///< Name in logs and metrics.
    std::string_view meaning; ///< What it means and what to look at.
};

inline constexpr auto OutcomeTable = std::to_array<OutcomeRow>({
    {Outcome::Answered, "answered", "The server's answer was passed on whole; `status` is the server's."},
    {Outcome::BudgetSpent,
     "budget_spent",
     "402, not run: the program's tokens are reserved to the last turn. Compare `budget` with the program's earlier turns."},
    {Outcome::ClientGone,
     "client_gone",
     "The client closed its connection first. Look at `all_ms` and `first_ms`: a long wait, or an early leave."},
    {Outcome::ContentQuarantined,
     "content_quarantined",
     "503, not run: attempts with this path and body broke three connections to servers within two minutes. Event 1901 says when."},
    {Outcome::ConversationAway,
     "conversation_away",
     "503, not run: the earlier turns of the conversation can't be read from the store. Event 1106 says which; look at events 1501 and "
     "1504."},
    {Outcome::ConversationTooLong,
     "conversation_too_long",
     "413, not run, or broken off: the turn's input is over 512 KB, with its output over 640 KB, or the conversation over 2 MB."},
    {Outcome::FaultyTurnName,
     "faulty_turn_name",
     "400, not run: the turn before is named twice, by what can't be a name, or on a route that keeps no conversations."},
    {Outcome::NoConfiguration,
     "no_configuration",
     "503, not run: this process has just started and the store hasn't given it a configuration."},
    {Outcome::NoOtherServer,
     "no_other_server",
     "502: an attempt failed, the request may be repeated, but no other server can take it. Look at event 1103."},
    {Outcome::NoRoute, "no_route", "404: no route of configuration `config` fits host and path."},
    {Outcome::NoServer, "no_server", "503, not run: the service has no server that is ready. Look at events 1503 before."},
    {Outcome::NoService, "no_service", "503, not run: the route leads to a service that configuration `config` doesn't define."},
    {Outcome::NoSuchTurn,
     "no_such_turn",
     "404, not run: the store has no turn of the name in `previous`. Look for that request: it broke off, or its retention has passed."},
    {Outcome::NoStoreForBudget,
     "no_store_for_budget",
     "503, not run: tokens have to be reserved in the store, which is away (event 1501) or didn't do it in time."},
    {Outcome::ServerBrokeOff,
     "server_broke_off",
     "The server ended a stream midway; the client's connection was closed so that it doesn't look whole. Look at event 1103."},
    {Outcome::ServerFailed,
     "server_failed",
     "502, may have run: the server broke the connection, or its answer can't be passed on. Event 1103 says which."},
    {Outcome::ServersFull, "servers_full", "503, not run: the servers that were asked refused, or no connection to them was free."},
    {Outcome::ServersUnreachable,
     "servers_unreachable",
     "503, not run: no connection to a server came about. Look at event 1103 and at the network."},
    {Outcome::TooManyBytesHeld,
     "too_many_bytes_held",
     "503, not run: bodies and conversations under way take all the memory that they may. See `vanillahall_body_bytes_held`."},
    {Outcome::TurnNotKept,
     "turn_not_kept",
     "Broken off before its end: the server's answer was whole, but the store didn't keep the turn in time. Event 1105 says why."},
    {Outcome::TimeLimit,
     "time_limit",
     "504, or 503 if nothing was sent: the client's deadline or the route's time limit passed. `placed_ms` says how long it waited for "
     "tokens and a server."},
});

/** @return Name of an outcome. */
constexpr std::string_view outcomeName(Outcome outcome)
{
    for (const auto &it : OutcomeTable) {
        if (it.outcome == outcome) {
            return it.name;
        }
    }
    return "unnamed";
}

} // namespace Vanillahall::Forward
