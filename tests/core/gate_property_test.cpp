#include "gate_fixture.h"

#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr std::uint32_t Calls = 6;                                  ///< Number of different calls in a run.
constexpr Now RunStart{TimePoint(1000s), WallTime(1'800'000'000s)}; ///< Start of every run.

/** Kinds of events in a random run. */
enum class EventKind : std::uint8_t {
    NewOrder,       ///< The holder orders a call, for the first time or again.
    DuplicateOrder, ///< A copy of an earlier order is received.
    LoseLink,       ///< A connection is lost.
    Finish,         ///< A call finishes at the server.
    Fail,           ///< A call fails at the server.
    AdvanceTime,    ///< Time passes.
    LoadReport,     ///< The server reports its load, or is reported unreachable.
    Adopt,          ///< Another entry takes over the shard.
    Cancel,         ///< The holder cancels a call.
    Settle,         ///< The holder has made a call durable.
    End,            ///< The holder ends a program.
};

constexpr int EventKindCount = 11;

/** One step of a run. */
struct RunStep
{
    EventKind kind;     ///< Kind of event.
    std::uint32_t call; ///< Serial of the call concerned.
    std::uint32_t pick; ///< Selects among the possible variants.
};

std::ostream &operator<<(std::ostream &out, const RunStep &step)
{
    return out << "step " << static_cast<int>(step.kind) << " call " << step.call << " pick " << step.pick;
}

rc::Gen<std::vector<RunStep>> runSteps()
{
    const auto kind = rc::gen::map(rc::gen::inRange(0, EventKindCount), [](int n) {
        return static_cast<EventKind>(n);
    });
    const auto number = rc::gen::inRange<std::uint32_t>(0, 1000);
    return rc::gen::scale(
        3, rc::gen::container<std::vector<RunStep>>(rc::gen::construct<RunStep>(kind, rc::gen::inRange(1U, Calls + 1), number)));
}

/** A gate with a holder that follows the protocol and a server with random behaviour. */
class RandomRun
{
public:
    explicit RandomRun(PoolKind kind)
        : m_kind(kind)
        , m_gate(gateSettings(kind))
    {
        m_gate.handle(Tick{});
    }

    void step(const RunStep &step)
    {
        m_gate.actions.clear();
        act(step);
        applyActions();
        checkInvariants();
    }

    /** Finishes all calls at the server, then checks that every accepted call has exactly one outcome. */
    void finish()
    {
        m_gate.actions.clear();
        m_gate.handle(ServerLoad{true, 0, 2, 0, 0, {}, 1});
        for (std::uint32_t n = 0; n <= 2 * Calls; n++) {
            m_gate.advance(1s);
            if (!m_running.empty()) {
                m_gate.handle(ServerCallFinished{m_running.begin()->first, callResult("x")});
                m_running.erase(m_running.begin());
            }
            applyActions();
            m_gate.actions.clear();
        }
        for (const ProgramId &program : pinnedPrograms(m_gate.state(), TestShard)) {
            RC_ASSERT(!m_ended.contains(program));
        }
        for (const CallKey &key : m_accepted) {
            const auto first = fetch(key, LinkId{101});
            const auto second = fetch(key, LinkId{102});
            RC_ASSERT(first.size() == 1U);
            RC_ASSERT(second.size() == 1U);
            RC_ASSERT(first[0].outcome.index() == second[0].outcome.index());
        }
    }

private:
    void act(const RunStep &step)
    {
        const CallKey key = callKey(step.call);
        const LinkId link{step.pick % 3};
        switch (step.kind) {
        case EventKind::NewOrder:
            newOrder(key, step.pick, link);
            return;
        case EventKind::DuplicateOrder:
            if (!m_orders.empty()) {
                m_gate.order(m_orders[step.pick % m_orders.size()], link);
            }
            return;
        case EventKind::LoseLink:
            m_gate.handle(LinkLost{link});
            return;
        case EventKind::Finish:
        case EventKind::Fail:
            endServerCall(step);
            return;
        case EventKind::AdvanceTime:
            m_gate.advance(std::chrono::milliseconds(step.pick * 4), 500ms);
            return;
        case EventKind::LoadReport:
            m_gate.handle(ServerLoad{step.pick % 3 != 0, 0, 1 + step.pick % 4, 0, 300, {}, 1 + step.pick % 2});
            return;
        case EventKind::Adopt:
            m_epoch.value++;
            m_gate.order(AdoptShard{m_gate.fence(m_epoch)}, link);
            return;
        case EventKind::Cancel:
            m_gate.order(CancelCall{key, m_attempts[key], m_gate.fence(m_epoch)}, link);
            return;
        case EventKind::Settle:
            settle(key, link);
            return;
        case EventKind::End:
            m_gate.order(EndProgram{key.program, m_gate.fence(m_epoch)}, link);
            m_ended.insert(key.program);
            m_settled.insert(key);
            m_accepted.erase(key);
            return;
        }
    }

    void newOrder(const CallKey &key, std::uint32_t pick, LinkId link)
    {
        if (m_settled.contains(key)) {
            return;
        }
        Attempt &attempt = m_attempts[key];
        attempt.value += attempt.value == 0 || pick % 2 == 0 ? 1 : 0;
        const CallBody body = m_kind == PoolKind::Model ? modelBody() : serviceBody(isRepeatable(key));
        m_orders.push_back(m_gate.run(key, body, attempt, m_epoch));
        m_gate.order(m_orders.back(), link);
    }

    void endServerCall(const RunStep &step)
    {
        if (m_running.empty()) {
            return;
        }
        const auto it = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(step.pick % m_running.size()));
        const auto [call, key] = *it;
        if (step.kind == EventKind::Finish) {
            m_running.erase(it);
            m_gate.handle(ServerCallFinished{call, callResult("x")});
            return;
        }
        const auto failure = static_cast<ServerFailure>(step.pick % 5);
        if (failure == ServerFailure::NotSent || failure == ServerFailure::Refused) {
            m_starts[key]--;
        }
        m_running.erase(it);
        m_gate.handle(ServerCallFailed{call, failure, "fault"});
    }

    /** Settles a call that has ended, as a holder does once it has stored the outcome. */
    void settle(const CallKey &key, LinkId link)
    {
        for (const HeldCall &held : heldCalls(m_gate.state(), TestShard)) {
            if (held.key == key && held.state == HeldState::Finished) {
                m_gate.order(SettleCalls{m_gate.fence(m_epoch), {key}}, link);
                m_settled.insert(key);
                m_accepted.erase(key);
            }
        }
    }

    /** Applies the actions of the gate. Every second request to release memory fails. */
    void applyActions()
    {
        for (const FreeMemory &free : m_gate.all<FreeMemory>()) {
            m_gate.handle(MemoryFreed{free.program, ++m_frees % 2 == 0});
        }
        for (const StartServerCall &start : m_gate.all<StartServerCall>()) {
            RC_ASSERT(!m_settled.contains(start.key));
            m_running[start.call] = start.key;
            m_keys[start.call] = start.key;
            m_starts[start.key]++;
        }
        for (const ResumeServerCall &resume : m_gate.all<ResumeServerCall>()) {
            m_running[resume.call] = m_keys.at(resume.call);
        }
        for (const CancelServerCall &cancel : m_gate.all<CancelServerCall>()) {
            m_running.erase(cancel.call);
        }
        for (const HeldCall &held : heldCalls(m_gate.state(), TestShard)) {
            m_accepted.insert(held.key);
        }
    }

    void checkInvariants()
    {
        const GateStatus status = gateStatus(m_gate.state(), 0, m_gate.now());
        RC_ASSERT(status.waiting == 0 || status.running >= status.slots || !status.serverUp);
        for (const auto &[key, starts] : m_starts) {
            RC_ASSERT(isRepeatable(key) || starts <= 1);
        }
        for (const CallRefused &refused : m_gate.sent<CallRefused>(LinkId{0})) {
            const bool running = std::any_of(m_running.begin(), m_running.end(), [&](const auto &it) {
                return it.second == refused.key;
            });
            RC_ASSERT(!running || refused.error.run != RunState::NotRun);
        }
    }

    std::vector<CallFinished> fetch(const CallKey &key, LinkId link)
    {
        m_gate.actions.clear();
        m_gate.order(FetchCall{key, Attempt{1}, m_gate.fence(m_epoch), 0}, link);
        return m_gate.sent<CallFinished>(link);
    }

    [[nodiscard]] bool isRepeatable(const CallKey &key) const
    {
        return m_kind == PoolKind::Model || key.program.serial % 2 == 0;
    }

    PoolKind m_kind;
    GateFixture m_gate;
    Epoch m_epoch{1};
    std::vector<RunCall> m_orders;
    std::map<CallKey, Attempt> m_attempts;
    std::map<CallKey, int> m_starts;
    std::map<ServerCallId, CallKey> m_keys;
    std::map<ServerCallId, CallKey> m_running;
    std::set<CallKey> m_accepted;
    std::set<CallKey> m_settled;
    std::set<ProgramId> m_ended;
    int m_frees = 0;
};

void runAll(PoolKind kind)
{
    const auto steps = *runSteps();
    RandomRun run(kind);
    for (const RunStep &step : steps) {
        run.step(step);
    }
    run.finish();
}

} // namespace

RC_GTEST_PROP(GateProperty, ServiceCallsRunAtMostOnceAndHaveOneOutcome, ())
{
    runAll(PoolKind::Service);
}

RC_GTEST_PROP(GateProperty, ModelCallsHaveOneOutcome, ())
{
    runAll(PoolKind::Model);
}

} // namespace Vanillahall
