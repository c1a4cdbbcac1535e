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
struct CallerTurn
{
    std::string text;           ///< Conversation up to and including its output.
    bool isAnswered = false;    ///< True if its response ended completely.
    std::uint64_t answeredMs{}; ///< Time when its response ended.
};

/** A turn in progress at an entry. */
struct RunningTurn
{
    std::size_t entry;
    std::string id;
    std::string previous;
    std::string input;
    std::string output;
    std::unique_ptr<ConversationTurn> turn;
    std::deque<TurnLocation> reads;
    std::deque<TurnWrite> writes;
    bool wasFindable = false; ///< True if the previous turn was completed when this one arrived.
    bool hadFailure = false;
    bool isRunning = false;
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
    std::string step(int action, std::size_t choice)
    {
        m_violation.clear();
        switch (action) {
        case 0:
        case 1:
        case 2:
            begin(choice);
            break;
        case 3:
        case 4:
        case 5:
        case 6:
            advance(choice, Answer::Good);
            break;
        case 7:
            advance(choice, Answer::Lost);
            break;
        case 8:
            advance(choice, Answer::Late);
            break;
        case 9:
            advance(choice, Answer::Refused);
            break;
        case 10:
            applyLate();
            break;
        case 11:
            breakOff(choice);
            break;
        case 12:
            crash(choice % (Entries + 1));
            break;
        case 13:
            m_nowMs += 1000 * (1 + choice % 50);
            break;
        default:
            sweep();
        }
        return m_violation;
    }

private:
    enum class Answer { Good, Lost, Late, Refused };

    void begin(std::size_t choice)
    {
        RunningTurn running;
        running.entry = choice % Entries;
        running.id = "t" + std::to_string(m_next++);
        // Continues a completed turn, an aborted one, none, or an unknown one.
        if (!m_turnIds.empty() && choice % 5 != 0) {
            running.previous = m_turnIds[m_turnIds.size() - 1 - (choice / 7) % std::min<std::size_t>(m_turnIds.size(), 6)];
        } else if (choice % 11 == 0) {
            running.previous = "unknown";
        }
        running.input = choice % 4 == 0 ? std::string(LargeInput, static_cast<char>('a' + choice % 26)) : running.id + ";";
        running.output = "o" + running.id + "\n";
        running.turn = std::make_unique<ConversationTurn>(TurnStart{running.id, running.previous, running.input, Retention, {}},
                                                          *m_caches.at(running.entry));
        running.wasFindable = mustBeFound(running.previous);
        m_running.push_back(std::move(running));
        follow(m_running.size() - 1, m_running.back().turn->begin());
    }

    void advance(std::size_t choice, Answer answer)
    {
        if (m_running.empty()) {
            return;
        }
        const std::size_t n = choice % m_running.size();
        auto &running = m_running[n];
        if (!running.reads.empty()) {
            const auto location = running.reads.front();
            running.reads.pop_front();
            running.hadFailure = running.hadFailure || answer != Answer::Good;
            const auto row = m_rows.find({location.id, location.copy});
            follow(n,
                   answer != Answer::Good    ? running.turn->onReadFailed(location)
                       : row == m_rows.end() ? running.turn->onTurnMissing(location)
                                             : running.turn->onTurnRead(row->second));
        } else if (!running.writes.empty()) {
            const auto write = running.writes.front();
            running.writes.pop_front();
            if (answer == Answer::Good || answer == Answer::Lost) {
                apply(write);
            } else if (answer == Answer::Late) {
                m_lateWrites.push_back(write);
            }
            const TurnLocation location{write.turn->id, write.copy};
            follow(n, answer == Answer::Good ? running.turn->onWritten(location) : running.turn->onWriteFailed(location));
        } else if (running.isRunning) {
            running.turn->addOutput(running.output);
            running.isRunning = false;
            follow(n, running.turn->onAnswerEnded(m_nowMs));
        }
    }

