/** Rows of owners, and the messages about second shares. */
#include "vanillahall/platform/wire_outage_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Vanillahall::Platform {

using namespace std::chrono_literals;

// A field that got lost on the way would let two proxies own a partition, or a closed share be granted.
TEST(WireOutage, RowsAndMessagesAreReadAsTheyWereWritten)
{
    const Forward::OutageTurnRecord turn{"p", "t", 60, 1500ms, true, Forward::SoftwareVersion{"svc", "v1"}};
    const auto call = writeBudgetOwnersCall({{7, "vm-1", "42", 3, 9, true, 50, 12, {true, true, 11, {turn}}}});
    const auto body = nlohmann::json::parse(call.body);
    EXPECT_EQ(body["expect"][0]["ver"], 12U);
    Error ec;
    const auto rows
        = decodeRows(nlohmann::json({{"rows", {{{"key", "7"}, {"value", body["writes"][0]["value"]}, {"ver", 13}}}}}).dump(), ec);
    ASSERT_TRUE(rows);
    const auto row = decodeBudgetOwner(rows->rows.at(0), ec);
    ASSERT_TRUE(row) << ec.message;
    const auto &[partition, owner, incarnation, term, renewals, isClean, share, version, ledger] = *row;
    EXPECT_EQ(std::tie(partition, owner, incarnation, term), std::make_tuple(7U, "vm-1", "42", 3U));
    EXPECT_EQ(std::tie(renewals, isClean, share, version), std::make_tuple(9U, true, 50U, 13U));
    EXPECT_EQ(std::tie(ledger.isComplete, ledger.hasWitnesses, ledger.seenVersion), std::make_tuple(true, true, 11U));
    const auto testimony = decodeTestimony(encodeTestimony({8, {turn}}));
    ASSERT_TRUE(testimony);
    EXPECT_EQ(testimony->since, 8U);
    for (const auto &turns : {ledger.turns, testimony->turns}) {
        ASSERT_EQ(turns.size(), 1U);
        EXPECT_EQ(std::tie(turns[0].program, turns[0].turn, turns[0].tokens), std::make_tuple("p", "t", 60U));
        EXPECT_EQ(std::tie(turns[0].timeLeft, turns[0].isReported, turns[0].streamVersion),
                  std::tie(turn.timeLeft, turn.isReported, turn.streamVersion));
    }
    EXPECT_EQ(decodeGrantsQuery(encodeGrantsQuery({3, 63})), (std::vector<std::uint32_t>{3, 63}));
    EXPECT_EQ(decodeGrantsQuery(encodeGrantsQuery({64})), std::nullopt);
    const Forward::SoftwareVersion begun{"svc", "v1"};
    const auto grant = decodeOutageGrant(encodeOutageGrant({"p", "t", 400, 20, 1500ms, begun}, 50), 50);
    ASSERT_TRUE(grant);
    EXPECT_EQ(std::tie(grant->program, grant->turn, grant->budget, grant->maxTokens), std::make_tuple("p", "t", 400U, 20U));
    EXPECT_EQ(grant->timeLeft, 1500ms);
    EXPECT_EQ(grant->streamVersion, begun);
    EXPECT_FALSE(decodeOutageGrant(encodeOutageGrant({"p", "t", 400, 20, 1500ms}, 25), 50));
    EXPECT_EQ(decodeOutageReport(encodeOutageReport({"p", "t", 20}))->used, 20U);
    EXPECT_EQ(decodeShareQuery(encodeShareQuery("p", 50), 50), "p");
    EXPECT_EQ(decodeShareQuery(encodeShareQuery("p", 50), 25), std::nullopt);
    EXPECT_EQ(decodeClosedShare(encodeClosedShare({60}))->tokens, 60U);
    EXPECT_EQ(decodeShareVersions(encodeShareVersions({begun})), std::vector{begun});
    const Forward::TokenWrite write{"p", {40, "a/1/m1", 1, "z", {}, 0, {}, 60, {{"b", "0a.m3"}}, 7}};
    const auto written = nlohmann::json::parse(writeTokenRowCall(write, 1).body)["writes"][0]["value"];
    const auto tokens = decodeRows(nlohmann::json({{"rows", {{{"key", "p"}, {"value", written}, {"ver", 2}}}}}).dump(), ec);
    const auto tokenRow = decodeTokenRow(tokens->rows.at(0), ec);
    ASSERT_TRUE(tokenRow);
    EXPECT_EQ(tokenRow->outageTokens, 60U);
    EXPECT_EQ(tokenRow->marks, write.row.marks);
    EXPECT_EQ(tokenRow->markedSince, 7U);
    const auto since = [&ec](const char *row) {
        return decodeTokenRow({"p", row, 2, false}, ec)->markedSince;
    };
    EXPECT_EQ(since(R"({"reserved":1,"writer":"a/1/m1"})"), 0U);
    EXPECT_EQ(since(R"({"reserved":1,"writer":"a/1/1"})"), std::nullopt);
    EXPECT_EQ(since(R"({"reserved":1,"writer":"a/1/m1","marks":{"b":3},"since":4})"), std::nullopt);
}

class WireOutageRow : public ::testing::TestWithParam<const char *>
{
};

// An owner whose row can't be read mustn't be taken for none: it may still grant.
TEST_P(WireOutageRow, IsRefusedIfAFieldIsMissingOrOfAnotherType)
{
    Error ec;
    EXPECT_FALSE(decodeBudgetOwner({"7", GetParam(), 3, false}, ec));
    EXPECT_FALSE(ec.message.empty());
    const auto row = unreadableBudgetOwner({"7", GetParam(), 3, false});
    ASSERT_TRUE(row);
    EXPECT_EQ(std::tie(row->partition, row->version, row->sharePercent), std::make_tuple(7U, 3U, 0U));
    EXPECT_FALSE(row->owner.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         WireOutageRow,
                         ::testing::Values("",
                                           "[]",
                                           R"({"owner":"a","incarnation":"1","term":1,"renewals":1})",
                                           R"({"owner":"a","incarnation":"1","term":-1,"renewals":1,"share":50})",
                                           R"({"owner":1,"incarnation":"1","term":1,"renewals":1,"share":50})"));

} // namespace Vanillahall::Platform
