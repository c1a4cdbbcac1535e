/** A few entries with real ShardLogs and LeaseMonitors, a fake store, and made-up time with faults. */
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

/** What happens at one moment of a schedule. */
enum class SimulationActionKind : std::uint8_t {
    Append,        ///< The holder appends `amount` records.
    StoreRefuses,  ///< The store refuses the entry.
    StoreSilent,   ///< The store doesn't answer the entry.
    AnswersLost,   ///< The store does what the entry asks, but no answer arrives.
    WritesDelayed, ///< The store does what the entry asks `amount` x 100 ms later.
    StaleReads,    ///< The store answers the entry's reads with old data.
    StoreDown,     ///< The store refuses everyone.
    Pause,         ///< The entry's process is stopped and goes on later.
    Crash,         ///< The entry's process dies and starts again later.
    LinkCut,       ///< Messages from the entry to all others are lost.
    LinkSlow,      ///< Messages from the entry arrive `amount` x 100 ms later.
    HandOver,      ///< The entry gives its shards to the next entry.
    Rename,        ///< The entry names its successors in another order, or fewer of them.
};

/** One step of a schedule. */
struct SimulationAction
{
    SimulationActionKind kind = SimulationActionKind::Append; ///< What happens.
    unsigned entry{};                                         ///< To which entry.
    unsigned amount{};                                        ///< How much, by kind.
    std::chrono::milliseconds length{};                       ///< For how long.
    std::chrono::milliseconds after{};                        ///< Time until the next step.
};

std::ostream &operator<<(std::ostream &stream, const SimulationAction &action);

/** One entry of the world. */
struct SimulatedEntry
{
    EntryName name;                                        ///< Its name.
    Incarnation incarnation;                               ///< This run.
    Duration clockOffset{};                                ///< Its clock minus true time, at true time 0.
    double clockRate = 1.0;                                ///< Speed of its clock.
    bool running = false;                                  ///< False between a crash and the next start.
    std::map<ShardId, std::unique_ptr<ShardLog>> logs;     ///< Shards that it holds or claims.
    std::map<ShardId, std::vector<JournalRecord>> live;    ///< Records of the shards that it holds.
    std::unique_ptr<LeaseMonitor> leaseMonitor;            ///< Leases of others.
    ShardLogOutput out;                                    ///< Shared by its logs.
    std::map<StoreRequestId, ShardId> reads;               ///< Reads of lease rows for the watch.
    std::optional<StoreRequestId> poll;                    ///< Read that stands for the poll of the configuration.
    TimePoint nextPoll;                                    ///< By its own clock.
    bool storeFailed{};                                    ///< True if the newest answer of the store was a failure.
    std::optional<StoreRequestId> scan;                    ///< Page of the search for orphans.
    std::vector<FakeAnswer> answers;                       ///< Arrived while it was stopped.
    std::vector<std::pair<EntryName, EntryToEntry>> inbox; ///< Arrived while it was stopped.
    TimePoint nextHeartbeat;                               ///< By its own clock.
    TimePoint startAt;                                     ///< When it starts again, by true time.
    TimePoint pausedUntil;                                 ///< By true time.
    TimePoint faultUntil;                                  ///< End of its store fault, by true time.
    StoreFault fault = StoreFault::None;                   ///< Its store fault.
    Duration faultDelay{};                                 ///< For delayed writes.
    TimePoint cutUntil;                                    ///< End of the loss of its messages.
    TimePoint slowUntil;                                   ///< End of the delay of its messages.
    Duration slowBy{};                                     ///< The delay.
    unsigned successorShift{};                             ///< Which of the others is named first.
    unsigned successorCount = 2;                           ///< How many are named.
};

/** A message on its way. */
struct SimulatedMessage
{
    TimePoint arrives;    ///< When.
    std::size_t to{};     ///< For which entry.
    EntryName from;       ///< From whom.
    EntryToEntry message; ///< What.
};

/** The world. Checks what must always hold after every step of time. */
class ShardSimulation
{
public:
    ShardSimulation(ShardLogSettings settings, unsigned entries);

    /** Carries out one step of a schedule, then lets its time pass. */
    void act(const SimulationAction &action);
    /** Lets time pass. */
    void run(Duration time);
    /** Ends all faults. */
    void heal();

    /** @return Faults against the promises seen so far; empty if all is well. */
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /** @return Index of the entry that may order for a shard; nothing if there is none. */
    [[nodiscard]] std::optional<std::size_t> holderOf(ShardId shard) const;
    /** @return The first shard; entry 0 creates it. */
    [[nodiscard]] static ShardId shard();
    /** @return Records that a holder has reported durable. */
    [[nodiscard]] std::size_t durableCount() const;
    [[nodiscard]] TimePoint trueTime() const;

    FakeStore store;                     ///< The store.
    std::vector<SimulatedEntry> entries; ///< The entries.

private:
    void step();
    void start(std::size_t index);
    void stepEntry(std::size_t index);
    void drain(SimulatedEntry &entry, std::size_t index);
    void ask(SimulatedEntry &entry, std::size_t index, StoreRequestId id, const StoreRequest &body);
    void tell(std::size_t from, const EntryName &to, const EntryToEntry &message);
    void onMessage(std::size_t index, const EntryName &from, const EntryToEntry &message, Now now);
    void onAnswer(std::size_t index, const FakeAnswer &answer, Now now);
    void tickLogs(SimulatedEntry &entry, Now now);
    void tickWatch(SimulatedEntry &entry, std::size_t index, Now now);
    void endClaim(SimulatedEntry &entry, ShardId id, Now now);
    void heartbeat(std::size_t index, Now now);
    void takeRecovered(SimulatedEntry &entry, ShardId id);
    void noteDurable(const SimulatedEntry &entry, ShardId id);
    void checkHolders();
    [[nodiscard]] Now clockOf(const SimulatedEntry &entry) const;
    [[nodiscard]] std::vector<EntryName> successorsOf(std::size_t index) const;
    [[nodiscard]] bool awayFor(const SimulatedEntry &entry) const;

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
