#include "vanillahall/core/token_ledger_base.h"

#include <map>
#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr std::uint64_t Budget = 900;
constexpr std::uint64_t Most = 100;

/** Model of the store's conditional writes; one counter numbers all versions. */
class RowModel
{
public:
    /** @return New version, or nothing if the condition doesn't hold. */
    std::optional<std::uint64_t> write(const TokenWrite &write)
    {
        auto &row = m_rows[write.program];
        if (row.version != write.row.version) {
            return std::nullopt;
        }
        row = write.row;
        row.version = ++m_counter;
        return row.version;
    }

    TokenRow row(const std::string &program)
    {
        return m_rows[program];
    }

    /** Makes the row look as if its last writer ran an older release. */
    void removeMarks(const std::string &program)
    {
        m_rows[program].marks.clear();
        m_rows[program].markedSince.reset();
    }

private:
    std::map<std::string, TokenRow> m_rows;
    std::uint64_t m_counter = 0;
};

bool isGranted(const TokenAnswer &answer)
{
    return std::holds_alternative<TokenGranted>(answer);
}

/** Reserves tokens, executing each write at once. */
TokenAnswer reserveWithWrites(TokenLedger &ledger, RowModel &rows, const TokenRequest &request)
{
    auto answer = ledger.reserve(request, Start);
    while (const auto *needed = std::get_if<TokenNeedsWrite>(&answer)) {
        const auto version = rows.write(needed->write);
        if (version) {
            ledger.onWritten(request.program, *version);
        } else {
            ledger.onConflict(request.program, rows.row(request.program));
        }
        answer = ledger.reserve(request, Start);
    }
    return answer;
}

} // namespace

TEST(TokenLedger, OneWriteServesSeveralTurns)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    EXPECT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    EXPECT_GE(TurnsReservedAhead, 2U);
    for (std::uint64_t n = 1; n < TurnsReservedAhead; n++) {
        EXPECT_TRUE(isGranted(ledger.reserve({"p", Budget, Most}, Start)));
    }
    EXPECT_TRUE(std::holds_alternative<TokenNeedsWrite>(ledger.reserve({"p", Budget, Most}, Start)));
}

TEST(TokenLedger, UnusedTokensServeLaterTurns)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    for (int n = 0; n < 40; n++) {
        ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
        ledger.settle("p", Most, 10, Start);
    }
    EXPECT_LE(rows.row("p").reserved, Budget / 2 + Most);
}

TEST(TokenLedger, AllEntriesKnowWhereAProgramBegan)
{
    RowModel rows;
    TokenLedger first("a/1", "z1");
    TokenLedger second("b/1", "z2");
    EXPECT_EQ(first.homeZone("p"), "");
    ASSERT_TRUE(isGranted(reserveWithWrites(first, rows, {"p", Budget, Most})));
    ASSERT_TRUE(isGranted(reserveWithWrites(second, rows, {"p", Budget, Most})));
    EXPECT_EQ(first.homeZone("p"), "z1");
    EXPECT_EQ(second.homeZone("p"), "z1");
    EXPECT_EQ(rows.row("p").homeZone, "z1");
}

/** Versions that a row names, and the turn that needs one. */
struct StreamVersionCase
{
    const char *name;                   ///< For the test's name.
    std::vector<SoftwareVersion> named; ///< Versions in the row.
    SoftwareVersion wanted;             ///< Version at which the turn's stream is to begin.
    std::vector<SoftwareVersion> after; ///< Expected versions in the row when the turn may begin.
};

class StreamVersions : public ::testing::TestWithParam<StreamVersionCase>
{
};

