/** Turns of stored conversations: rows that are read and written, and the body for the server. */
#include "vanillahall/core/conversation_turn_base.h"
#include "vanillahall/core/event_data_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t CacheBytes = std::size_t{1} << 20;
constexpr std::uint64_t NowMs = 1000000;

/** Rows of a store, by turn and copy. */
using Rows = std::map<std::pair<std::string, std::uint32_t>, TurnRecord>;

/** Executes all steps against the rows. @return The last step. */
TurnStep follow(ConversationTurn &turn, TurnStep step, Rows &rows)
{
    while (true) {
        if (const auto *reads = std::get_if<ReadTurns>(&step)) {
            const auto locations = reads->locations;
            for (const auto &it : locations) {
                const auto row = rows.find({it.id, it.copy});
                step = row == rows.end() ? turn.onTurnMissing(it) : turn.onTurnRead(row->second);
                while (std::holds_alternative<ReadTurns>(step) && &it != &locations.back()) {
                    step = follow(turn, step, rows);
                }
            }
        } else if (const auto *writes = std::get_if<WriteTurns>(&step)) {
            const auto list = writes->writes;
            for (const auto &it : list) {
                rows[{it.turn->id, it.copy}] = it.turn;
                step = turn.onWritten({it.turn->id, it.copy});
            }
        } else {
            return step;
        }
    }
}

/** Runs a complete turn with a cache of its own. @return The body for the server; "-" if the turn can't run. */
std::string runTurn(Rows &rows, const TurnStart &start, const std::string &output, std::uint64_t nowMs = NowMs)
{
    TurnCache cache(CacheBytes);
    ConversationTurn turn(start, cache);
    if (!std::holds_alternative<ConversationReady>(follow(turn, turn.begin(), rows))) {
        return "-";
    }
    EXPECT_TRUE(turn.addOutput(output));
    EXPECT_TRUE(std::holds_alternative<TurnStored>(follow(turn, turn.onAnswerEnded(nowMs), rows)));
    return turn.body();
}

} // namespace

/** Events and their data. */
struct EventDataCase
{
    const char *name;
    const char *events;
    const char *data;
};

class EventData : public ::testing::TestWithParam<EventDataCase>
{
};

