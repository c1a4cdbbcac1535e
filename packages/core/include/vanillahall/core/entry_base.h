/** Decision logic of an entry: admission, placement and ordering of calls, and answers to callers. Uses no sockets, threads or clock. */
#pragma once

#include "vanillahall/core/entry_event_type.h"
#include "vanillahall/core/holder_directory_base.h"
#include "vanillahall/core/shard_log_type.h"
#include "vanillahall/core/store_budget_base.h"

#include <memory>
#include <vector>

namespace Vanillahall {

/** Identity and parameters of an entry. */
struct EntrySettings
{
    EntryName name;                                              ///< This VM's name.
    ZoneName zone;                                               ///< Its availability zone.
    Incarnation incarnation;                                     ///< Random number that identifies this run of the process.
    ShardId shard;                                               ///< Random number of the shard that new programs are created in.
    Duration tick = std::chrono::milliseconds(10);               ///< Longest time between two events; Tick events ensure it.
    Duration heartbeatInterval = std::chrono::milliseconds(500); ///< Interval of EntryStatus to successors and Probes to gates.
    Duration silenceTimeout = std::chrono::seconds(2);     ///< A connection on which nothing was received for this long counts as lost.
    Duration configPollInterval = std::chrono::seconds(2); ///< Interval of reads of the configuration.
    Duration modelTimeLimit = std::chrono::minutes(5);     ///< Time limit of a model call.
    Duration serviceTimeLimit = std::chrono::seconds(30);  ///< Time limit of a service call.
    Duration gateLossTimeout = std::chrono::seconds(10);   ///< Calls at a gate that is unreachable for this long are given up.
    Duration stopLimit = std::chrono::minutes(2);          ///< Time limit of a planned stop.
    Duration routeTimeout = std::chrono::seconds(6);       ///< Longest search for a program's holder before a request is refused.
    Duration endedRetention = std::chrono::minutes(10);    ///< An ended program can be queried for this long.
    std::uint32_t maxAttempts = 4;                         ///< Attempts of one turn before it fails.
    HolderDirectorySettings directory;                     ///< Cache of the holders of other shards.
    StoreBudgetSettings store;                             ///< Request rate that all entries together may send to the store.
    ShardLogSettings log;                                  ///< Leases and journals.
};

struct EntryState;

/**
 * One entry, as a deterministic state machine: handle() takes an event and returns the actions to carry out, in order.
 * Equal sequences of events at equal times give equal actions.
 */
class Entry
{
public:
    /** @param settings Identity and parameters. */
    explicit Entry(EntrySettings settings);
    ~Entry();
    Entry(Entry &&) noexcept;
    Entry &operator=(Entry &&) noexcept;

    /**
     * Handles one event.
     * @param event What happened.
     * @param now Current time; must not go back between calls.
     * @return Actions to carry out, in order.
     */
    std::vector<EntryAction> handle(const EntryEvent &event, Now now);

    /** @return Read-only state, for the queries of queries/entry_query.h. */
    [[nodiscard]] const EntryState &state() const;

private:
    std::unique_ptr<EntryState> m_state;
};

} // namespace Vanillahall