// Clients got streams that were joined from two software versions, since no other entry knew which one had begun them.
TEST_P(StreamVersions, StandInTheRowBeforeATurnMayBegin)
{
    const auto &param = GetParam();
    RowModel rows;
    TokenLedger ledger("a/1");
    TokenLedger other("b/1");
    for (const auto &it : param.named) {
        ASSERT_TRUE(isGranted(reserveWithWrites(other, rows, {"p", Budget, 1, false, it})));
    }
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most, false, param.wanted})));
    EXPECT_EQ(rows.row("p").streamVersions, param.after);
    // Tokens that are left don't let a turn begin at a version that isn't named.
    ledger.settle("p", Most, 0, Start);
    EXPECT_FALSE(isGranted(ledger.reserve({"p", Budget, 1, false, SoftwareVersion{"s", "another"}}, Start)));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StreamVersions,
    ::testing::Values(StreamVersionCase{"first", {}, {"s", "v1"}, {{"s", "v1"}}},
                      StreamVersionCase{"same", {{"s", "v1"}}, {"s", "v1"}, {{"s", "v1"}}},
                      StreamVersionCase{"newer", {{"s", "v1"}}, {"s", "v2"}, {{"s", "v1"}, {"s", "v2"}}},
                      StreamVersionCase{"otherService", {{"s", "v1"}}, {"t", "v1"}, {{"s", "v1"}, {"t", "v1"}}},
                      StreamVersionCase{"unnamed", {}, {"s", ""}, {{"s", ""}}},
                      // One entry stands for all that don't fit.
                      StreamVersionCase{"tooMany",
                                        {{"s", "1"}, {"s", "2"}, {"s", "3"}, {"s", "4"}, {"s", "5"}, {"s", "6"}, {"s", "7"}, {"s", "8"}},
                                        {"s", "9"},
                                        {{}, {"s", "3"}, {"s", "4"}, {"s", "5"}, {"s", "6"}, {"s", "7"}, {"s", "8"}, {"s", "9"}}}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(TokenLedger, ARowIsConfirmedByACallThatStartsLater)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    EXPECT_TRUE(ledger.confirmedRow("p", Start));
    const TokenRequest later{"p", Budget, 1, false, std::nullopt, Start + 1s};
    EXPECT_FALSE(ledger.confirmedRow("p", later.confirmedSince));
    // A read that has failed is followed by a write, whose condition confirms the row, too.
    EXPECT_TRUE(std::holds_alternative<TokenNeedsRead>(ledger.reserve(later, Start + 2s)));
    ledger.onRowRead("p", std::nullopt, Start + 3s);
    const auto answer = ledger.reserve(later, Start + 4s);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsWrite>(answer));
    const auto &write = std::get<TokenNeedsWrite>(answer).write;
    ledger.onWritten("p", *rows.write(write));
    EXPECT_TRUE(ledger.confirmedRow("p", Start + 4s));
    EXPECT_TRUE(isGranted(ledger.reserve(later, Start + 5s)));
    // A successful read confirms it as of its start.
    const TokenRequest last{"p", Budget, 1, false, std::nullopt, Start + 6s};
    EXPECT_TRUE(std::holds_alternative<TokenNeedsRead>(ledger.reserve(last, Start + 7s)));
    ledger.onRowRead("p", rows.row("p"), Start + 9s);
    EXPECT_TRUE(ledger.confirmedRow("p", Start + 7s));
    EXPECT_FALSE(ledger.confirmedRow("p", Start + 8s));
    EXPECT_TRUE(isGranted(ledger.reserve(last, Start + 9s)));
}

TEST(TokenLedger, ExhaustedBudgetIsRefused)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    std::uint64_t granted = 0;
    while (isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most}))) {
        granted += Most;
        ASSERT_LE(granted, Budget + Most);
    }
    EXPECT_GE(granted, Budget);
    // Another entry can't know at first whether this one is about to give tokens back.
    TokenLedger other("b/1");
    EXPECT_TRUE(std::holds_alternative<TokenBudgetUnknown>(reserveWithWrites(other, rows, {"p", Budget, Most})));
    EXPECT_TRUE(std::holds_alternative<TokenBudgetExhausted>(other.reserve({"p", Budget, Most}, Start + TokenSettleTime)));
}

TEST(TokenLedger, ConcurrentRequestsWaitForOneWrite)
{
    TokenLedger ledger("a/1");
    EXPECT_TRUE(std::holds_alternative<TokenNeedsWrite>(ledger.reserve({"p", Budget, Most}, Start)));
    EXPECT_TRUE(std::holds_alternative<TokenBusy>(ledger.reserve({"p", Budget, Most}, Start)));
    ledger.onWriteFailed("p");
    EXPECT_TRUE(std::holds_alternative<TokenNeedsWrite>(ledger.reserve({"p", Budget, Most}, Start)));
}

