/** Queries on an entry's state. */
#pragma once

#include "vanillahall/core/burn_type.h"
#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/entry_base.h"
#include "vanillahall/core/program_type.h"
#include "vanillahall/core/shard_log_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** A shard that this entry holds or claims. */
struct ShardView
{
    ShardId shard;              ///< Which shard.
    ShardPhase phase{};         ///< Phase of its lease.
    Epoch epoch;                ///< Fencing number.
    std::size_t programs{};     ///< Programs, ended ones included.
    std::size_t livePrograms{}; ///< Programs that haven't ended.
    std::size_t undurable{};    ///< Ended turns that aren't durable yet.
    bool isStoreUnavailable{};  ///< True if the store is unavailable.
};

/** A gate as this entry sees it. */
struct GateView
{
    ServerName server;   ///< Its backend server.
    std::string address; ///< "ip:port".
    bool ready{};        ///< True if the connection is up.
    bool leaving{};      ///< True if it is excluded from new calls.
    std::size_t calls{}; ///< Calls of this entry that are bound to it.
};

/** Summary of an entry's state. */
struct EntryView
{
    EntryName entry;               ///< Its name.
    ConfigVersion config;          ///< Version of the configuration in force; 0 before the first read.
    bool configKnown{};            ///< True once the configuration was read.
    bool stopping{};               ///< True during a planned stop.
    std::size_t requests{};        ///< Callers' requests without a final answer.
    std::size_t calls{};           ///< Calls that haven't ended.
    std::vector<ShardView> shards; ///< Shards held or being claimed.
    std::size_t unstoredTurns{};   ///< Ended turns of lost shards that no new holder has accepted yet.
    std::vector<GateView> gates;   ///< All known gates.
};

EntryView entryView(const EntryState &entry);

/** @return Non-repeatable calls of programs held here whose outcome is unknown and not yet settled by an operator. */
std::vector<TurnView> callsWithUnknownOutcome(const EntryState &entry);

/** @return Every program held here. */
std::vector<ProgramView> heldPrograms(const EntryState &entry);

/** @return A turn of a program held here; nothing if there is none. */
std::optional<TurnView> turnView(const EntryState &entry, const CallKey &key);

/** @return A program of a shard held here. */
ProgramView programView(const EntryState &entry, const Program &program);

/** @return All turns of a program held here, including a running one. */
HistoryView historyView(const EntryState &entry, const Program &program);

/** @return Latency breakdown of an ended root program; nothing for a sub-agent or a program that isn't held here. */
std::optional<ProgramCost> programCost(const EntryState &entry, const ProgramId &program);

/** @return True if the outcome is unknown and an operator may settle it. */
bool hasUnknownOutcome(const TurnView &turn);

/** @return Configuration in force; null before the first read. */
const ConfigRow *configInForce(const EntryState &entry);

} // namespace Vanillahall
