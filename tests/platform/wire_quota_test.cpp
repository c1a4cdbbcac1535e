/** Rows of customers' rate limits: a row that lacks anything must not be used as if it granted more. */
#include "vanillahall/platform/wire_quota_func.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

using Json = nlohmann::json;

Forward::QuotaWrite makeWrite()
{
    return {"a b/c", {2.5, 77, {10, 3}, {{"vm", "9", 0.25, 20077}}, "vm/9/1", 4}};
}

std::optional<Forward::QuotaRow> decode(const std::string &value)
{
    Error reason;
    return decodeQuotaRow({"a b/c", value, 5}, reason);
}

/** @return Value of the row that the call writes. */
Json writtenValue()
{
    Json body = Json::parse(writeQuotaRowCall(makeWrite()).body);
    auto row = body["writes"][0];
    row["ver"] = 5;
    Error reason;
    return Json::parse(decodeRows(Json({{"rows", {row}}}).dump(), reason)->rows.front().value);
}

} // namespace

TEST(WireQuota, RowIsReadAsItWasWritten)
{
    const auto row = decode(writtenValue().dump());
    ASSERT_TRUE(row);
    EXPECT_EQ(row->available, 2.5);
    EXPECT_EQ(row->atMs, 77U);
    EXPECT_EQ(row->limit, makeWrite().row.limit);
    EXPECT_EQ(row->shares, makeWrite().row.shares);
    EXPECT_EQ(row->writer, "vm/9/1");
    EXPECT_EQ(row->version, 5U);
}

TEST(WireQuota, CallsAreConditionalAndMayBeRelayed)
{
    const Json body = Json::parse(writeQuotaRowCall(makeWrite()).body);
    EXPECT_EQ(body["expect"][0]["ver"], 4);
    EXPECT_EQ(body["expect"][0]["part"], body["writes"][0]["part"]);
    EXPECT_TRUE(isRelayableCall(writeQuotaRowCall(makeWrite())));
    EXPECT_TRUE(isRelayableCall(readQuotaRowCall("a b/c")));
    EXPECT_NE(readQuotaRowCall("a b/c").target.find("part=" + body["writes"][0]["part"].get<std::string>()), std::string::npos);
}

class FaultyQuotaRow : public ::testing::TestWithParam<std::pair<const char *, Json>>
{
};

TEST_P(FaultyQuotaRow, IsUnreadable)
{
    auto value = writtenValue();
    value[GetParam().first] = GetParam().second;
    EXPECT_FALSE(decode(value.dump()));
    value.erase(GetParam().first);
    EXPECT_FALSE(decode(value.dump()));
    EXPECT_FALSE(decode("no JSON"));
}

INSTANTIATE_TEST_SUITE_P(All,
                         FaultyQuotaRow,
                         ::testing::Values(std::pair("available", Json(-1)),
                                           std::pair("at", Json(-1)),
                                           std::pair("rate", Json("x")),
                                           std::pair("burst", Json()),
                                           std::pair("writer", Json(1)),
                                           std::pair("shares", Json::parse(R"([{"vm":"v","incarnation":"1","share":0.1}])"))));

} // namespace Vanillahall::Platform