TEST(TokenLedger, OneWriteServesAllTurnsThatWaited)
{
    constexpr std::uint64_t Large = 10000;
    RowModel rows;
    TokenLedger ledger("a/1");
    const auto first = ledger.reserve({"p", Large, Most}, Start);
    constexpr int Waiting = 5;
    for (int n = 0; n < Waiting; n++) {
        EXPECT_TRUE(std::holds_alternative<TokenBusy>(ledger.reserve({"p", Large, Most}, Start)));
    }
    ledger.onWritten("p", *rows.write(std::get<TokenNeedsWrite>(first).write));
    int writes = 0;
    for (int n = 0; n <= Waiting; n++) {
        auto answer = ledger.reserve({"p", Large, Most}, Start);
        if (const auto *needed = std::get_if<TokenNeedsWrite>(&answer)) {
            writes++;
            ledger.onWritten("p", *rows.write(needed->write));
            answer = ledger.reserve({"p", Large, Most}, Start);
        }
        EXPECT_TRUE(isGranted(answer));
    }
    EXPECT_EQ(writes, 1);
}

TEST(TokenLedger, TurnsThatWaitThroughFailedWritesAreCountedOnce)
{
    constexpr std::uint64_t Large = 100000;
    RowModel rows;
    TokenLedger ledger("a/1");
    constexpr int Turns = 6;
    for (int failure = 0; failure < 5; failure++) {
        for (int n = 0; n < Turns; n++) {
            (void)ledger.reserve({"p", Large, Most}, Start);
        }
        ledger.onWriteFailed("p");
    }
    for (int n = 0; n < Turns; n++) {
        EXPECT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Large, Most})));
    }
    EXPECT_LE(rows.row("p").reserved, (Turns + TurnsReservedAhead) * Most);
}

TEST(TokenLedger, LostReplyOfAWriteIsRecognised)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    const auto first = ledger.reserve({"p", Budget, Most}, Start);
    const auto write = std::get<TokenNeedsWrite>(first).write;
    ASSERT_TRUE(rows.write(write));
    ledger.onWriteFailed("p");
    EXPECT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    EXPECT_EQ(rows.row("p").reserved, write.row.reserved);
}

TEST(TokenLedger, TokensHeldForLongNeedTheRowRewritten)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    const auto reserved = rows.row("p").reserved;
    ledger.settle("p", Most, 0, Start);
    EXPECT_TRUE(isGranted(ledger.reserve({"p", Budget, Most}, Start + TokenRowRefreshAge)));
    const auto answer = ledger.reserve({"p", Budget, Most}, Start + TokenRowRefreshAge + 1s);
    const auto *needed = std::get_if<TokenNeedsWrite>(&answer);
    ASSERT_NE(needed, nullptr);
    EXPECT_EQ(needed->write.row.reserved, reserved);
    ledger.onWritten("p", *rows.write(needed->write));
    EXPECT_TRUE(isGranted(ledger.reserve({"p", Budget, Most}, Start + TokenRowRefreshAge + 1s)));
    EXPECT_LT(TokenRowRefreshAge, TokenRowLifetime);
}

TEST(TokenLedger, ARemovedRowVoidsTheTokensHeld)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    const auto answer = ledger.reserve({"p", Budget, Most}, Start + TokenRowRefreshAge + 1s);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsWrite>(answer));
    ledger.onConflict("p", {});
    const auto again = ledger.reserve({"p", Budget, Most}, Start + TokenRowRefreshAge + 1s);
    const auto *needed = std::get_if<TokenNeedsWrite>(&again);
    ASSERT_NE(needed, nullptr);
    EXPECT_GE(needed->write.row.reserved, Most);
}

TEST(TokenLedger, IdleProgramsAreRemovedWithTheirRows)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    reserveWithWrites(ledger, rows, {"p", Budget, Most});
    EXPECT_TRUE(ledger.removeIdle(Start).empty());
    const auto old = ledger.removeIdle(Start + 1s);
    ASSERT_EQ(old.size(), 1U);
    EXPECT_EQ(old[0].row.version, rows.row("p").version);
    EXPECT_EQ(ledger.size(), 0U);
}

TEST(TokenLedger, AMergedRowAvoidsARefusedWrite)
{
    RowModel rows;
    TokenLedger first("e1/0", "z1");
    const auto needsWrite = std::get<TokenNeedsWrite>(first.reserve({"p", Budget, Most}, Start));
    first.onWritten("p", rows.write(needsWrite.write).value());
    TokenLedger second("e2/0", "z2");
    second.mergeRow("p", first.row("p"), Start);
    EXPECT_EQ(second.homeZone("p"), "z1");
    const auto needed = std::get<TokenNeedsWrite>(second.reserve({"p", Budget, Most}, Start));
    const auto version = rows.write(needed.write);
    ASSERT_TRUE(version);
    second.onWritten("p", *version);
    EXPECT_TRUE(isGranted(second.reserve({"p", Budget, Most}, Start)));
    // An older row is ignored.
    const auto known = second.row("p").version;
    second.mergeRow("p", first.row("p"), Start);
    EXPECT_EQ(second.row("p").version, known);
}

