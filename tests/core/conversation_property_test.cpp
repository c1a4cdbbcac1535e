/**
 * Model check of stored conversations: three entries, a store that loses replies, applies writes late, refuses calls or is partly
 * unavailable, and processes that crash.
 */
#include "vanillahall/core/conversation_turn_base.h"

#include <array>
#include <deque>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 3;
constexpr Duration Retention = 60s;
constexpr std::uint64_t RetentionMs = 60000;
constexpr std::size_t CacheBytes = 60000; ///< Holds a few large turns, so that turns are evicted.
constexpr std::size_t LargeInput = MaxInlinedTextBytes + 1;

/** A turn as its caller knows it. */
struct Said
{
    std::string text;           ///< Conversation up to and including its output.
    bool isAnswered = false;    ///< True if its response ended completely.
    std::uint64_t answeredMs{}; ///< Time when its response ended.
};

/** A turn in progress at an entry. */
struct Running
{
    std::size_t entry;
    std::string id;
    std::string previous;
    std::string input;
    std::string output;
    std::unique_ptr<ConversationTurn> turn;
    std::deque<TurnLocation> reads;
    std::deque<TurnWrite> writes;
    bool wasKnown = false; ///< True if the previous turn was completed when this one arrived.
    bool hadFailure = false;
    bool isRun = false;
};

/** Simulates entries, callers and the store. */
class ConversationWorld
{
public:
    ConversationWorld()
    {
        for (auto &it : m_caches) {
            it = std::make_unique<TurnCache>(CacheBytes);
        }
    }

    /** Runs one step. @return Violated property, or nothing. */
    std::string step(int action, std::size_t pick)
    {
        m_fault.clear();
        switch (action) {
        case 0:
        case 1:
        case 2:
            begin(pick);
            break;
        case 3:
        case 4:
        case 5:
        case 6:
            advance(pick, Answer::Good);
            break;
        case 7:
            advance(pick, Answer::Lost);
            break;
        case 8:
            advance(pick, Answer::Late);
            break;
        case 9:
            advance(pick, Answer::Refused);
            break;
        case 10:
            applyLate();
            break;
        case 11:
            breakOff(pick);
            break;
        case 12:
            kill(pick % (Entries + 1));
            break;
        case 13:
            m_nowMs += 1000 * (1 + pick % 50);
            break;
        default:
            sweep();
        }
        return m_fault;
    }

private:
    enum class Answer { Good, Lost, Late, Refused };

    void begin(std::size_t pick)
    {
        Running run;
        run.entry = pick % Entries;
        run.id = "t" + std::to_string(m_next++);
        // Continues a completed turn, an aborted one, none, or an unknown one.
        if (!m_names.empty() && pick % 5 != 0) {
            run.previous = m_names[m_names.size() - 1 - (pick / 7) % std::min<std::size_t>(m_names.size(), 6)];
        } else if (pick % 11 == 0) {
            run.previous = "unknown";
        }
        run.input = pick % 4 == 0 ? std::string(LargeInput, static_cast<char>('a' + pick % 26)) : run.id + ";";
        run.output = "o" + run.id + "\n";
        run.turn = std::make_unique<ConversationTurn>(TurnStart{run.id, run.previous, run.input, Retention, {}}, *m_caches.at(run.entry));
        run.wasKnown = mustBeKnown(run.previous);
        m_runs.push_back(std::move(run));
        follow(m_runs.size() - 1, m_runs.back().turn->begin());
    }

    void advance(std::size_t pick, Answer answer)
    {
        if (m_runs.empty()) {
            return;
        }
        const std::size_t n = pick % m_runs.size();
        auto &run = m_runs[n];
        if (!run.reads.empty()) {
            const auto location = run.reads.front();
            run.reads.pop_front();
            run.hadFailure = run.hadFailure || answer != Answer::Good;
            const auto row = m_rows.find({location.id, location.copy});
            follow(n,
                   answer != Answer::Good    ? run.turn->onReadFailed(location)
                       : row == m_rows.end() ? run.turn->onTurnMissing(location)
                                             : run.turn->onTurnRead(row->second));
        } else if (!run.writes.empty()) {
            const auto write = run.writes.front();
            run.writes.pop_front();
            if (answer == Answer::Good || answer == Answer::Lost) {
                apply(write);
            } else if (answer == Answer::Late) {
                m_late.push_back(write);
            }
            const TurnLocation location{write.turn->id, write.copy};
            follow(n, answer == Answer::Good ? run.turn->onWritten(location) : run.turn->onWriteFailed(location));
        } else if (run.isRun) {
            run.turn->addOutput(run.output);
            run.isRun = false;
            follow(n, run.turn->onAnswerEnded(m_nowMs));
        }
    }

