#include "entry_route_func.h"

#include "entry_answer_func.h"
#include "entry_peer_func.h"
#include "entry_request_func.h"
#include "vanillahall/core/id_func.h"
#include "vanillahall/core/shard_log_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

/** A request that kept its route for longer than this gets a new routing deadline when it is parked again. */
constexpr Duration StableRouteTime = std::chrono::seconds(1);

/** @return The program that a request names; nothing for a new root. */
std::optional<ProgramId> programOf(const CallerRequest &body)
{
    struct Visitor
    {
        std::optional<ProgramId> operator()(const CreateProgram &it) const
        {
            return it.parent;
        }
        std::optional<ProgramId> operator()(const SubmitCall &it) const
        {
            return it.key.program;
        }
        std::optional<ProgramId> operator()(const TurnQuery &it) const
        {
            return it.key.program;
        }
        std::optional<ProgramId> operator()(const SettleOutcome &it) const
        {
            return it.key.program;
        }
        std::optional<ProgramId> operator()(const EndCommand &it) const
        {
            return it.program;
        }
        std::optional<ProgramId> operator()(const ProgramQuery &it) const
        {
            return it.program;
        }
        std::optional<ProgramId> operator()(const HistoryQuery &it) const
        {
            return it.program;
        }
    };
    return std::visit(Visitor(), body);
}

Requester callerRequester(RequestId id, const OpenRequest &request)
{
    return Requester{EntryName(), id, request.stream};
}

void serveLocally(EntryState &entry, RequestId id)
{
    OpenRequest &request = entry.requests.at(id);
    request.phase = RoutePhase::Local;
    request.since = entry.now.steady;
    const CallerRequest body = request.body; // The request may be removed while it is handled.
    serveRequest(entry, ServedRequest{callerRequester(id, request), request.customer, request.random}, body);
}

void forward(EntryState &entry, RequestId id, OpenRequest &request, const EntryName &holder)
{
    request.phase = RoutePhase::Forwarded;
    request.target = holder;
    request.since = entry.now.steady;
    sendToEntry(entry, holder, ForwardRequest{id, request.customer, request.stream, request.body});
}

void routeToHolder(EntryState &entry, RequestId id, OpenRequest &request, ShardId shard)
{
    const HolderLookup lookup = entry.directory.find(shard, entry.now);
    switch (lookup.knowledge) {
    case HolderKnowledge::Missing:
        answerRequester(entry, callerRequester(id, request), refusal(entry, ErrorCode::NotFound, Step::Route, "no such program"));
        break;
    case HolderKnowledge::Unknown:
        readLease(entry, shard);
        break;
    case HolderKnowledge::Reading:
        break;
    case HolderKnowledge::Known:
        if (lookup.holder.owner == entry.settings.name || lookup.holder.owner.empty()) {
            entry.directory.onNotHolder(shard, lookup.holder.owner, entry.now);
            readLease(entry, shard);
        } else if (isReachable(entry, lookup.holder.owner)) {
            forward(entry, id, request, lookup.holder.owner);
        }
        break;
    }
}

void failUnroutable(EntryState &entry, RequestId id, const OpenRequest &request)
{
    const Error error = refusal(entry, ErrorCode::HolderUnknown, Step::Route, "the program's holder can't be reached now", RetryDelay);
    answerRequester(entry, callerRequester(id, request), error);
}

void routeRequest(EntryState &entry, RequestId id)
{
    OpenRequest &request = entry.requests.at(id);
    request.nextTry = entry.now.steady + RouteRetryInterval;
    const std::optional<ProgramId> program = programOf(request.body);
    if (!program || servingShard(entry, program->shard) != nullptr) {
        serveLocally(entry, id);
    } else if (!entry.shards.contains(program->shard)) {
        routeToHolder(entry, id, request, program->shard);
    }
}

bool isParked(const EntryState &entry, RequestId id)
{
    const auto it = entry.requests.find(id);
    return it != entry.requests.end() && it->second.phase == RoutePhase::Parked;
}

std::vector<RequestId> parkedRequests(const EntryState &entry)
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : entry.requests) {
        if (request.phase == RoutePhase::Parked) {
            ids.push_back(id);
        }
    }
    return ids;
}

/** Removes requesters from all live calls and pending answers. */
template<typename Predicate>
void detachRequesters(EntryState &entry, Predicate matches)
{
    for (auto &[key, call] : entry.calls) {
        std::erase_if(call.requesters, matches);
    }
    for (auto &[id, shard] : entry.shards) {
        for (DurableWait &it : shard.waits) {
            if (auto *wait = std::get_if<AnswerWait>(&it.action)) {
                std::erase_if(wait->requesters, matches);
            }
        }
    }
}

void onNotHolder(EntryState &entry, const EntryName &from, RequestId id, const Error &error)
{
    OpenRequest &request = entry.requests.at(id);
    if (const std::optional<ProgramId> program = programOf(request.body)) {
        entry.directory.onNotHolder(program->shard, from, entry.now);
    }
    request.mayHaveRun = request.mayHaveRun || error.run != RunState::NotRun;
    parkRequest(entry, id);
}