    void follow(std::size_t n, const TurnStep &step)
    {
        auto &running = m_running[n];
        if (const auto *reads = std::get_if<ReadTurns>(&step)) {
            running.reads.insert(running.reads.end(), reads->locations.begin(), reads->locations.end());
        } else if (const auto *writes = std::get_if<WriteTurns>(&step)) {
            running.writes.insert(running.writes.end(), writes->writes.begin(), writes->writes.end());
        } else if (std::holds_alternative<ConversationReady>(step)) {
            checkBody(running);
            running.isRunning = true;
        } else if (std::holds_alternative<TurnStored>(step)) {
            recordCompletion(running);
            removeRunning(n);
        } else if (!std::holds_alternative<WaitForCalls>(step)) {
            checkRefusal(running, std::holds_alternative<TurnNotFound>(step));
            removeRunning(n);
        }
    }

    [[nodiscard]] bool mustBeFound(const std::string &id) const
    {
        const auto it = m_callerTurns.find(id);
        return it != m_callerTurns.end() && it->second.isAnswered && m_nowMs < it->second.answeredMs + RetentionMs;
    }

    void checkBody(const RunningTurn &running)
    {
        const auto before = running.previous.empty() ? std::string() : m_callerTurns.at(running.previous).text;
        if (running.turn->body() != before + running.input) {
            m_violation = "the body differs from the conversation";
        }
        m_callerTurns[running.id] = {before + running.input + running.output, false, 0};
        m_turnIds.push_back(running.id);
    }

    void checkRefusal(const RunningTurn &running, bool isCertain)
    {
        if (running.wasFindable && mustBeFound(running.previous) && (isCertain || !running.hadFailure)) {
            m_violation = isCertain ? "404 for a completed turn" : "a completed turn can't be found";
        }
    }

    void recordCompletion(const RunningTurn &running)
    {
        auto &turn = m_callerTurns.at(running.id);
        turn.isAnswered = true;
        turn.answeredMs = m_nowMs;
    }

    void breakOff(std::size_t choice)
    {
        if (m_running.empty()) {
            return;
        }
        const std::size_t n = choice % m_running.size();
        const auto &running = m_running[n];
        m_caches.at(running.entry)->remove(running.id);
        for (const auto &it : running.turn->unfinishedLocations()) {
            m_rows.erase({it.id, it.copy});
        }
        removeRunning(n);
    }

    void crash(std::size_t entry)
    {
        // If `entry` equals Entries, all entries crash.
        for (std::size_t n = 0; n < Entries; n++) {
            if (entry != Entries && n != entry) {
                continue;
            }
            std::erase_if(m_running, [n](const RunningTurn &running) {
                return running.entry == n;
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
        if (!m_lateWrites.empty()) {
            apply(m_lateWrites.front());
            m_lateWrites.pop_front();
        }
    }

    void sweep()
    {
        std::erase_if(m_rows, [this](const auto &it) {
            return it.second->retainedUntilMs < m_nowMs;
        });
    }

    void removeRunning(std::size_t n)
    {
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(n));
    }

    std::array<std::unique_ptr<TurnCache>, Entries> m_caches;
    std::map<std::pair<std::string, std::uint32_t>, TurnRecord> m_rows;
    std::deque<TurnWrite> m_lateWrites; ///< Writes that take effect later.
    std::vector<RunningTurn> m_running;
    std::map<std::string, CallerTurn> m_callerTurns;
    std::vector<std::string> m_turnIds;
    std::uint64_t m_nowMs = 1000000;
    std::size_t m_next = 1;
    std::string m_violation;
};

} // namespace

RC_GTEST_PROP(ConversationProperty, NoFailureLosesOrMixesCompletedTurns, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 250);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        count, rc::gen::pair(rc::gen::inRange(0, 15), rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
    ConversationWorld world;
    for (const auto &[action, choice] : steps) {
        const auto violation = world.step(action, choice);
        RC_ASSERT(violation == std::string());
    }
}

} // namespace Vanillahall::Forward
