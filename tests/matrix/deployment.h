/** Real entries and gates with a fake store, fake backend servers, fake links and callers, driven by made-up time. */
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

/** A safeguard that the deployment undoes, to see that a check notices. */
enum class Mutant : std::uint8_t {
    None,           ///< Nothing is broken.
    NoFence,        ///< Late or outdated orders reach gates with a forged, valid fence.
    NoIntent,       ///< Intents never reach the store.
    RetryUnknown,   ///< Unknown outcomes reach entries as not run.
    NoDedup,        ///< A doubled order starts a second call at the server.
    NotRunLie,      ///< Unknown outcomes reach callers as not run.
    TokenLost,      ///< One token is missing from an answer.
    CrossedAnswer,  ///< An answer carries another program's text.
    BudgetRaised,   ///< The budget is raised on its way.
    MemoryKept,     ///< Engines say that memory is free and keep it.
    NoCondition,    ///< The store checks no versions.
    WriteForgotten, ///< Finished turns vanish from what is written.
    NoResend,       ///< A caller's second try is swallowed.
};

constexpr std::size_t EntryCount = 3;     ///< Entries of a deployment.
constexpr std::size_t ServiceGate = 2;    ///< First gate in front of the service; those before front engines.
constexpr std::size_t GateCount = 4;      ///< Gates of a deployment.
constexpr std::uint32_t ProgramTurns = 3; ///< Turns of a program: model, service, model.
constexpr std::uint32_t ServiceTurn = 2;  ///< The non-repeatable call.

/** How a caller behaves. */
enum class CallerMood : std::uint8_t {
    Patient, ///< Sends again after every refusal.
    GivesUp, ///< Never sends a turn again that was refused as not run.
};

/** One entry process. */
struct EntryNode
{
    std::unique_ptr<Entry> entry;   ///< Null once it is dead.
    bool paused{};                  ///< True while it stands still.
    bool leaving{};                 ///< True on a planned stop.
    std::deque<EntryEvent> backlog; ///< What came while it stood still.
    TimePoint writesLateUntil;      ///< Its writes take effect late until then.
    TimePoint diedAt;               ///< When it died.
};

/** One gate process and its backend server. */
struct GateNode
{
    std::unique_ptr<Gate> gate; ///< Null while it is dead.
    std::uint64_t run{};        ///< Its incarnation.
    BackendModel backend;       ///< What it fronts.
    std::size_t onlyEntry{};    ///< The entry that reaches it until `cutOffUntil`.
    TimePoint cutOffUntil;      ///< No other entry reaches it until then.
};

/** The connection of an entry to a gate. */
struct GateWire
{
    bool open{};          ///< True while both ends know it.
    LinkId id;            ///< Its number at the gate.
    bool silent{};        ///< True once nothing gets through.
    TimePoint stallUntil; ///< Orders arrive not before this.
};

/** One caller with its program. */
struct CallerNode
{
    std::size_t home{};                          ///< Entry that it asked last.
    CallerMood mood = CallerMood::Patient;       ///< How it behaves.
    Budget budget;                               ///< What it set.
    std::optional<ProgramId> program;            ///< Set once accepted.
    std::uint32_t turn{};                        ///< Present turn; 0 is the creation, the one after the last is the end.
    bool done{};                                 ///< True once the end was accepted or it gave up.
    RequestId waiting;                           ///< Newest request; 0 if none.
    TimePoint askedAt;                           ///< When it was sent.
    std::map<std::uint32_t, int> submissions;    ///< How often each turn was sent.
    std::map<std::uint32_t, TimePoint> firstAt;  ///< When each turn was sent first.
    std::map<std::uint32_t, CallOutcome> finals; ///< Final outcome of each turn.
    std::map<std::uint32_t, Error> refusals;     ///< Newest refusal of each turn without a final outcome.
    TimePoint endedAt;                           ///< When the end was accepted.
    std::string streamed;                        ///< Text streamed for the newest request.
};

