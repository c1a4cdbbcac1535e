#include "entry_pending_command_func.h"

#include "entry_gate_func.h"

#include <algorithm>
#include <map>

namespace Vanillahall {

namespace {

ShardId shardOf(const PendingCommand &command)
{
    struct Visitor
    {
        ShardId operator()(const PendingEnd &it) const
        {
            return it.program.shard;
        }
        ShardId operator()(const PendingSettle &it) const
        {
            return it.key.program.shard;
        }
        ShardId operator()(const PendingCancel &it) const
        {
            return it.key.program.shard;
        }
    };
    return std::visit(Visitor(), command.body);
}

bool isDue(const GateLink &link, const PendingCommand &command)
{
    const auto *settle = std::get_if<PendingSettle>(&command.body);
    return !command.sentAfterProbe && (settle == nullptr || link.clock > settle->notBefore || settle->notBefore == GateTime());
}

/** @return True if both commands end the same program. */
bool isSameProgramEnd(const PendingCommand &command, const std::variant<PendingEnd, PendingSettle, PendingCancel> &body)
{
    const auto *end = std::get_if<PendingEnd>(&command.body);
    const auto *other = std::get_if<PendingEnd>(&body);
    return end != nullptr && other != nullptr && end->program == other->program;
}

/** Settle messages under construction, one per shard. */
using SettledKeys = std::map<ShardId, SettleCalls>;

void send(EntryState &entry, const ServerName &server, const Fence &fence, const PendingCommand &command, SettledKeys &settled)
{
    if (const auto *end = std::get_if<PendingEnd>(&command.body)) {
        sendToGate(entry, server, EndProgram{end->program, fence});
    } else if (const auto *cancel = std::get_if<PendingCancel>(&command.body)) {
        sendToGate(entry, server, CancelCall{cancel->key, cancel->attempt, fence});
    } else {
        SettleCalls &message = settled[fence.shard];
        message.fence = fence;
        message.keys.push_back(std::get<PendingSettle>(command.body).key);
    }
}

} // namespace

void addPendingCommand(EntryState &entry, const ServerName &server, const std::variant<PendingEnd, PendingSettle, PendingCancel> &body)
{
    if (server.empty()) {
        return;
    }
    GateLink &link = entry.gates[server];
    const auto same = [&body](const PendingCommand &it) {
        return isSameProgramEnd(it, body) && !it.sentAfterProbe;
    };
    if (std::none_of(link.pendingCommands.begin(), link.pendingCommands.end(), same)) {
        link.pendingCommands.push_back(PendingCommand{body, std::nullopt});
    }
    connectGate(entry, server);
}

void runPendingCommands(EntryState &entry, const ServerName &server, GateLink &link)
{
    std::erase_if(link.pendingCommands, [&entry](const PendingCommand &it) {
        return !entry.shards.contains(shardOf(it));
    });
    if (link.phase != GateLinkPhase::Ready) {
        return;
    }
    SettledKeys settled;
    for (PendingCommand &command : link.pendingCommands) {
        const std::optional<Fence> fence = makeFence(entry, entry.shards.at(shardOf(command)), link);
        if (fence && isDue(link, command)) {
            send(entry, server, *fence, command, settled);
            command.sentAfterProbe = link.sequence;
        }
    }
    for (auto &[shard, message] : settled) {
        sendToGate(entry, server, std::move(message));
    }
}

void confirmPendingCommands(GateLink &link, std::uint64_t sequence)
{
    std::erase_if(link.pendingCommands, [sequence](const PendingCommand &it) {
        return it.sentAfterProbe && sequence > *it.sentAfterProbe;
    });
}

void resetPendingCommands(GateLink &link)
{
    for (PendingCommand &command : link.pendingCommands) {
        command.sentAfterProbe.reset();
    }
}

void dropCallCommands(GateLink &link)
{
    std::erase_if(link.pendingCommands, [](const PendingCommand &it) {
        return !std::holds_alternative<PendingEnd>(it.body);
    });
}

void onPinnedPrograms(EntryState &entry, const ServerName &server, ShardId shard, const std::vector<ProgramId> &programs)
{
    HeldShard *held = servingShard(entry, shard);
    if (held == nullptr) {
        return;
    }
    for (const ProgramId &id : programs) {
        const Program *program = held->programs.find(id);
        if (program == nullptr || program->ended) {
            addPendingCommand(entry, server, PendingEnd{id});
        }
    }
    runPendingCommands(entry, server, entry.gates[server]);
}

} // namespace Vanillahall
