#include "entry_requests.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr std::uint32_t TurnsEach = 4; ///< Turns of each program.

/** A caller that repeats each turn until it is answered. */
struct PersistentCaller
{
    ProgramId program;                ///< Its program.
    std::uint32_t turn = 1;           ///< Current turn.
    std::optional<RequestId> request; ///< Open request; nothing between two.
    std::string entry;                ///< Entry that it was sent to.
    bool mayHaveRun{};                ///< True if an earlier request for the current turn may have run.
    TimePoint sendAt;                 ///< Time of the last or the next request.
    std::string violation;            ///< The violated expectation; empty if there is none.
};

/** Entries, gates and callers under a random schedule of faults. */
class ScheduleSimulation
{
public:
    EntryTestbed testbed;
    std::vector<PersistentCaller> callers;
    bool entriesCrash = false; ///< Entries crash if true, else gates restart. With both, a turn that isn't durable yet could be lost, since
                               ///< it exists at one entry and one gate only.

    ScheduleSimulation()
    {
        testbed.addDefaultSetup();
        addEntry("b", 2);
        addEntry("c", 3);
        m_alive.insert("a");
        testbed.run(3s);
        for (int n = 0; n < 3; n++) {
            PersistentCaller caller;
            caller.program = createProgram(testbed, n == 2 ? "b" : "a");
            callers.push_back(caller);
        }
        for (auto &[name, gate] : testbed.gates) {
            gate.tokenInterval = 150ms;
        }
    }

    /** Injects a random fault. */
    void injectFault()
    {
        const std::string gate = *rc::gen::element<std::string>("m1", "m2", "s1", "s2");
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
            testbed.breakLinks(gate);
            break;
        case 1:
            if (!entriesCrash) {
                testbed.restartGate(gate);
            }
            break;
        case 2:
            testbed.gate(gate).unresponsive = !testbed.gate(gate).unresponsive;
            break;
        case 3:
            testbed.gate(gate).dropsReplies = !testbed.gate(gate).dropsReplies;
            break;
        case 4:
            testbed.storeFault = *rc::gen::element(StoreFault::None, StoreFault::Refused, StoreFault::Silent, StoreFault::AnswerLost);
            break;
        case 5:
            if (entriesCrash) {
                crashEntry();
            }
            break;
        case 6:
            testbed.pause(anyEntry());
            break;
        case 7:
            resumeAll();
            break;
        default:
            testbed.storeFault = StoreFault::None;
            break;
        }
    }

    /** Ends all faults. */
    void clearFaults()
    {
        for (auto &[name, gate] : testbed.gates) {
            gate.unresponsive = false;
            gate.dropsReplies = false;
        }
        testbed.storeFault = StoreFault::None;
        resumeAll();
    }

    /** Advances time; callers act in between. */
    void run(Duration time)
    {
        for (const TimePoint end = testbed.now.steady + time; testbed.now.steady < end;) {
            testbed.run(50ms);
            for (PersistentCaller &it : callers) {
                stepCaller(it);
            }
        }
    }

    [[nodiscard]] bool allDone() const
    {
        return std::all_of(callers.begin(), callers.end(), [](const PersistentCaller &it) {
            return it.turn > TurnsEach;
        });
    }

    static SubmitCall turnOf(const PersistentCaller &it)
    {
        switch (it.turn % 3) {
        case 0:
            return serviceTurn(it.program, it.turn, true);
        case 2:
            return serviceTurn(it.program, it.turn, false);
        default:
            return modelTurn(it.program, it.turn);
        }
    }
    [[nodiscard]] int runsOf(const PersistentCaller &it) const
    {
        return testbed.runsOf(CallKey{it.program, Turn{it.turn}});
    }

