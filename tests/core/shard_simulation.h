/** Simulation of several entries with real ShardLogs and LeaseMonitors, a fake store, simulated time and faults. */
#pragma once

#include "vanillahall/core/lease_monitor_base.h"
#include "vanillahall/core/shard_log_base.h"
#include "vanillahall/core/shard_log_func.h"

#include "fake_store.h"

#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Kind of a step of a schedule. */
enum class SimulationActionKind : std::uint8_t {
    Append,        ///< The holder appends `amount` records.
    StoreRefuses,  ///< The store refuses all requests of the entry.
    StoreSilent,   ///< The store doesn't answer requests of the entry.
    AnswersLost,   ///< The store executes the requests of the entry, but its replies are lost.
    WritesDelayed, ///< The store executes the requests of the entry `amount` x 100 ms later.
    StaleReads,    ///< The store replies to reads of the entry with outdated data.
    StoreDown,     ///< The store is down for all entries: it refuses requests, or doesn't answer if `amount` is odd.
    Pause,         ///< The process of the entry is suspended and resumed later.
    Crash,         ///< The process of the entry crashes and is restarted later.
    LinkCut,       ///< Messages from the entry to all others are lost.
    LinkSlow,      ///< Messages from the entry arrive `amount` x 100 ms later.
    HandOver,      ///< The entry hands its shards over to the next entry.
    Rename,        ///< The entry names its successors in another order, or fewer of them.
};

/** One step of a schedule. */
struct SimulationAction
{
    SimulationActionKind kind = SimulationActionKind::Append; ///< Kind of the step.
    unsigned entry{};                                         ///< Index of the entry concerned.
    unsigned amount{};                                        ///< Amount; its meaning depends on the kind.
    std::chrono::milliseconds length{};                       ///< Duration of the fault.
    std::chrono::milliseconds after{};                        ///< Time until the next step.
};

std::ostream &operator<<(std::ostream &stream, const SimulationAction &action);

/** One entry of the simulation. */
struct SimulatedEntry
{
    EntryName name;                                        ///< Its name.
    Incarnation incarnation;                               ///< Incarnation of its process.
    Duration clockOffset{};                                ///< Its clock minus true time, at true time 0.
    double clockRate = 1.0;                                ///< Speed of its clock relative to true time.
    bool running = false;                                  ///< False between a crash and the next start.
    std::map<ShardId, std::unique_ptr<ShardLog>> logs;     ///< Shards that it holds or claims.
    std::map<ShardId, std::vector<JournalRecord>> live;    ///< Records of the shards that it holds.
    std::unique_ptr<LeaseMonitor> leaseMonitor;            ///< Monitors the leases of other entries.
    ShardLogOutput out;                                    ///< Output shared by its logs.
    std::map<StoreRequestId, ShardId> reads;               ///< Reads of lease rows for the lease monitor.
    std::optional<StoreRequestId> poll;                    ///< Read in progress that simulates the poll of the configuration.
    TimePoint nextPoll;                                    ///< Time of the next poll, by its own clock.
    bool storeFailed{};                                    ///< True if the newest reply of the store was a failure.
    std::optional<StoreRequestId> scan;                    ///< Page of the scan for orphaned shards in progress.
    std::vector<FakeAnswer> answers;                       ///< Replies that arrived since it last ran.
    std::vector<std::pair<EntryName, EntryToEntry>> inbox; ///< Messages that arrived since it last ran.
    TimePoint nextHeartbeat;                               ///< Time of the next heartbeat, by its own clock.
    TimePoint startAt;                                     ///< When it starts again, by true time.
    TimePoint pausedUntil;                                 ///< End of its suspension, by true time.
    TimePoint faultUntil;                                  ///< End of its store fault, by true time.
    StoreFault fault = StoreFault::None;                   ///< Its store fault.
    Duration faultDelay{};                                 ///< Delay of requests while the fault is Delayed.
    TimePoint cutUntil;                                    ///< End of the loss of its messages.
    TimePoint slowUntil;                                   ///< End of the delay of its messages.
    Duration slowBy{};                                     ///< The delay.
    unsigned successorShift{};                             ///< Index, among the other entries, of the first successor.
    unsigned successorCount = 2;                           ///< Number of successors.
};

/** A message in transit. */
struct SimulatedMessage
{
    TimePoint arrives;    ///< When it arrives.
    std::size_t to{};     ///< Index of the receiver.
    EntryName from;       ///< Sender.
    EntryToEntry message; ///< Content.
};

/** The simulation. Checks its invariants after every time step. */
class ShardSimulation
{
public:
    ShardSimulation(ShardLogSettings settings, unsigned entries);

    /** Performs one step of a schedule, then advances the time until the next one. */
    void perform(const SimulationAction &action);
    /** Advances the time. */
    void run(Duration time);
    /** Ends all faults. */
    void endFaults();

    /** @return Violations of the invariants found so far. */
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /** @return Index of the entry that may order calls for a shard; nothing if there is none. */
    [[nodiscard]] std::optional<std::size_t> holderOf(ShardId shard) const;
    /** @return The shard under test; entry 0 creates it. */
    [[nodiscard]] static ShardId shard();
    /** @return Number of records that a holder has reported as durable. */
    [[nodiscard]] std::size_t durableCount() const;
    [[nodiscard]] TimePoint trueTime() const;

    FakeStore store;                     ///< The store.
    std::vector<SimulatedEntry> entries; ///< The entries.

private:
    void step();
    void start(std::size_t index);
    void stepEntry(std::size_t index);
    void drain(SimulatedEntry &entry, std::size_t index);
    void sendToStore(SimulatedEntry &entry, std::size_t index, StoreRequestId id, const StoreRequest &body);
    void sendMessage(std::size_t from, const EntryName &to, const EntryToEntry &message);
    void onMessage(std::size_t index, const EntryName &from, const EntryToEntry &message, Now now);
    void onAnswer(std::size_t index, const FakeAnswer &answer, Now now);
    void tickLogs(SimulatedEntry &entry, Now now);
    void tickMonitor(SimulatedEntry &entry, std::size_t index, Now now);
    void endClaim(SimulatedEntry &entry, ShardId id, Now now);
    void heartbeat(std::size_t index, Now now);
    void takeRecovered(SimulatedEntry &entry, ShardId id);
    void recordDurable(const SimulatedEntry &entry, ShardId id);
    void checkSingleHolder();
    [[nodiscard]] Now clockOf(const SimulatedEntry &entry) const;
    [[nodiscard]] std::vector<EntryName> successorsOf(std::size_t index) const;
    [[nodiscard]] bool isStoreUnavailableFor(const SimulatedEntry &entry) const;

    ShardLogSettings m_settings;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<SimulatedMessage> m_messages;
    std::map<ShardId, std::map<RecordNumber, std::uint64_t>> m_durable;
    std::map<ShardId, Epoch> m_epochs;
    std::vector<std::string> m_violations;
    std::uint64_t m_nextSerial = 1;
    std::uint64_t m_nextIncarnation = 1;
    bool m_created = false;
};

} // namespace Vanillahall