/** What to run. */
struct DeploymentPlan
{
    MatrixStep step = MatrixStep::Create;                ///< Where the faults strike.
    std::optional<MatrixFault> first;                    ///< First fault.
    std::optional<MatrixFault> second;                   ///< Second fault.
    CallerMood mood = CallerMood::Patient;               ///< Of both callers.
    Mutant mutant = Mutant::None;                        ///< What is broken on purpose.
    std::vector<std::pair<Duration, MatrixFault>> later; ///< Further faults at given moments.
};

/** All processes of a test. */
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);

    /** Runs both programs to their end, or until every time limit has passed. */
    void run();

    std::vector<std::string> faults; ///< Broken promises; empty if all were kept.
    std::vector<std::string> trace;  ///< What happened, for a person.
    bool fired{};                    ///< True once the step was reached.

private:
    // Time.
    void at(TimePoint when, std::function<void()> what);
    void tickAll();
    // Processes.
    void makeEntry(std::size_t n);
    void makeGate(std::size_t n);
    void give(std::size_t entry, const EntryEvent &event);
    void giveGate(std::size_t gate, const GateEvent &event);
    void carryOut(std::size_t entry, const EntryAction &action);
    void carryOutAtGate(std::size_t gate, const GateAction &action);
    void killEntry(std::size_t n);
    void killGate(std::size_t n);
    [[nodiscard]] std::vector<VmListing> vmList() const;
    // Links.
    void sendToGate(std::size_t entry, std::size_t gate, EntryToGate message);
    void sendToEntry(std::size_t gate, LinkId link, const GateToEntry &message);
    void deliverToEntry(std::size_t entry, std::size_t gate, LinkId link, const GateToEntry &message, Duration delay);
    void forget(std::size_t entry, std::size_t gate);
    void cut(std::size_t entry, std::size_t gate);
    // Store.
    void ask(std::size_t entry, const SendStoreRequest &action);
    void pumpStore();
    // Faults.
    void reached(MatrixStep step, Duration delay = Duration(0));
    void strike(MatrixFault fault);
    void watchStore(std::size_t entry, const StoreRequest &request);
    void watchStream();
    [[nodiscard]] std::size_t holder() const;
    [[nodiscard]] std::size_t gateConcerned() const;
    void deliverOrder(std::size_t gate, LinkId link, const EntryToGate &message);
    [[nodiscard]] bool isCutOff(std::size_t entry, std::size_t gate) const;
    [[nodiscard]] bool isLapsed(std::size_t gate, const Fence &fence) const;
    [[nodiscard]] EntryToGate mutated(std::size_t gate, EntryToGate message);
    [[nodiscard]] GateToEntry mutated(GateToEntry message) const;
    [[nodiscard]] StoreRequest mutated(StoreRequest request) const;
    [[nodiscard]] CallerAnswer mutated(CallerAnswer answer) const;
    // Callers.
    void callerTick(CallerNode &caller);
    void callerSend(CallerNode &caller);
    void callerAnswered(CallerNode &caller, std::uint32_t turn, CallerAnswer answer);
    void callerRefused(CallerNode &caller, std::uint32_t turn, const Error &error);
    void callerLost(std::size_t entry);
    [[nodiscard]] std::size_t nextEntry(std::size_t after) const;
    // Checks.
    void fault(const std::string &text);
    void note(const std::string &text);
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
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_queue;
    std::uint64_t m_serial = 0;
    FakeStore m_store;
    TimePoint m_storeDownUntil;
    TimePoint m_storeSlowUntil;
    TimePoint m_answersLostUntil;
    TimePoint m_doubledUntil;
    TimePoint m_healedAt;
    std::vector<EntryNode> m_entries;
    std::vector<GateNode> m_gates;
    std::map<std::pair<std::size_t, std::size_t>, GateWire> m_wires;
    std::set<LinkId> m_cut;
    std::vector<CallerNode> m_callers;
    std::map<RequestId, Request> m_requests;
    std::uint64_t m_lastLink = 0;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_lastGate = 0;
    std::size_t m_lastService = ServiceGate;
    bool m_preludeDone = false;
    std::optional<std::size_t> m_taker;
    std::map<std::pair<std::size_t, ShardId>, Epoch> m_epochs; ///< Newest epoch that each gate was told.
    std::map<RequestId, HistoryView> m_histories;
    std::size_t m_startsSeen = 0;
};

} // namespace Vanillahall