private:
    void addEntry(const std::string &name, std::uint64_t number)
    {
        testbed.addEntry(name, number);
        m_alive.insert(name);
    }
    std::string anyEntry()
    {
        const std::vector<std::string> names(m_alive.begin(), m_alive.end());
        return names[*rc::gen::inRange<std::size_t>(0, names.size())];
    }
    void crashEntry()
    {
        const std::string name = anyEntry();
        if (m_alive.size() < 3) {
            return;
        }
        testbed.resume(name);
        testbed.kill(name);
        m_alive.erase(name);
    }
    void resumeAll()
    {
        for (const std::string &name : m_alive) {
            testbed.resume(name);
        }
    }

    void stepCaller(PersistentCaller &it)
    {
        if (it.request && testbed.answers.contains(*it.request)) {
            onAnswer(it, testbed.answers.at(*it.request));
        } else if (it.request && (!m_alive.contains(it.entry) || testbed.now.steady - it.sendAt > 20s)) {
            it.request.reset();
            it.mayHaveRun = true;
        }
        if (!it.request && it.turn <= TurnsEach && testbed.now.steady >= it.sendAt) {
            send(it);
        }
    }
    void send(PersistentCaller &it)
    {
        if (!it.mayHaveRun && runsOf(it) > 0) {
            it.violation = "ran although all errors said NotRun";
        }
        it.entry = *std::next(m_alive.begin(), static_cast<std::ptrdiff_t>((it.turn + m_sentRequests++) % m_alive.size()));
        it.sendAt = testbed.now.steady;
        it.request = testbed.sendRequest(it.entry, turnOf(it), true);
    }
    void onAnswer(PersistentCaller &it, const CallerAnswer &answer)
    {
        const RequestId request = *it.request;
        it.request.reset();
        it.sendAt = testbed.now.steady + 300ms;
        if (const auto *refused = std::get_if<Error>(&answer)) {
            it.mayHaveRun = it.mayHaveRun || refused->run != RunState::NotRun;
            if (!it.mayHaveRun && runsOf(it) > 0) {
                it.violation = "refused with NotRun, but had run";
            }
            return;
        }
        checkAnswer(it, std::get<CallAnswered>(answer), request);
        it.turn++;
        it.mayHaveRun = false;
    }
    void checkAnswer(PersistentCaller &it, const CallAnswered &answer, RequestId request)
    {
        const auto *result = std::get_if<CallResult>(&answer.outcome);
        const std::string prefix = "t" + std::to_string(it.turn) + ".";
        const std::string text = prefix + "0 " + prefix + "1 " + prefix + "2 ";
        if (answer.key != CallKey{it.program, Turn{it.turn}}) {
            it.violation = "answer for another turn";
        } else if (result != nullptr && result->body != text) {
            it.violation = "wrong answer: " + result->body;
        } else if (result != nullptr && it.turn % 3 == 1 && testbed.streams[request] != text) {
            it.violation = "wrong stream: " + testbed.streams[request];
        } else if (result == nullptr && it.turn % 3 == 2 && std::get<Error>(answer.outcome).run == RunState::NotRun) {
            it.violation = "turn finished with an error that says NotRun";
        }
    }

    std::set<std::string> m_alive;
    std::uint32_t m_sentRequests = 0;
};

RC_GTEST_PROP(EntryScheduleProperty, NothingIsLostOrRunTwice, ())
{
    ScheduleSimulation simulation;
    simulation.entriesCrash = *rc::gen::arbitrary<bool>();
    const auto steps = *rc::gen::inRange(1, 25);
    for (int n = 0; n < steps; n++) {
        simulation.injectFault();
        simulation.run(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
    }
    simulation.clearFaults();
    for (int n = 0; n < 120 && !simulation.allDone(); n++) {
        simulation.run(1s);
    }
    for (const PersistentCaller &it : simulation.callers) {
        RC_ASSERT(it.violation == std::string());
        RC_ASSERT(simulation.testbed.runsOf(CallKey{it.program, Turn{2}}) <= 1);
    }
    RC_ASSERT(simulation.allDone());
    RC_ASSERT(simulation.testbed.duplicateAnswers == 0);
}

} // namespace

} // namespace Vanillahall
