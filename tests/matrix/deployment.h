/** Simulation of a deployment: real entries and gates with a fake store, backend servers, links, callers and clock. */
#pragma once

#include "backend_model.h"
#include "fault_type.h"

#include "core/fake_store.h"
#include "vanillahall/core/config_updater_base.h"
#include "vanillahall/core/entry_base.h"
#include "vanillahall/core/entry_query.h"
#include "vanillahall/core/gate_base.h"
#include "vanillahall/core/gate_query_func.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Vanillahall {

/** A safeguard that the deployment disables, to show that a check detects its absence. */
enum class Mutant : std::uint8_t {
    None,           ///< All safeguards are in force.
    NoFence,        ///< Late or outdated orders reach gates with a forged, valid fence.
    NoIntent,       ///< Intents never reach the store.
    RetryUnknown,   ///< Unknown outcomes reach entries as not run.
    NoDedup,        ///< A duplicated order starts a second call at the server.
    NotRunLie,      ///< Unknown outcomes reach callers as not run.
    TokenLost,      ///< One token is missing from an answer.
    CrossedAnswer,  ///< An answer carries another program's text.
    BudgetRaised,   ///< The budget is raised before it reaches the entry.
    MemoryKept,     ///< Engines confirm that memory was freed, but retain it.
    NoCondition,    ///< Conditional writes lose their conditions.
    WriteForgotten, ///< Records of finished turns are removed from writes.
    NoResend,       ///< A caller's retries are dropped.
};

constexpr std::size_t EntryCount = 3;     ///< Entries of a deployment.
constexpr std::size_t ServiceGate = 2;    ///< Index of the first gate of the service; gates with a lower index belong to engines.
constexpr std::size_t GateCount = 4;      ///< Gates of a deployment.
constexpr std::uint32_t ProgramTurns = 3; ///< Turns of a program: model, service, model.
constexpr std::uint32_t ServiceTurn = 2;  ///< The non-repeatable call.

/** How a caller behaves. */
enum class CallerBehaviour : std::uint8_t {
    Patient, ///< Retries refused turns; ends the program if the refusal has no Retry-After.
    GivesUp, ///< Also ends the program if a turn was refused as not run.
};

/** One entry process. */
struct EntryNode
{
    std::unique_ptr<Entry> entry;   ///< Null after it was killed.
    bool paused{};                  ///< True while the process is paused.
    bool leaving{};                 ///< True after a planned stop was requested.
    std::deque<EntryEvent> backlog; ///< Events received while paused.
    TimePoint writesLateUntil;      ///< Writes submitted before this time take effect 8 s late.
    TimePoint diedAt;               ///< When it was killed.
};

/** One gate process and its backend server. */
struct GateNode
{
    std::unique_ptr<Gate> gate; ///< Null while the process is down.
    std::uint64_t run{};        ///< Number of its starts; part of its incarnation.
    BackendModel backend;       ///< Its backend server.
    std::size_t onlyEntry{};    ///< Only this entry can reach it until `cutOffUntil`.
    TimePoint cutOffUntil;      ///< End of the partition.
};

/** The connection of an entry to a gate. */
struct GateConnection
{
    bool open{};          ///< True while it is established.
    LinkId id;            ///< Its id at the gate.
    bool silent{};        ///< True if messages are lost without the link being closed.
    TimePoint stallUntil; ///< Messages to the gate are not delivered before this time.
};

/** One caller with its program. */
struct CallerNode
{
    std::size_t home{};                                   ///< Entry to which it sends requests.
    CallerBehaviour behaviour = CallerBehaviour::Patient; ///< Reaction to refusals.
    Budget budget;                                        ///< Budget of its program.
    std::optional<ProgramId> program;                     ///< Set once the program was created.
    std::uint32_t turn{};                                 ///< Current turn; 0 creates the program, `ProgramTurns` + 1 ends it.
    bool done{};                                          ///< True once the end was accepted.
    RequestId waiting;                                    ///< Latest request without a response; 0 if none.
    TimePoint sentAt;                                     ///< When the latest request was sent, or the time of the next one.
    std::map<std::uint32_t, int> submissions;             ///< How often each turn was sent.
    std::map<std::uint32_t, TimePoint> firstSentAt;       ///< When each turn was first sent.
    std::map<std::uint32_t, CallOutcome> finals;          ///< Final outcome of each turn.
    std::map<std::uint32_t, Error> refusals;              ///< Latest refusal of each turn without a final outcome.
    TimePoint endedAt;                                    ///< When the end was accepted.
    std::string streamed;                                 ///< Text streamed for the latest request.
};

/** Faults, mutant and caller behaviour of one run. */
struct DeploymentPlan
{
    MatrixStep step = MatrixStep::Create;                 ///< The step at which the faults are injected.
    std::optional<MatrixFault> first;                     ///< First fault.
    std::optional<MatrixFault> second;                    ///< Second fault.
    CallerBehaviour behaviour = CallerBehaviour::Patient; ///< Behaviour of the first caller; the second is patient.
    Mutant mutant = Mutant::None;                         ///< The disabled safeguard.
    std::vector<std::pair<Duration, MatrixFault>> later;  ///< Further faults, with their time relative to 2 s after the start.
};