TEST(TokenLedger, AnUnknownRowIsReadFirstWhereItProbablyExists)
{
    RowModel rows;
    TokenLedger first("e1/0");
    const auto needsWrite = std::get<TokenNeedsWrite>(first.reserve({"p", Most, Most}, Start));
    first.onWritten("p", rows.write(needsWrite.write).value());
    // By a read alone, the second entry learns that one more turn fits, and the third that the budget is exhausted.
    TokenLedger second("e2/0");
    EXPECT_TRUE(std::holds_alternative<TokenNeedsRead>(second.reserve({"p", Most, Most, true}, Start)));
    EXPECT_TRUE(std::holds_alternative<TokenBusy>(second.reserve({"p", Most, Most, true}, Start)));
    second.onRowRead("p", rows.row("p"), Start);
    const auto needed = std::get<TokenNeedsWrite>(second.reserve({"p", Most, Most, true}, Start));
    second.onWritten("p", rows.write(needed.write).value());
    TokenLedger third("e3/0");
    third.reserve({"p", Most, Most, true}, Start);
    third.onRowRead("p", rows.row("p"), Start);
    EXPECT_TRUE(std::holds_alternative<TokenBudgetUnknown>(third.reserve({"p", Most, Most, true}, Start)));
    EXPECT_TRUE(std::holds_alternative<TokenBudgetExhausted>(third.reserve({"p", Most, Most, true}, Start + TokenSettleTime)));
    // A failed or empty read leads to a write.
    TokenLedger fourth("e4/0");
    fourth.reserve({"q", Most, Most, true}, Start);
    fourth.onRowRead("q", std::nullopt, Start);
    EXPECT_TRUE(std::holds_alternative<TokenNeedsWrite>(fourth.reserve({"q", Most, Most, true}, Start)));
}

namespace {

/** Executes writes at once. */
void executeReturns(TokenLedger &ledger, RowModel &rows, TimePoint now)
{
    for (const auto &it : ledger.beginReturns(now)) {
        const auto version = rows.write(it);
        if (version) {
            ledger.onWritten(it.program, *version);
        } else {
            ledger.onConflict(it.program, rows.row(it.program));
        }
    }
}

} // namespace

// A planned restart lost the tokens that had been reserved for further turns.
TEST(TokenLedger, AStopGivesTokensBackAtOnce)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    // A turn in progress may need them.
    executeReturns(ledger, rows, Start);
    EXPECT_EQ(rows.row("p").returned, 0U);
    EXPECT_TRUE(ledger.holdsTokens());
    ledger.settle("p", Most, Most, Start);
    executeReturns(ledger, rows, Start);
    EXPECT_EQ(rows.row("p").outstanding(), Most);
    EXPECT_FALSE(ledger.holdsTokens());
}

/** What happens to a write that gives tokens back. */
struct ReturnOutcomeCase
{
    const char *name;       ///< For the test's name.
    bool isExecuted;        ///< True if the store executes it.
    bool isReplyLost;       ///< True if its reply is lost.
    bool isChangedByOther;  ///< True if another entry writes the row afterwards.
    std::uint64_t returned; ///< Tokens given back in the end, of Most.
    bool isOlder = false;   ///< True if that entry runs an older release, whose rows have no marks.
};

class TokenReturnOutcome : public ::testing::TestWithParam<ReturnOutcomeCase>
{
};