TEST_P(EventData, IsFollowedByALineFeed)
{
    EXPECT_EQ(eventData(GetParam().events), GetParam().data);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EventData,
                         ::testing::Values(EventDataCase{"one", "id: 1\ndata: a\n\n", "a\n"},
                                           EventDataCase{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n"},
                                           EventDataCase{"onlyOneSpaceIsLeftOut", "data:  a \n\n", " a \n"},
                                           EventDataCase{"withoutSpace", "data:a\n\n", "a\n"},
                                           EventDataCase{"severalLines", "data: a\ndata: b\n\n", "a\nb\n"},
                                           EventDataCase{"carriageReturns", "id: 1\r\ndata: a\r\n\r\n", "a\n"},
                                           EventDataCase{"emptyData", "id: 1\ndata:\n\n", "\n"},
                                           EventDataCase{"dataWithoutColon", "data\n\n", "\n"},
                                           EventDataCase{"noData", "id: 1\n\n: comment\n\n", ""},
                                           EventDataCase{"otherFields", "weight-versions: 3\nid: 1\ndatabase: x\ndata: a\n\n", "a\n"},
                                           EventDataCase{"bytesOfUtf8", "data: \xc3\xa9\xe2\x82\xac\n\n", "\xc3\xa9\xe2\x82\xac\n"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ConversationTurn, EachTurnGetsAllInputsAndOutputsBefore)
{
    Rows rows;
    EXPECT_EQ(runTurn(rows, {"t1", "", "in1", 60s}, "out1\n"), "in1");
    EXPECT_EQ(runTurn(rows, {"t2", "t1", "in2", 60s}, "out2\n"), "in1out1\nin2");
    EXPECT_EQ(runTurn(rows, {"t3", "t2", "in3", 60s}, ""), "in1out1\nin2out2\nin3");
    // A second branch from the first turn, and one from a turn without output.
    EXPECT_EQ(runTurn(rows, {"fork", "t1", "in4", 60s}, ""), "in1out1\nin4");
    EXPECT_EQ(runTurn(rows, {"t5", "t3", "in5", 60s}, ""), "in1out1\nin2out2\nin3in5");
}

TEST(ConversationTurn, ConversationOfSeventyOneTurnsIsReadInTwoSteps)
{
    Rows rows;
    std::string conversation;
    std::string previous;
    for (int n = 0; n < 71; n++) {
        const std::string id = "t" + std::to_string(n);
        const std::string input(n == 0 ? 200000 : 4000, static_cast<char>('a' + n % 26));
        const std::string output(3000, static_cast<char>('A' + n % 26));
        ASSERT_EQ(runTurn(rows, {id, previous, input, 60s}, output), conversation + input);
        conversation += input + output;
        previous = id;
    }
    std::size_t rowBytes = 0;
    for (const auto &[location, row] : rows) {
        rowBytes += row->text.size();
        EXPECT_LE(row->text.size(), MaxInlinedTextBytes + 204000);
    }
    EXPECT_LT(rowBytes, 3 * conversation.size());
    TurnCache cache(CacheBytes);
    ConversationTurn turn({"next", previous, "x", 60s}, cache);
    const auto first = turn.begin();
    ASSERT_EQ(std::get<ReadTurns>(first).locations.size(), 1U);
    auto step = turn.onTurnRead(rows.at({previous, 0}));
    for (const auto &it : std::get<ReadTurns>(step).locations) {
        step = turn.onTurnRead(rows.at({it.id, 0}));
    }
    EXPECT_TRUE(std::holds_alternative<ConversationReady>(step));
    EXPECT_EQ(turn.body(), conversation + "x");
    // A second turn at the same entry is served from the cache.
    ConversationTurn warm({"other", previous, "y", 60s}, cache);
    EXPECT_TRUE(std::holds_alternative<ConversationReady>(warm.begin()));
    EXPECT_EQ(warm.reads(), 0U);
}

/** Replies for the two locations of a turn, and the resulting step. */
struct LookupCase
{
    const char *name;
    char first;      ///< '1' found, '0' missing, 'x' no reply.
    char second;     ///< As `first`; not read if the first one is found.
    const char *end; ///< "ready", "notFound" or "unavailable".
};

class ConversationLookup : public ::testing::TestWithParam<LookupCase>
{
};

TEST_P(ConversationLookup, TurnIsNotFoundOnlyIfBothLocationsLackIt)
{
    TurnCache cache(CacheBytes);
    ConversationTurn turn({"t2", "t1", "in", 60s}, cache);
    auto step = turn.begin();
    const std::array answers{GetParam().first, GetParam().second};
    for (std::uint32_t copy = 0; std::holds_alternative<ReadTurns>(step); copy++) {
        const TurnLocation location = std::get<ReadTurns>(step).locations.front();
        ASSERT_EQ(location, (TurnLocation{"t1", copy}));
        const char answer = answers.at(copy);
        if (answer == '1') {
            step = turn.onTurnRead(std::make_shared<StoredTurn>(StoredTurn{"t1", {}, "before", NowMs}));
        } else {
            step = answer == '0' ? turn.onTurnMissing(location) : turn.onReadFailed(location);
        }
    }
    const std::string end = std::holds_alternative<ConversationReady>(step) ? "ready"
        : std::holds_alternative<TurnNotFound>(step)                        ? "notFound"
                                                                            : "unavailable";
    EXPECT_EQ(end, GetParam().end);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ConversationLookup,
                         ::testing::Values(LookupCase{"found", '1', '-', "ready"},
                                           LookupCase{"foundInTheSecond", '0', '1', "ready"},
                                           LookupCase{"foundBehindAFailure", 'x', '1', "ready"},
                                           LookupCase{"missing", '0', '0', "notFound"},
                                           LookupCase{"firstFailed", 'x', '0', "unavailable"},
                                           LookupCase{"secondFailed", '0', 'x', "unavailable"},
                                           LookupCase{"bothFailed", 'x', 'x', "unavailable"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ConversationTurn, MissingBaseMakesConversationUnavailable)
{
    TurnCache cache(CacheBytes);
    ConversationTurn turn({"t3", "t2", "in", 60s}, cache);
    turn.begin();
    auto step = turn.onTurnRead(std::make_shared<StoredTurn>(StoredTurn{"t2", {"t1"}, "x", NowMs}));
    ASSERT_EQ(std::get<ReadTurns>(step).locations.front(), (TurnLocation{"t1", 0}));
    turn.onTurnMissing({"t1", 0});
    step = turn.onTurnMissing({"t1", 1});
    EXPECT_TRUE(std::holds_alternative<ConversationUnavailable>(step));
}

TEST(ConversationTurn, TurnCannotContinueItself)
{
    TurnCache cache(CacheBytes);
    ConversationTurn turn({"t1", "t1", "in", 60s}, cache);
    EXPECT_TRUE(std::holds_alternative<TurnNotFound>(turn.begin()));
}

TEST(ConversationTurn, OldBaseIsRewrittenWithTheTurn)
{
    Rows rows;
    runTurn(rows, {"t1", "", std::string(MaxInlinedTextBytes + 1, 'a'), 60s}, "");
    const auto first = rows.at({"t1", 0})->retainedUntilMs;
    EXPECT_EQ(first, NowMs + 180000);
    runTurn(rows, {"t2", "t1", "b", 60s}, "", NowMs + 80000);
    EXPECT_EQ(rows.at({"t1", 0})->retainedUntilMs, first);
    runTurn(rows, {"t3", "t2", "c", 60s}, "", NowMs + 100000);
    EXPECT_EQ(rows.at({"t1", 0})->retainedUntilMs, NowMs + 280000);
    EXPECT_EQ(rows.at({"t1", 0})->text, std::string(MaxInlinedTextBytes + 1, 'a'));
}

TEST(ConversationTurn, TurnIsStoredOnlyAfterAllItsRowsAreWritten)
{
    TurnCache cache(CacheBytes);
    cache.put(std::make_shared<StoredTurn>(StoredTurn{"t1", {}, std::string(MaxInlinedTextBytes + 1, 'a'), NowMs}));
    ConversationTurn turn({"t2", "t1", "in", 60s}, cache);
    ASSERT_TRUE(std::holds_alternative<ConversationReady>(turn.begin()));
    const auto step = turn.onAnswerEnded(NowMs);
    ASSERT_EQ(std::get<WriteTurns>(step).writes.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<WaitForCalls>(turn.onWritten({"t2", 0})));
    EXPECT_FALSE(turn.isStored());
    // No other turn may continue t2 before all its rows are durable.
    EXPECT_EQ(cache.get("t2"), nullptr);
    const auto again = turn.onWriteFailed({"t1", 0});
    EXPECT_EQ(std::get<WriteTurns>(again).writes.front().copy, 1U);
    EXPECT_TRUE(std::holds_alternative<TurnStored>(turn.onWritten({"t1", 1})));
    EXPECT_NE(cache.get("t2"), nullptr);
}

TEST(ConversationTurn, FailedWritesAlternateBetweenBothLocations)
{
    TurnCache cache(CacheBytes);
    ConversationTurn turn({"t1", "", "in", 60s}, cache);
    turn.begin();
    turn.onAnswerEnded(NowMs);
    const auto second = std::get<WriteTurns>(turn.onWriteFailed({"t1", 0}));
    EXPECT_EQ(second.writes.front().copy, 1U);
    EXPECT_EQ(second.delay, Duration::zero());
    const auto third = std::get<WriteTurns>(turn.onWriteFailed({"t1", 1}));
    EXPECT_EQ(third.writes.front().copy, 0U);
    EXPECT_EQ(third.delay, TurnWriteRetryDelay);
    // Delays grow up to a maximum, to reduce the load of a store whose rate limit is exceeded.
    for (int n = 0; n < 10; n++) {
        turn.onWriteFailed({"t1", 0});
        EXPECT_LE(std::get<WriteTurns>(turn.onWriteFailed({"t1", 1})).delay, MaxTurnWriteRetryDelay);
    }
    EXPECT_EQ(std::get<WriteTurns>(turn.onWriteFailed({"t1", 1})).delay, MaxTurnWriteRetryDelay);
    EXPECT_EQ(turn.unfinishedLocations(), (std::vector<TurnLocation>{{"t1", 0}, {"t1", 1}}));
}

TEST(ConversationTurn, TooLongInputConversationOrOutputIsRefused)
{
    TurnCache cache(2 * MaxConversationBytes);
    ConversationTurn large({"t1", "", std::string(MaxTurnInputBytes + 1, 'a'), 60s}, cache);
    EXPECT_TRUE(std::holds_alternative<ConversationTooLong>(large.begin()));
    cache.put(std::make_shared<StoredTurn>(StoredTurn{"t2", {}, std::string(MaxConversationBytes, 'a'), NowMs}));
    ConversationTurn longer({"t3", "t2", "b", 60s}, cache);
    EXPECT_TRUE(std::holds_alternative<ConversationTooLong>(longer.begin()));
    ConversationTurn longOutput({"t4", "", "in", 60s}, cache);
    ASSERT_TRUE(std::holds_alternative<ConversationReady>(longOutput.begin()));
    EXPECT_FALSE(longOutput.addOutput(std::string(MaxTurnTextBytes, 'a')));
}

TEST(TurnCache, HoldsRecentlyUsedTurnsWithinItsBound)
{
    TurnCache cache(4000);
    for (int n = 0; n < 100; n++) {
        cache.put(std::make_shared<StoredTurn>(StoredTurn{"t" + std::to_string(n), {}, std::string(700, 'a'), NowMs}));
        cache.get("t0");
        EXPECT_LE(cache.bytes(), 4000U);
    }
    EXPECT_NE(cache.get("t0"), nullptr);
    EXPECT_NE(cache.get("t99"), nullptr);
    EXPECT_EQ(cache.get("t50"), nullptr);
    cache.put(std::make_shared<StoredTurn>(StoredTurn{"large", {}, std::string(5000, 'a'), NowMs}));
    EXPECT_EQ(cache.get("large"), nullptr);
    cache.remove("t0");
    EXPECT_EQ(cache.get("t0"), nullptr);
    EXPECT_EQ(cache.size(), 3U);
}

} // namespace Vanillahall::Forward
