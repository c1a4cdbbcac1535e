/** Wire format of the reports about the rate limits of customers. */
#include "vanillahall/platform/wire_quota_func.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

using Json = nlohmann::json;

/** @return Row that a call writes. */
StoreRow writtenRow(const StoreRequest &call)
{
    auto row = Json::parse(call.body)["writes"].at(0);
    row["ver"] = 1;
    Error reason;
    const auto rows = decodeRows(Json({{"rows", {row}}, {"hasMore", false}, {"ver", 1}, {"nowMs", 1}}).dump(), reason);
    return rows && !rows->rows.empty() ? rows->rows[0] : StoreRow{};
}

/** The value of a row that isn't a report. */
struct OddRow
{
    const char *name;
    const char *value;
};

class OddUsageRow : public ::testing::TestWithParam<OddRow>
{
};

} // namespace

// A proxy read other counts than those that were written.
TEST(WireQuota, AReportIsReadAsWritten)
{
    const Forward::UsageReport report{"vm/1", "i\"1", 7, {{~std::uint64_t{0}, 12, 3500}, {1, 0, 0}}};
    Error reason;
    const auto read = decodeUsage(writtenRow(writeUsageCall(report)), reason);
    ASSERT_TRUE(read) << reason.message;
    EXPECT_EQ(read->vm, report.vm);
    EXPECT_EQ(read->incarnation, report.incarnation);
    EXPECT_EQ(read->number, report.number);
    EXPECT_EQ(read->usage, report.usage);
}

// A row that is read in part counts too few requests, and a wrong type ends the process.
TEST_P(OddUsageRow, IsNoReport)
{
    Error reason;
    EXPECT_FALSE(decodeUsage({"vm", GetParam().value, 1, false}, reason));
    EXPECT_EQ(reason.peer, "vm");
    EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         OddUsageRow,
                         ::testing::Values(OddRow{"empty", ""},
                                           OddRow{"truncated", R"({"incarnation":"i","number":1,"usage":[[1,2)"},
                                           OddRow{"list", "[1,2,3]"},
                                           OddRow{"number", "5"},
                                           OddRow{"noIncarnation", R"({"number":1,"usage":[]})"},
                                           OddRow{"noNumber", R"({"incarnation":"i","usage":[]})"},
                                           OddRow{"noUsage", R"({"incarnation":"i","number":1})"},
                                           OddRow{"incarnationNumber", R"({"incarnation":5,"number":1,"usage":[]})"},
                                           OddRow{"negativeNumber", R"({"incarnation":"i","number":-1,"usage":[]})"},
                                           OddRow{"fraction", R"({"incarnation":"i","number":1.5,"usage":[]})"},
                                           OddRow{"usageObject", R"({"incarnation":"i","number":1,"usage":{"a":[1,2,3]}})"},
                                           OddRow{"shortEntry", R"({"incarnation":"i","number":1,"usage":[[1,2]]})"},
                                           OddRow{"longEntry", R"({"incarnation":"i","number":1,"usage":[[1,2,3,4]]})"},
                                           OddRow{"negativeCount", R"({"incarnation":"i","number":1,"usage":[[1,-2,3]]})"},
                                           OddRow{"textCount", R"({"incarnation":"i","number":1,"usage":[[1,"2",3]]})"},
                                           OddRow{"nested", R"({"incarnation":"i","number":1,"usage":[[1,[2],3]]})"},
                                           OddRow{"oneOdd", R"({"incarnation":"i","number":1,"usage":[[1,2,3],null]})"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A report grew beyond the store's limit for a row, or left out the customers with the most demand.
TEST(WireQuota, AReportNamesTheCustomersWithTheMostDemand)
{
    Forward::UsageReport report{"vm", "i", 1, {}};
    for (std::uint64_t n = 0; n < MaxReportedCustomers + 700; n++) {
        report.usage.push_back({~n, ~std::uint64_t{0}, n});
    }
    const auto row = writtenRow(writeUsageCall(report));
    EXPECT_LT(row.value.size(), 64U * 1024U);
    Error reason;
    const auto read = decodeUsage(row, reason);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->usage.size(), MaxReportedCustomers);
    for (const auto &it : read->usage) {
        EXPECT_GE(it.demandPerKs, 700U);
    }
}

TEST(WireQuota, CallsNameTheirRows)
{
    EXPECT_EQ(readUsageCall("").target.find("from="), std::string::npos);
    EXPECT_NE(readUsageCall("vm 1").target.find("&from=vm%201%00"), std::string::npos);
    const auto body = Json::parse(removeUsageCall({"a", "b"}).body);
    EXPECT_TRUE(body["writes"].empty());
    ASSERT_EQ(body["remove"].size(), 2U);
    EXPECT_EQ(body["remove"][1], Json({{"table", "customer_usage"}, {"part", "u"}, {"key", "b"}}));
}

} // namespace Vanillahall::Platform