// Tokens that are given back twice would exceed the budget.
TEST_P(TokenReturnOutcome, GivesNoTokensBackTwice)
{
    const auto &param = GetParam();
    RowModel rows;
    TokenLedger ledger("a/1");
    TokenLedger other("b/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
    ledger.settle("p", Most, Most, Start);
    const auto writes = ledger.beginReturns(Start);
    ASSERT_EQ(writes.size(), 1U);
    const auto version = param.isExecuted ? rows.write(writes[0]) : std::nullopt;
    if (param.isChangedByOther) {
        ASSERT_TRUE(isGranted(reserveWithWrites(other, rows, {"p", Budget, Most})));
    }
    if (param.isOlder) {
        rows.removeMarks("p");
    }
    if (param.isReplyLost) {
        ledger.onWriteFailed("p");
    } else if (version) {
        ledger.onWritten("p", *version);
    } else {
        ledger.onConflict("p", rows.row("p"));
    }
    for (auto now = Start; now < Start + 3 * TokenReturnInterval; now += TokenReturnInterval) {
        executeReturns(ledger, rows, now);
    }
    EXPECT_EQ(rows.row("p").returned, param.returned);
    EXPECT_FALSE(ledger.holdsTokens());
}

INSTANTIATE_TEST_SUITE_P(All,
                         TokenReturnOutcome,
                         ::testing::Values(ReturnOutcomeCase{"done", true, false, false, Most},
                                           ReturnOutcomeCase{"replyLost", true, true, false, Most},
                                           ReturnOutcomeCase{"callLost", false, true, false, Most},
                                           ReturnOutcomeCase{"refused", false, false, true, Most},
                                           ReturnOutcomeCase{"replyLostAndChanged", true, true, true, Most},
                                           ReturnOutcomeCase{"callLostAndChanged", false, true, true, Most},
                                           // It isn't known that they didn't go back.
                                           ReturnOutcomeCase{"callLostAndChangedByOlder", false, true, true, 0, true},
                                           ReturnOutcomeCase{"replyLostAndChangedByOlder", true, true, true, Most, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A row that was read some time ago doesn't show the tokens given back since.
TEST(TokenLedger, ABudgetIsExhaustedOnlyByARowReadAfterTheRequest)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    TokenLedger other("b/1");
    const TokenRequest all{"p", Most, Most};
    ASSERT_TRUE(isGranted(reserveWithWrites(other, rows, all)));
    ASSERT_TRUE(isGranted(reserveWithWrites(ledger, rows, all)));
    other.settle("p", Most, 0, Start);
    // The first write is refused, since the row has changed.
    executeReturns(other, rows, Start + 1s);
    executeReturns(other, rows, Start + 1s);
    const TokenRequest later{"p", Most, Most, false, std::nullopt, {}, Start + 2s};
    ASSERT_TRUE(std::holds_alternative<TokenNeedsRead>(ledger.reserve(later, Start + 2s)));
    ledger.onRowRead("p", rows.row("p"), Start + 2s);
    EXPECT_TRUE(std::holds_alternative<TokenNeedsWrite>(ledger.reserve(later, Start + 2s)));
    // Without the store it isn't known.
    TokenLedger third("c/1");
    ASSERT_TRUE(isGranted(reserveWithWrites(third, rows, all)));
    ASSERT_TRUE(std::holds_alternative<TokenNeedsRead>(third.reserve(later, Start + 2s)));
    third.onRowRead("p", std::nullopt, Start + 2s);
    EXPECT_TRUE(std::holds_alternative<TokenBudgetUnknown>(third.reserve(later, Start + 2s)));
}

// A budget counted as spent while another entry held tokens that its turns hadn't used.
TEST(TokenLedger, OtherHoldersAreAskedBeforeABudgetIsExhausted)
{
    RowModel rows;
    TokenLedger first("a/1");
    TokenLedger second("b/1");
    TokenLedger third("c/1");
    constexpr TimePoint Later = Start + 50ms;
    const auto request = [](TimePoint at) {
        return TokenRequest{"p", Most, Most, false, std::nullopt, {}, at};
    };
    ASSERT_TRUE(isGranted(reserveWithWrites(second, rows, request({}))));
    ASSERT_TRUE(isGranted(reserveWithWrites(first, rows, request({}))));
    second.settle("p", Most, 0, Start);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsRead>(first.reserve(request(Later), Later)));
    first.onRowRead("p", rows.row("p"), Later);
    const auto answer = first.reserve(request(Later), Later);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsReturns>(answer));
    EXPECT_EQ(std::get<TokenNeedsReturns>(answer).holders, std::vector<std::string>{"b"});
    // The first write is refused, since the row has changed.
    EXPECT_FALSE(rows.write(second.beginReturn("p", Later).value()));
    second.onConflict("p", rows.row("p"));
    second.onWritten("p", rows.write(second.beginReturn("p", Later).value()).value());
    EXPECT_FALSE(second.beginReturn("p", Later));
    EXPECT_FALSE(second.holdsTokens("p"));
    first.onReturnsRequested("p", true, true);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsRead>(first.reserve(request(Later), Later)));
    first.onRowRead("p", rows.row("p"), Later);
    EXPECT_TRUE(isGranted(reserveWithWrites(first, rows, request(Later))));
    // Both entries hold nothing now. An entry that asks them knows at once that the budget is exhausted, or later if one doesn't reply.
    for (const bool haveAllReplied : {false, true}) {
        const auto at = Start + (haveAllReplied ? 200ms : 100ms);
        auto step = third.reserve(request(at), at);
        if (std::holds_alternative<TokenNeedsRead>(step)) {
            third.onRowRead("p", rows.row("p"), at);
            step = third.reserve(request(at), at);
        } else if (const auto *needed = std::get_if<TokenNeedsWrite>(&step)) {
            EXPECT_FALSE(rows.write(needed->write));
            third.onConflict("p", rows.row("p"));
            step = third.reserve(request(at), at);
        }
        ASSERT_TRUE(std::holds_alternative<TokenNeedsReturns>(step));
        EXPECT_EQ(std::get<TokenNeedsReturns>(step).holders, (std::vector<std::string>{"b", "a"}));
        third.onReturnsRequested("p", haveAllReplied, false);
        step = third.reserve(request(at), at);
        EXPECT_EQ(std::holds_alternative<TokenBudgetExhausted>(step), haveAllReplied);
        EXPECT_EQ(std::holds_alternative<TokenBudgetUnknown>(step), !haveAllReplied);
    }
}