    void follow(std::size_t n, const TurnStep &step)
    {
        auto &run = m_runs[n];
        if (const auto *reads = std::get_if<ReadTurns>(&step)) {
            run.reads.insert(run.reads.end(), reads->locations.begin(), reads->locations.end());
        } else if (const auto *writes = std::get_if<WriteTurns>(&step)) {
            run.writes.insert(run.writes.end(), writes->writes.begin(), writes->writes.end());
        } else if (std::holds_alternative<ConversationReady>(step)) {
            checkBody(run);
            run.isRun = true;
        } else if (std::holds_alternative<TurnStored>(step)) {
            answered(run);
            drop(n);
        } else if (!std::holds_alternative<WaitForCalls>(step)) {
            checkRefusal(run, std::holds_alternative<TurnNotFound>(step));
            drop(n);
        }
    }

    [[nodiscard]] bool mustBeKnown(const std::string &id) const
    {
        const auto it = m_said.find(id);
        return it != m_said.end() && it->second.isAnswered && m_nowMs < it->second.answeredMs + RetentionMs;
    }

    void checkBody(const Running &run)
    {
        const auto before = run.previous.empty() ? std::string() : m_said.at(run.previous).text;
        if (run.turn->body() != before + run.input) {
            m_fault = "the body differs from the conversation";
        }
        m_said[run.id] = {before + run.input + run.output, false, 0};
        m_names.push_back(run.id);
    }

    void checkRefusal(const Running &run, bool isCertain)
    {
        if (run.wasKnown && mustBeKnown(run.previous) && (isCertain || !run.hadFailure)) {
            m_fault = isCertain ? "404 for a completed turn" : "a completed turn can't be found";
        }
    }

    void answered(const Running &run)
    {
        auto &said = m_said.at(run.id);
        said.isAnswered = true;
        said.answeredMs = m_nowMs;
    }

    void breakOff(std::size_t pick)
    {
        if (m_runs.empty()) {
            return;
        }
        const std::size_t n = pick % m_runs.size();
        const auto &run = m_runs[n];
        m_caches.at(run.entry)->remove(run.id);
        for (const auto &it : run.turn->unfinishedLocations()) {
            m_rows.erase({it.id, it.copy});
        }
        drop(n);
    }

    void kill(std::size_t entry)
    {
        // The value Entries means all of them.
        for (std::size_t n = 0; n < Entries; n++) {
            if (entry != Entries && n != entry) {
                continue;
            }
            std::erase_if(m_runs, [n](const Running &run) {
                return run.entry == n;
            });
            m_caches.at(n) = std::make_unique<TurnCache>(CacheBytes);
        }
    }

    void apply(const TurnWrite &write)
    {
        m_rows[{write.turn->id, write.copy}] = write.turn;
    }

    void applyLate()
    {
        if (!m_late.empty()) {
            apply(m_late.front());
            m_late.pop_front();
        }
    }

    void sweep()
    {
        std::erase_if(m_rows, [this](const auto &it) {
            return it.second->retainedUntilMs < m_nowMs;
        });
    }

    void drop(std::size_t n)
    {
        m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(n));
    }

    std::array<std::unique_ptr<TurnCache>, Entries> m_caches;
    std::map<std::pair<std::string, std::uint32_t>, TurnRecord> m_rows;
    std::deque<TurnWrite> m_late; ///< Writes that take effect later.
    std::vector<Running> m_runs;
    std::map<std::string, Said> m_said;
    std::vector<std::string> m_names;
    std::uint64_t m_nowMs = 1000000;
    std::size_t m_next = 1;
    std::string m_fault;
};

} // namespace

RC_GTEST_PROP(ConversationProperty, NoFailureLosesOrMixesCompletedTurns, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 250);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        count, rc::gen::pair(rc::gen::inRange(0, 15), rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
    ConversationWorld world;
    for (const auto &[action, pick] : steps) {
        const auto fault = world.step(action, pick);
        RC_ASSERT(fault == std::string());
    }
}

} // namespace Vanillahall::Forward
