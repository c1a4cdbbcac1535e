/** Outcomes of forwarded requests, with a name for logs and metrics and an explanation for operators. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Vanillahall::Forward {

/** Outcome of a request; the names match those in logs and metrics. */
enum class Outcome : std::uint8_t {
    Answered,            ///< The server's response was passed on completely.
    BudgetSpent,         ///< The remaining token budget of the program is too small for the turn.
    BudgetUnsettled,     ///< It isn't known yet whether the budget is spent.
    ClientGone,          ///< The client disconnected first.
    ContentQuarantined,  ///< Such requests have crashed several servers.
    ConversationAway,    ///< The earlier turns can't be read from the store.
    ConversationTooLong, ///< The turn or its conversation is longer than the limits allow.
    FaultyTurnName,      ///< The previous turn is named twice, with an invalid name, or on a route without stored conversations.
    KeyMoved,            ///< The API key belongs to another customer than when the request was accepted, and the request may have run.
    KeyUncertain,        ///< The API key is unknown, but the configuration may be outdated.
    KeyUnconfirmed,      ///< The API key is known, but the configuration hasn't been confirmed for too long.
    KeyUnknown,          ///< No customer has the API key, or there is none.
    NoConfiguration,     ///< No configuration has been received yet.
    NoOwnerForStream,    ///< Nobody can tell at which versions the owner of the program has granted streams.
    NoOtherServer,       ///< An attempt failed and may be repeated, but no other server can take the request.
    NoRoute,             ///< No route matches.
    NoServer,            ///< The service has no server.
    NoServerOfVersion,   ///< No server has the software version that began the stream.
    NoService,           ///< The route leads to an unknown service.
    NoSuchTurn,          ///< The previous turn doesn't exist.
    NoStoreForBudget,    ///< Tokens can't be reserved because the store is unavailable.
    NoStoreForStream,    ///< The version that began the stream can't be read from the store.
    ProgramNameTooLong,  ///< The program's id is too long for a key in the store.
    QuotaSpent,          ///< The customer is over its rate limit.
    QuotaUncertain,      ///< It isn't known whether the customer is over its rate limit, since the store is unavailable.
    ServerBrokeOff,      ///< The server ended a stream prematurely.
    ServerFailed,        ///< The server closed the connection early, or its response can't be passed on.
    ServersFull,         ///< All servers refused the request or are full.
    ServersLimited,      ///< The rate limits of all servers are reached.
    ServiceOverloaded,   ///< The servers can't take a new program now.
    ServersUnreachable,  ///< No connection to a server could be established.
    Stopping,            ///< The proxy is stopping, and the request can't or didn't end in time.
    StreamOriginUnknown, ///< It isn't known which software version began the stream.
    TooManyBytesHeld,    ///< The proxy's limit for buffered bodies is reached.
    TurnNotKept,         ///< The response was aborted because the turn couldn't be stored.
    TimeLimit,           ///< The deadline or the route's time limit passed.
};

/** Name and explanation of an outcome. */
struct OutcomeRow
{
    Outcome outcome;          ///< Outcome.
    std::string_view name;    ///< Name in logs and metrics.
    std::string_view meaning; ///< Meaning, and where to look for the cause.
};

