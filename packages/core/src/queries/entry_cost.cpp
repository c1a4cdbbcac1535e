#include "vanillahall/core/entry_query.h"

#include "entry_state.h"

#include <algorithm>

namespace Vanillahall {

namespace {

void addTurn(TimeSpent &spent, const TurnRecord &turn)
{
    const auto *result = turn.outcome ? std::get_if<CallResult>(&*turn.outcome) : nullptr;
    const Duration total = std::max(turn.ended - turn.began, WallTime::duration::zero());
    if (result == nullptr) {
        spent.rest += total;
        return;
    }
    Duration attributed = result->waited;
    spent.waiting += result->waited;
    if (std::holds_alternative<ModelInput>(turn.input)) {
        spent.prefill += result->prefill;
        spent.decode += result->decode;
        attributed += result->prefill + result->decode;
    } else {
        const Duration service = std::max(total - result->waited, Duration::zero());
        spent.service += service;
        attributed += service;
    }
    spent.rest += std::max(total - attributed, Duration::zero());
}

TimeSpent timeSpent(const Program &program)
{
    TimeSpent spent;
    WallTime previous = program.began;
    for (const auto &[number, turn] : program.turns) {
        spent.pause += std::max(turn.began - previous, WallTime::duration::zero());
        addTurn(spent, turn);
        previous = std::max(previous, turn.ended);
    }
    spent.pause += std::max(*program.ended - previous, WallTime::duration::zero());
    return spent;
}

std::chrono::milliseconds targetOf(const EntryState &entry, const ClassName &name)
{
    const ConfigRow *config = configInForce(entry);
    if (config != nullptr) {
        for (const auto &it : config->classes) {
            if (it.name == name) {
                return it.target;
            }
        }
    }
    return {};
}

} // namespace

std::optional<ProgramCost> programCost(const EntryState &entry, const ProgramId &program)
{
    const auto shard = entry.shards.find(program.shard);
    const Program *found = shard == entry.shards.end() ? nullptr : shard->second.programs.find(program);
    if (found == nullptr || !found->ended || found->root != found->id) {
        return std::nullopt;
    }
    ProgramCost cost;
    cost.program = program;
    cost.customer = found->customer;
    cost.className = found->className;
    cost.target = targetOf(entry, found->className);
    cost.latency = *found->ended - found->began;
    cost.spent = timeSpent(*found);
    cost.ended = *found->ended;
    return cost;
}

} // namespace Vanillahall