/** @return The open request; null unless it is currently forwarded to `from`. */
OpenRequest *forwardedRequest(EntryState &entry, const EntryName &from, RequestId id)
{
    const auto it = entry.requests.find(id);
    const bool matches = it != entry.requests.end() && it->second.phase == RoutePhase::Forwarded && it->second.target == from;
    return matches ? &it->second : nullptr;
}

} // namespace

void onCallerRequest(EntryState &entry, const CallerRequestReceived &event)
{
    OpenRequest request;
    request.customer = event.customer;
    request.stream = event.stream;
    request.body = event.body;
    request.random = event.random;
    request.since = entry.now.steady;
    request.deadline = entry.now.steady + entry.settings.routeTimeout;
    entry.requests.insert_or_assign(event.request, std::move(request));
    routeRequest(entry, event.request);
}

void onCallerDisconnected(EntryState &entry, RequestId id)
{
    const auto it = entry.requests.find(id);
    if (it == entry.requests.end()) {
        return;
    }
    if (it->second.phase == RoutePhase::Forwarded) {
        sendToEntry(entry, it->second.target, ForwardCancel{id});
    }
    entry.requests.erase(it);
    detachRequesters(entry, [id](const Requester &requester) {
        return requester.entry.empty() && requester.request == id;
    });
}

void parkRequest(EntryState &entry, RequestId id)
{
    const auto it = entry.requests.find(id);
    if (it == entry.requests.end()) {
        return;
    }
    OpenRequest &request = it->second;
    if (request.phase != RoutePhase::Parked && entry.now.steady - request.since > StableRouteTime) {
        request.deadline = entry.now.steady + entry.settings.routeTimeout;
    }
    request.phase = RoutePhase::Parked;
    request.since = entry.now.steady;
    request.nextTry = entry.now.steady + RouteRetryInterval;
}

void sweepRequests(EntryState &entry)
{
    for (const RequestId id : parkedRequests(entry)) {
        const OpenRequest &request = entry.requests.at(id);
        if (entry.now.steady >= request.deadline) {
            failUnroutable(entry, id, request);
        } else if (entry.now.steady >= request.nextTry) {
            routeRequest(entry, id);
        }
    }
}

void routeParkedRequests(EntryState &entry, ShardId shard)
{
    for (const RequestId id : parkedRequests(entry)) {
        const std::optional<ProgramId> program = programOf(entry.requests.at(id).body);
        if (program && program->shard == shard && isParked(entry, id)) {
            routeRequest(entry, id);
        }
    }
}

void onPeerLost(EntryState &entry, const EntryName &peer)
{
    detachRequesters(entry, [&peer](const Requester &requester) {
        return requester.entry == peer;
    });
    for (auto &[id, request] : entry.requests) {
        if (request.phase != RoutePhase::Forwarded || request.target != peer) {
            continue;
        }
        request.mayHaveRun = true;
        if (const std::optional<ProgramId> program = programOf(request.body)) {
            entry.directory.onNotHolder(program->shard, peer, entry.now);
        }
        parkRequest(entry, id);
    }
}

void readLease(EntryState &entry, ShardId shard)
{
    if (!entry.directory.beginRead(shard, entry.now)) {
        return;
    }
    if (!entry.storeBudget.tryConsumeRead(entry.now)) {
        entry.directory.onReadFailed(shard, entry.now);
        return;
    }
    sendStoreRequest(entry, LeaseRead{shard}, StoreGet{leaseKey(shard)});
}

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardRequest &message)
{
    entry.peers[from].heartbeatUntil = entry.now.steady + RecentContactTimeout;
    const Requester requester{from, message.request, message.stream};
    const std::optional<ProgramId> program = programOf(message.body);
    if (!program || servingShard(entry, program->shard) == nullptr) {
        rerouteRequester(entry, requester, RunState::NotRun);
        return;
    }
    entry.generatedSerials++;
    const std::string seed
        = toText(entry.ownShard) + "/" + std::to_string(entry.settings.incarnation.value) + "/" + std::to_string(entry.generatedSerials);
    serveRequest(entry, ServedRequest{requester, message.customer, contentHash(seed).high}, message.body);
}

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardCancel &message)
{
    detachRequesters(entry, [&](const Requester &requester) {
        return requester.entry == from && requester.request == message.request;
    });
}

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardTokens &message)
{
    const OpenRequest *request = forwardedRequest(entry, from, message.request);
    const auto *submit = request == nullptr ? nullptr : std::get_if<SubmitCall>(&request->body);
    if (submit != nullptr) {
        streamToRequester(entry, callerRequester(message.request, *request), submit->key, message.firstToken, message.pieces);
    }
}

void onEntryMessage(EntryState &entry, const EntryName &from, const ForwardAnswer &message)
{
    const OpenRequest *request = forwardedRequest(entry, from, message.request);
    if (request == nullptr) {
        return;
    }
    const auto *error = std::get_if<Error>(&message.body);
    if (error != nullptr && error->code == ErrorCode::NotHolder) {
        onNotHolder(entry, from, message.request, *error);
        return;
    }
    answerRequester(entry, callerRequester(message.request, *request), message.body);
}

} // namespace Vanillahall
