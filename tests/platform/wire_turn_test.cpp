/** Rows of stored turns: written, read back, and removed in calls within the limits of the store. */
#include "vanillahall/platform/wire_turn_func.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

using Json = nlohmann::json;

constexpr std::size_t RowBytes = 65536;

Forward::StoredTurn makeTurn(std::string id, std::string text)
{
    Forward::StoredTurn turn;
    turn.id = std::move(id);
    turn.bases = {"b1", "b2"};
    turn.text = std::move(text);
    turn.retainedUntilMs = 123456;
    turn.program = "p";
    turn.tokens = {40, "edge/1/2", 17, "z1"};
    return turn;
}

/** @return The rows that a call writes, as a read of the turn's table would return them. */
StoreRows writtenRows(const StoreRequest &call)
{
    Error reason;
    Json rows = Json::array();
    const Json body = Json::parse(call.body);
    for (auto row : body["writes"]) {
        if (row["table"] == "turns") {
            row["ver"] = 5;
            rows.push_back(row);
        }
    }
    return decodeRows(Json({{"rows", rows}, {"ver", 5}, {"nowMs", 1}}).dump(), reason).value();
}

std::size_t transactionEntries(const StoreRequest &call)
{
    const auto body = Json::parse(call.body);
    return body["expect"].size() + body["writes"].size() + body["remove"].size();
}

} // namespace

/** Text of a turn and its number of rows. */
struct TurnTextCase
{
    const char *name;
    std::string text;
    std::size_t pieces;
};

class TurnText : public ::testing::TestWithParam<TurnTextCase>
{
};

TEST_P(TurnText, IsReadAsWritten)
{
    const auto turn = makeTurn("t1", GetParam().text);
    const auto call = writeTurnCall({std::make_shared<Forward::StoredTurn>(turn), 0}, RowBytes);
    EXPECT_LE(call.body.size(), std::size_t{1} << 20);
    const Json body = Json::parse(call.body);
    for (const auto &it : body["writes"]) {
        EXPECT_LE(it["value"].get<std::string>().size(), RowBytes);
    }
    const auto rows = writtenRows(call);
    EXPECT_EQ(rows.rows.size(), GetParam().pieces);
    EXPECT_EQ(turnPieces(turn, RowBytes), GetParam().pieces);
    Error reason;
    const auto read = decodeTurn({"t1", 0}, rows, reason);
    ASSERT_TRUE(read && *read) << reason.message;
    EXPECT_EQ((*read)->text, turn.text);
    EXPECT_EQ((*read)->bases, turn.bases);
    EXPECT_EQ((*read)->retainedUntilMs, turn.retainedUntilMs);
    EXPECT_EQ((*read)->program, "p");
    EXPECT_EQ((*read)->tokens.reserved, 40U);
    EXPECT_EQ((*read)->tokens.version, 17U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         TurnText,
                         ::testing::Values(TurnTextCase{"empty", "", 1},
                                           TurnTextCase{"lineFeeds", "\n\na\n", 1},
                                           TurnTextCase{"anyBytes", std::string("\0\xff\xfe\r\n{}", 7), 1},
                                           TurnTextCase{"large", std::string(100000, 'x'), 3},
                                           TurnTextCase{"largest", std::string(std::size_t{640} * 1024, 'x'), 16}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(TurnRow, TurnWithAMissingPieceCannotBeRead)
{
    const auto turn = std::make_shared<Forward::StoredTurn>(makeTurn("t1", std::string(100000, 'x')));
    const auto rows = writtenRows(writeTurnCall({turn, 0}, RowBytes));
    ASSERT_EQ(rows.rows.size(), 3U);
    for (std::size_t n = 0; n < rows.rows.size(); n++) {
        auto incomplete = rows;
        incomplete.rows.erase(incomplete.rows.begin() + static_cast<std::ptrdiff_t>(n));
        Error reason;
        EXPECT_FALSE(decodeTurn({"t1", 0}, incomplete, reason)) << n;
        EXPECT_FALSE(reason.message.empty());
    }
    Error reason;
    const auto none = decodeTurn({"t1", 0}, {}, reason);
    ASSERT_TRUE(none);
    EXPECT_EQ(*none, nullptr);
}

TEST(TurnRow, CopiesAreInDifferentParts)
{
    for (int n = 0; n < 2000; n++) {
        const std::string id = "t" + std::to_string(n);
        const auto partOf = [](const StoreRequest &call) {
            return call.target.substr(call.target.find("part="), 10);
        };
        EXPECT_NE(partOf(readTurnCall({id, 0})), partOf(readTurnCall({id, 1})));
    }
}

TEST(TurnRow, KeysOfOneTurnAreNotAmongThoseOfAnother)
{
    // The keys of turn "a" start with "a/"; the key of turn "a/000" must not look like one of them.
    const auto call = writeTurnCall({std::make_shared<Forward::StoredTurn>(makeTurn("a/000", "x")), 0}, RowBytes);
    EXPECT_EQ(Json::parse(call.body)["writes"][0]["key"], "a%2F000/000");
    EXPECT_FALSE(isTurnId("a b"));
    EXPECT_FALSE(isTurnId(""));
    EXPECT_FALSE(isTurnId(std::string(61, 'a')));
    EXPECT_TRUE(isTurnId(std::string(60, '/')));
}

TEST(TurnRow, RemovalsFitIntoOneTransaction)
{
    StoreRows records;
    for (int n = 0; n < 120; n++) {
        records.rows.push_back({"0000000000000100/t" + std::to_string(n) + "/", n % 7 == 0 ? "16" : "1", 5, false});
    }
    records.rows.push_back({"0000000000000100/torn/", "many", 5, false});
    Error reason;
    auto turns = decodeExpiredTurns(records, reason);
    EXPECT_EQ(turns.size(), 120U);
    EXPECT_FALSE(reason.message.empty());
    while (!turns.empty()) {
        const auto n = removableTurns(turns);
        ASSERT_GT(n, 0U);
        const auto end = turns.begin() + static_cast<std::ptrdiff_t>(n);
        EXPECT_LE(transactionEntries(removeExpiredTurnsCall(3, {turns.begin(), end})), MaxTransactionEntries);
        turns.erase(turns.begin(), end);
    }
}

TEST(StoreRemoval, OfTokenRowsFitsIntoOneTransaction)
{
    const std::vector<Forward::TokenWrite> rows(MaxRemovedRows, Forward::TokenWrite{"p", {}});
    EXPECT_LE(transactionEntries(removeTokenRowsCall(rows)), MaxTransactionEntries);
    EXPECT_LE(transactionEntries(removeMembersCall("r", std::vector<Forward::ProxyMember>(MaxRemovedRows))), MaxTransactionEntries);
}

} // namespace Vanillahall::Platform