/** All processes of a simulated deployment, with two callers. */
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);

    /** Runs both programs to their end, or for 5 minutes of simulated time. */
    void run();

    std::vector<std::string> violations; ///< Violated guarantees; empty if all held.
    std::vector<std::string> trace;      ///< Readable trace of the run.
    bool stepReached{};                  ///< True once the step of the plan was reached.

private:
    // Time
    void schedule(TimePoint when, std::function<void()> what);
    void tickAll();
    // Processes
    void startEntry(std::size_t n);
    void startGate(std::size_t n);
    void deliverEvent(std::size_t entry, const EntryEvent &event);
    void deliverGateEvent(std::size_t gate, const GateEvent &event);
    void executeAction(std::size_t entry, const EntryAction &action);
    void executeGateAction(std::size_t gate, const GateAction &action);
    void killEntry(std::size_t n);
    void killGate(std::size_t n);
    [[nodiscard]] std::vector<VmListing> vmList() const;
    // Links
    void sendToGate(std::size_t entry, std::size_t gate, EntryToGate message);
    void sendToEntry(std::size_t gate, LinkId link, const GateToEntry &message);
    void deliverToEntry(std::size_t entry, std::size_t gate, LinkId link, const GateToEntry &message, Duration delay);
    void closeLink(std::size_t entry, std::size_t gate);
    void breakLink(std::size_t entry, std::size_t gate);
    // Store
    void sendStoreRequest(std::size_t entry, const SendStoreRequest &action);
    void deliverStoreReplies();
    // Faults and mutants
    void onStepReached(MatrixStep step, Duration delay = Duration(0));
    void injectFault(MatrixFault fault);
    void observeStoreRequest(std::size_t entry, const StoreRequest &request);
    void observeStream();
    [[nodiscard]] std::size_t holder() const;
    [[nodiscard]] std::size_t affectedGate() const;
    void deliverOrder(std::size_t gate, LinkId link, const EntryToGate &message);
    [[nodiscard]] bool isCutOff(std::size_t entry, std::size_t gate) const;
    [[nodiscard]] bool isOutdated(std::size_t gate, const Fence &fence) const;
    [[nodiscard]] EntryToGate applyMutant(std::size_t gate, EntryToGate message);
    [[nodiscard]] GateToEntry applyMutant(GateToEntry message) const;
    [[nodiscard]] StoreRequest applyMutant(StoreRequest request) const;
    [[nodiscard]] CallerAnswer applyMutant(CallerAnswer answer) const;
    // Callers
    void tickCaller(CallerNode &caller);
    void sendCallerRequest(CallerNode &caller);
    void onCallerResponse(CallerNode &caller, std::uint32_t turn, CallerAnswer answer);
    void onCallerRefusal(CallerNode &caller, std::uint32_t turn, const Error &error);
    void onCallerConnectionLost(std::size_t entry);
    [[nodiscard]] std::size_t nextEntry(std::size_t after) const;
    // Checks
    void recordViolation(const std::string &text);
    void addTrace(const std::string &text);
    void checkHolders();
    void checkViews();
    void checkPins();
    void checkStarts();
    void checkOutcome(const CallerNode &caller, std::uint32_t turn, const CallOutcome &outcome);
    void checkHistory(const CallerNode &caller, const HistoryView &view);
    void checkEnd();

    /** A caller's request. */
    struct Request
    {
        std::size_t caller{};
        std::uint32_t turn{};
        std::size_t entry{};
        bool answered{};
    };

    DeploymentPlan m_plan;
    Now m_now{TimePoint(1000s), WallTime(std::chrono::hours(480000))};
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_scheduled;
    std::uint64_t m_lastSerial = 0;
    FakeStore m_store;
    TimePoint m_storeDownUntil;
    TimePoint m_storeSlowUntil;
    TimePoint m_repliesLostUntil;
    TimePoint m_duplicateUntil;
    TimePoint m_healedAt;
    std::vector<EntryNode> m_entries;
    std::vector<GateNode> m_gates;
    std::map<std::pair<std::size_t, std::size_t>, GateConnection> m_connections;
    std::set<LinkId> m_brokenLinks;
    std::vector<CallerNode> m_callers;
    std::map<RequestId, Request> m_requests;
    std::uint64_t m_lastLink = 0;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_lastModelGate = 0;
    std::size_t m_lastServiceGate = ServiceGate;
    bool m_holderStopped = false;
    std::optional<std::size_t> m_takeoverEntry;
    std::map<std::pair<std::size_t, ShardId>, Epoch> m_newestEpochs; ///< Newest epoch sent to each gate, by shard.
    std::map<RequestId, HistoryView> m_histories;
    std::size_t m_startsChecked = 0;
};

} // namespace Vanillahall