inline constexpr auto OutcomeTable = std::to_array<OutcomeRow>({
    {Outcome::Answered, "answered", "The server's response was passed on completely; `status` is the server's."},
    {Outcome::BudgetSpent,
     "budget_spent",
     "402, not run: the program's token budget is fully reserved. Compare `budget` with the program's earlier turns."},
    {Outcome::BudgetUnsettled,
     "budget_unsettled",
     "503, not run: the program's token budget is fully reserved, but other entries may be giving tokens back, or the row couldn't "
     "be read. It is known at the time to come back. See the program's events 1104."},
    {Outcome::ClientGone,
     "client_gone",
     "The client closed its connection first. `all_ms` and `first_ms` show whether it waited long or left early."},
    {Outcome::ContentQuarantined,
     "content_quarantined",
     "503, not run, or 502 after an attempt of this request: requests that share a feature with it, such as path, program or body, ended "
     "with their servers at least three times. Event 1901 names the feature."},
    {Outcome::ConversationAway,
     "conversation_away",
     "503, not run: the earlier turns of the conversation can't be read from the store. Event 1106 says which; see events 1501 and "
     "1504."},
    {Outcome::ConversationTooLong,
     "conversation_too_long",
     "413, not run, or response aborted: the turn's input is over 512 KB, with its output over 640 KB, or the conversation over 2 MB."},
    {Outcome::FaultyTurnName,
     "faulty_turn_name",
     "400, not run: the previous turn is named twice, with an invalid name, or on a route without stored conversations."},
    {Outcome::KeyMoved,
     "key_moved",
     "502, may have run: the operators have moved the API key to another customer between two attempts of the request. See event 1108."},
    {Outcome::KeyUncertain,
     "key_uncertain",
     "503, not run, or 502 after an attempt: the API key is unknown, but a newer configuration may contain it. See events 1501, 1802 and "
     "1803."},
    {Outcome::KeyUnconfirmed,
     "key_unconfirmed",
     "503, not run, or 502 after an attempt: the configuration hasn't been confirmed for `proxy.revoke_ms`, and `proxy.fail_closed` is "
     "set. See event 1803."},
    {Outcome::KeyUnknown,
     "key_unknown",
     "401, not run, or 502 after an attempt: no customer has the API key under configuration `config`, or the request has none, or "
     "several. "
     "`key` is a hash of it."},
    {Outcome::NoConfiguration,
     "no_configuration",
     "503, not run: this process has just started and hasn't received a configuration from the store."},
    {Outcome::NoOwnerForStream,
     "no_owner_for_stream",
     "503, not run: the client resumes a stream, servers of several versions may have begun it, and the owner of its program, which may "
     "have "
     "granted it while the store was unavailable, can't tell. See event 1131."},
    {Outcome::NoOtherServer,
     "no_other_server",
     "502: an attempt failed and the request may be repeated, but no other server can take it. See event 1103."},
    {Outcome::NoRoute, "no_route", "404: no route of configuration `config` matches host and path."},
    {Outcome::NoServer, "no_server", "503, not run: the service has no ready server. See earlier events 1503."},
    {Outcome::NoServerOfVersion,
     "no_server_of_version",
     "503, not run: the client resumes a stream, and no ready server has the software version that began it. See events 1503."},
    {Outcome::NoService, "no_service", "503, not run: the route leads to a service that configuration `config` doesn't define."},
    {Outcome::NoSuchTurn,
     "no_such_turn",
     "404, not run: the store has no turn with the id in `previous`. Look for that request: it was aborted, or its retention has passed."},
    {Outcome::NoStoreForBudget,
     "no_store_for_budget",
     "503, not run: tokens must be reserved in the store, which is unavailable (event 1501) or didn't reply in time."},
    {Outcome::NoStoreForStream,
     "no_store_for_stream",
     "503, not run: the client resumes a stream, and the versions that may have begun it can't be read from the store, which is "
     "unavailable "
     "(event 1501) or didn't reply in time."},
    {Outcome::ProgramNameTooLong,
     "program_name_too_long",
     "400, not run: the program's id is over 183 bytes long, and its key in the store contains the hash of the customer as well."},
    {Outcome::QuotaSpent, "quota_spent", "429, not run: the customer has used up its rate limit over all proxies. See events 1121."},
    {Outcome::QuotaUncertain,
     "quota_uncertain",
     "503, not run: a permit of the customer's rate limit must be withdrawn from the store, which is unavailable (event 1501) or didn't "
     "reply within a quarter of the route's objective."},
    {Outcome::ServerBrokeOff,
     "server_broke_off",
     "The server ended a stream prematurely; the client's connection was closed so that the response is seen to be incomplete. See event "
     "1103."},
    {Outcome::ServerFailed,
     "server_failed",
     "502, may have run: the server closed the connection early, or its response can't be passed on. Event 1103 says which."},
    {Outcome::ServersFull,
     "servers_full",
     "503, not run: the servers that were tried refused the request, or no connection to them was free."},
    {Outcome::ServersLimited,
     "servers_limited",
     "503, not run: every server of the service has named a rate limit, and this proxy's share of them is used up. See events 1505."},
    {Outcome::ServiceOverloaded,
     "service_overloaded",
     "503, not run: the servers can't take more work, and the request begins a program or belongs to one that loops. Programs in progress "
     "go on. See events 2001 and 2002."},
    {Outcome::ServersUnreachable,
     "servers_unreachable",
     "503, not run: no connection to a server could be established. See event 1103 and check the network."},
    {Outcome::Stopping,
     "stopping",
     "503, not run: the request came late in a planned stop, and its time limit is after the end of the stop. 504, or response aborted: it "
     "was still running at the limit of the stop. `stop_left_ms` says how much time was left when the line was written."},
    {Outcome::StreamOriginUnknown,
     "stream_origin_unknown",
     "503, not run: the client resumes a stream, and it isn't known which software version began it: streams of the program have begun at "
     "several versions, or its row in the store doesn't tell. Look for the request named by `resumes`."},
    {Outcome::TooManyBytesHeld,
     "too_many_bytes_held",
     "503, not run: the memory limit for bodies and conversations in progress is reached. See `vanillahall_body_bytes_held`."},
    {Outcome::TurnNotKept,
     "turn_not_kept",
     "Response aborted before its end: the server's response was complete, but the turn wasn't stored in time. Event 1105 says why."},
    {Outcome::TimeLimit,
     "time_limit",
     "504, or 503 if nothing was sent: the client's deadline or the route's time limit passed. `placed_ms` says how long it waited for "
     "tokens and a server."},
});

/** @return Name of an outcome in logs and metrics. */
constexpr std::string_view outcomeName(Outcome outcome)
{
    for (const auto &it : OutcomeTable) {
        if (it.outcome == outcome) {
            return it.name;
        }
    }
    return "unnamed";
}

/** @return Meaning of an outcome, for operators. */
constexpr std::string_view outcomeMeaning(Outcome outcome)
{
    for (const auto &it : OutcomeTable) {
        if (it.outcome == outcome) {
            return it.meaning;
        }
    }
    return {};
}

} // namespace Vanillahall::Forward
