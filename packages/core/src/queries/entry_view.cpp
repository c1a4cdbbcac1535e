#include "vanillahall/core/entry_query.h"

#include "entry_state.h"

namespace Vanillahall {

namespace {

TurnState liveState(const LiveCall &call)
{
    switch (call.phase) {
    case CallPhase::Intending:
    case CallPhase::Sending:
        return TurnState::Reserving;
    case CallPhase::Ordered:
    case CallPhase::Reconnecting:
    case CallPhase::Fetching:
        break;
    }
    return call.started ? TurnState::Running : TurnState::Ordered;
}

TurnView liveView(const LiveCall &call)
{
    TurnView view;
    view.key = call.key;
    view.state = liveState(call);
    view.input = call.input;
    view.server = call.server;
    view.attempt = call.attempt;
    view.began = call.began;
    return view;
}

TurnView recordView(const HeldShard &shard, const CallKey &key, const TurnRecord &turn)
{
    TurnView view;
    view.key = key;
    view.state = turn.outcome ? TurnState::Finished : TurnState::Ordered;
    view.input = turn.input;
    view.outcome = turn.outcome;
    view.server = turn.server;
    view.attempt = turn.attempt;
    view.began = turn.began;
    view.ended = turn.ended;
    view.durable = turn.outcome.has_value() && !shard.undurable.contains(key);
    return view;
}

GateView gateView(const EntryState &entry, const ServerName &server)
{
    GateView view;
    view.server = server;
    view.address = entry.workers.address(server);
    view.leaving = entry.workers.isLeaving(server);
    const auto link = entry.gates.find(server);
    if (link != entry.gates.end()) {
        view.ready = link->second.phase == GateLinkPhase::Ready;
        view.calls = link->second.calls.size();
    }
    return view;
}

ShardView shardView(const HeldShard &shard)
{
    ShardView view;
    view.shard = shard.log.shard();
    view.phase = shard.log.phase();
    view.epoch = shard.log.epoch();
    view.programs = shard.programs.programs().size();
    view.livePrograms = shard.programs.liveCount();
    view.undurable = shard.undurable.size();
    view.isStoreUnavailable = shard.log.isStoreUnavailable();
    return view;
}

} // namespace

std::optional<TurnView> turnView(const EntryState &entry, const CallKey &key)
{
    const auto live = entry.calls.find(key);
    if (live != entry.calls.end()) {
        return liveView(live->second);
    }
    const auto shard = entry.shards.find(key.program.shard);
    const Program *program = shard == entry.shards.end() ? nullptr : shard->second.programs.find(key.program);
    if (program == nullptr) {
        return std::nullopt;
    }
    const auto turn = program->turns.find(key.turn);
    if (turn == program->turns.end()) {
        return std::nullopt;
    }
    return recordView(shard->second, key, turn->second);
}

ProgramView programView(const EntryState &entry, const Program &program)
{
    const HeldShard &shard = entry.shards.at(program.id.shard);
    const Program *found = shard.programs.find(program.root);
    const Program &root = found == nullptr ? program : *found;
    ProgramView view;
    view.program = program.id;
    view.parent = program.parent;
    view.customer = program.customer;
    view.className = program.className;
    view.budget = root.budget;
    view.spent = shard.ledger.spent(program.root, entry.now.wall);
    view.began = root.began;
    const std::optional<std::chrono::milliseconds> target = classTarget(entry, program.className);
    view.deadline = root.began + target.value_or(root.budget.time);
    view.ended = program.ended.has_value();
    view.lastTurn = program.turns.empty() ? Turn() : program.turns.rbegin()->first;
    const CallKey next{program.id, Turn{view.lastTurn.value + 1}};
    if (entry.calls.contains(next)) {
        view.lastTurn = next.turn;
    }
    view.holder = entry.settings.name;
    return view;
}

HistoryView historyView(const EntryState &entry, const Program &program)
{
    HistoryView view;
    view.program = program.id;
    Turn next{1};
    for (std::optional<TurnView> turn = turnView(entry, CallKey{program.id, next}); turn;
         turn = turnView(entry, CallKey{program.id, next})) {
        view.turns.push_back(std::move(*turn));
        next.value++;
    }
    return view;
}

bool hasUnknownOutcome(const TurnView &turn)
{
    const Error *error = turn.outcome ? findError(*turn.outcome) : nullptr;
    return error != nullptr && error->run == RunState::Unknown && isNonRepeatable(turn.input);
}

std::vector<TurnView> callsWithUnknownOutcome(const EntryState &entry)
{
    std::vector<TurnView> views;
    for (const auto &[id, shard] : entry.shards) {
        for (const auto &[name, program] : shard.programs.programs()) {
            for (const auto &[number, turn] : program.turns) {
                TurnView view = recordView(shard, CallKey{name, number}, turn);
                if (hasUnknownOutcome(view)) {
                    views.push_back(std::move(view));
                }
            }
        }
    }
    return views;
}

std::vector<ProgramView> heldPrograms(const EntryState &entry)
{
    std::vector<ProgramView> views;
    for (const auto &[id, shard] : entry.shards) {
        for (const auto &[name, program] : shard.programs.programs()) {
            views.push_back(programView(entry, program));
        }
    }
    return views;
}

EntryView entryView(const EntryState &entry)
{
    EntryView view;
    view.entry = entry.settings.name;
    view.configKnown = entry.config.has_value();
    view.config = entry.config ? entry.config->version : ConfigVersion();
    view.stopping = entry.stop.has_value();
    view.requests = entry.requests.size();
    view.calls = entry.calls.size();
    for (const auto &[id, shard] : entry.shards) {
        view.shards.push_back(shardView(shard));
    }
    for (const auto &[id, unstored] : entry.unstored) {
        view.unstoredTurns += unstored.turns.size();
    }
    for (const ServerName &server : entry.workers.servers()) {
        view.gates.push_back(gateView(entry, server));
    }
    return view;
}

const ConfigRow *configInForce(const EntryState &entry)
{
    return entry.config ? &*entry.config : nullptr;
}

} // namespace Vanillahall