/** Turns of one program go through several entries, which also restart as planned. No turn is refused while the budget holds one more. */
// A row from another source ended a write that was under way, and the program's turns waited for its reply forever.
TEST(TokenLedger, AMergedRowDoesNotEndAWriteThatIsUnderWay)
{
    RowModel rows;
    TokenLedger ledger("a/1");
    TokenLedger other("b/1");
    const auto first = ledger.reserve({"p", Budget, Most}, Start);
    ASSERT_TRUE(std::holds_alternative<TokenNeedsWrite>(first));
    ASSERT_TRUE(isGranted(reserveWithWrites(other, rows, {"p", Budget, Most})));
    ledger.mergeRow("p", rows.row("p"), Start);
    EXPECT_TRUE(std::holds_alternative<TokenBusy>(ledger.reserve({"p", Budget, Most}, Start)));
    EXPECT_FALSE(rows.write(std::get<TokenNeedsWrite>(first).write));
    ledger.onConflict("p", rows.row("p"));
    EXPECT_TRUE(isGranted(reserveWithWrites(ledger, rows, {"p", Budget, Most})));
}

/** What happens to a write that reserves tokens, before the row shows its outcome to its writer. */
struct LostWriteCase
{
    const char *name;        ///< For the test's name.
    bool isExecuted;         ///< True if the store executes it.
    unsigned otherWrites;    ///< Writes of another entry that follow.
    bool isFoundByRead;      ///< True if the writer reads the row, false if it repeats the write.
    std::uint64_t available; ///< Tokens that its writer holds then.
    bool isOlder = false;    ///< True if the other entry runs an older release, whose rows have no marks.
};

class LostWrite : public ::testing::TestWithParam<LostWriteCase>
{
};

// If another entry had written the row since, reserved tokens whose reply was lost counted as spent for good, and programs got wrong 402s.
TEST_P(LostWrite, IsFoundInTheRowByItsWriter)
{
    const auto &param = GetParam();
    RowModel rows;
    TokenLedger ledger("a/1");
    TokenLedger other("b/1");
    const auto answer = ledger.reserve({"p", Budget, Most}, Start);
    const auto *needed = std::get_if<TokenNeedsWrite>(&answer);
    ASSERT_NE(needed, nullptr);
    const auto write = needed->write;
    if (param.isExecuted) {
        ASSERT_TRUE(rows.write(write));
    }
    ledger.onWriteFailed("p");
    EXPECT_TRUE(ledger.holdsTokens("p"));
    for (unsigned n = 0; n < param.otherWrites; n++) {
        ASSERT_TRUE(isGranted(reserveWithWrites(other, rows, {"p", Budget, Most})));
        // The next turn needs another write.
        while (other.holdsTokens()) {
            ASSERT_TRUE(isGranted(other.reserve({"p", Budget, Most}, Start)));
        }
    }
    if (param.isOlder) {
        rows.removeMarks("p");
    }
    if (param.isFoundByRead) {
        ledger.onRowRead("p", rows.row("p"), Start);
    } else {
        const auto repeated = ledger.beginReturn("p", Start);
        ASSERT_TRUE(repeated);
        EXPECT_EQ(repeated->row.writer, write.row.writer);
        const auto version = rows.write(*repeated);
        if (version) {
            ledger.onWritten("p", *version);
        } else {
            ledger.onConflict("p", rows.row("p"));
        }
    }
    EXPECT_EQ(ledger.view("p", Start).available, param.available);
    // Nothing is given back twice.
    executeReturns(ledger, rows, Start + TokenReturnInterval);
    EXPECT_EQ(rows.row("p").returned, param.available);
    EXPECT_FALSE(ledger.holdsTokens());
}

INSTANTIATE_TEST_SUITE_P(All,
                         LostWrite,
                         ::testing::Values(LostWriteCase{"executed", true, 0, false, 2 * Most},
                                           LostWriteCase{"executedAndRead", true, 0, true, 2 * Most},
                                           LostWriteCase{"notExecuted", false, 0, false, 2 * Most},
                                           LostWriteCase{"executedAndChanged", true, 1, false, 2 * Most},
                                           LostWriteCase{"executedAndChangedTwice", true, 2, false, 2 * Most},
                                           LostWriteCase{"executedChangedAndRead", true, 2, true, 2 * Most},
                                           LostWriteCase{"notExecutedAndChanged", false, 1, false, 0},
                                           LostWriteCase{"notExecutedChangedAndRead", false, 2, true, 0},
                                           LostWriteCase{"executedAndChangedByOlder", true, 1, false, 0, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

RC_GTEST_PROP(TokenLedgerProperty, NoTurnIsRefusedInsideTheBudget, ())
{
    constexpr std::size_t Entries = 3;
    const auto budget = *rc::gen::element<std::uint64_t>(1 * Most, 2 * Most, 4 * Most, 8 * Most, 9 * Most);
    RowModel rows;
    std::vector<std::unique_ptr<TokenLedger>> ledgers;
    for (std::size_t n = 0; n < Entries; n++) {
        ledgers.push_back(std::make_unique<TokenLedger>("e" + std::to_string(n) + "/0"));
    }
    std::uint64_t used = 0;
    std::uint64_t incarnations = 0;
    TimePoint now = Start;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Entries)), rc::gen::inRange(0, static_cast<int>(Most) + 1)));
    for (const auto &[which, tokens] : steps) {
        now += 100ms;
        auto &ledger = ledgers[static_cast<std::size_t>(which)];
        const TokenRequest request{"p", budget, Most, false, std::nullopt, {}, now};
        bool isDone = false;
        bool isReplyLost = false;
        while (!isDone && !isReplyLost && used + Most <= budget) {
            const auto answer = ledger->reserve(request, now);
            isDone = isGranted(answer);
            const auto *needed = std::get_if<TokenNeedsWrite>(&answer);
            if (needed != nullptr && tokens % 5 == 1) {
                // The write may be executed, and its writer learns it after others have written the row.
                if (tokens % 2 == 0) {
                    rows.write(needed->write);
                }
                ledger->onWriteFailed("p");
                isReplyLost = true;
            } else if (needed != nullptr) {
                const auto version = rows.write(needed->write);
                if (version) {
                    ledger->onWritten("p", *version);
                } else {
                    ledger->onConflict("p", rows.row("p"));
                }
            } else if (std::holds_alternative<TokenNeedsRead>(answer)) {
                ledger->onRowRead("p", rows.row("p"), now);
            } else if (const auto *needsReturns = std::get_if<TokenNeedsReturns>(&answer)) {
                for (const auto &it : needsReturns->holders) {
                    auto &holder = *ledgers[static_cast<std::size_t>(it.at(1) - '0')];
                    // A write without a reply is repeated, and the next one refused if the row has changed since.
                    for (int n = 0; n < 3; n++) {
                        const auto write = holder.beginReturn("p", now);
                        const auto version = write ? rows.write(*write) : std::nullopt;
                        if (version) {
                            holder.onWritten("p", *version);
                        } else if (write) {
                            holder.onConflict("p", rows.row("p"));
                        }
                    }
                    RC_ASSERT(!holder.holdsTokens("p"));
                }
                ledger->onReturnsRequested("p", true, true);
            } else {
                RC_ASSERT(isDone);
            }
        }
        if (isReplyLost) {
            continue;
        }
        if (!isDone) {
            return;
        }
        ledger->settle("p", Most, static_cast<std::uint64_t>(tokens), now);
        used += static_cast<std::uint64_t>(tokens);
        if (tokens % 4 == 0) {
            for (int n = 0; n < 3; n++) {
                executeReturns(*ledger, rows, now + n * TokenReturnInterval);
            }
            ledger = std::make_unique<TokenLedger>("e" + std::to_string(which) + "/" + std::to_string(++incarnations));
        }
    }
}

/**
 * Several entries run turns that begin and end in any order, while replies are lost, writes take effect late, and entries restart.
 * In no case are more tokens granted than the budget and one turn.
 */
RC_GTEST_PROP(TokenLedgerProperty, NoInterleavingGrantsMoreThanTheBudgetAndOneTurn, ())
{
    constexpr std::size_t Entries = 3;
    struct Turn
    {
        std::size_t entry;
        std::uint64_t incarnation;
    };
    // Small budgets are exhausted within a few steps.
    const auto budget = *rc::gen::element<std::uint64_t>(Most / 2, 2 * Most, 4 * Most, Budget);
    RowModel rows;
    std::vector<std::unique_ptr<TokenLedger>> ledgers;
    std::vector<std::uint64_t> incarnations(Entries, 0);
    for (std::size_t n = 0; n < Entries; n++) {
        ledgers.push_back(std::make_unique<TokenLedger>("e" + std::to_string(n) + "/0"));
    }
    std::vector<std::optional<TokenWrite>> open(Entries);
    std::vector<TokenWrite> lateWrites;
    std::vector<TokenRow> knownRows;
    std::vector<Turn> turns;
    std::uint64_t granted = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 13), rc::gen::inRange(0, static_cast<int>(Entries))));
    TimePoint now = Start;
    for (const auto &[action, which] : steps) {
        now += TokenReturnInterval;
        const auto n = static_cast<std::size_t>(which);
        auto &ledger = *ledgers[n];
        if (action <= 2) {
            const auto answer = ledger.reserve({"p", budget, Most, which == 1}, now);
            if (std::holds_alternative<TokenNeedsRead>(answer)) {
                // The read takes effect at once, or fails.
                ledger.onRowRead("p", action == 2 ? std::nullopt : std::optional(rows.row("p")), now);
            }
            if (const auto *needed = std::get_if<TokenNeedsWrite>(&answer)) {
                open[n] = needed->write;
            } else if (isGranted(answer)) {
                turns.push_back({n, incarnations[n]});
            }
        } else if (action <= 4 && open[n]) {
            const auto version = rows.write(*open[n]);
            if (version) {
                ledger.onWritten("p", *version);
            } else {
                ledger.onConflict("p", rows.row("p"));
            }
            open[n].reset();
        } else if (action == 5 && open[n]) {
            // The write takes effect, but its reply is lost.
            rows.write(*open[n]);
            ledger.onWriteFailed("p");
            open[n].reset();
        } else if (action == 6 && open[n]) {
            // The write fails, but may take effect later.
            lateWrites.push_back(*open[n]);
            ledger.onWriteFailed("p");
            open[n].reset();
        } else if (action == 7 && !turns.empty()) {
            const Turn turn = turns.back();
            turns.pop_back();
            const std::uint64_t used = (n + 1) * Most / Entries;
            granted += used;
            if (incarnations[turn.entry] == turn.incarnation) {
                ledgers[turn.entry]->settle("p", Most, used, now);
            }
        } else if (action == 8) {
            if (!lateWrites.empty()) {
                rows.write(lateWrites.back());
                lateWrites.pop_back();
            } else {
                incarnations[n]++;
                ledgers[n] = std::make_unique<TokenLedger>("e" + std::to_string(n) + "/" + std::to_string(incarnations[n]));
                open[n].reset();
            }
        } else if (action >= 11) {
            // Starts to give tokens back, or repeats a write with an unknown outcome.
            if (const auto write = ledger.beginReturn("p", now)) {
                open[n] = write;
            }
        } else if (action == 9) {
            knownRows.push_back(ledger.row("p"));
        } else if (action == 10 && !knownRows.empty()) {
            // Merges a current or outdated row that one of the entries knew.
            ledger.mergeRow("p", knownRows[static_cast<std::size_t>(which) * (knownRows.size() - 1) / (Entries - 1)], now);
        }
        RC_ASSERT(granted + turns.size() * Most <= budget + Most);
    }
}

} // namespace Vanillahall::Forward
