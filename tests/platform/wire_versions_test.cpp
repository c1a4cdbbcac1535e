/** Encoding of the record of versions at which streams may have begun. */
#include "vanillahall/platform/wire_versions_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Vanillahall::Platform {

using namespace std::chrono_literals;

TEST(WireVersions, TheRecordIsReadAsItWasWritten)
{
    const Forward::StreamVersionsRow row{{{{"llm", "v1"}, 1700ms}, {{"llm", "v2"}, {}, 900ms}}, 41};
    const auto call = writeStreamVersionsCall(row);
    const auto body = nlohmann::json::parse(call.body);
    EXPECT_EQ(body["expect"][0]["ver"], 41);
    nlohmann::json stored = body["writes"][0];
    stored["ver"] = 42;
    Error ec;
    const auto rows = decodeRows(nlohmann::json{{"rows", {stored}}, {"ver", 42}, {"nowMs", 1}, {"hasMore", false}}.dump(), ec);
    ASSERT_TRUE(rows);
    const auto read = decodeStreamVersions(rows->rows, ec);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 42U);
    ASSERT_EQ(read->versions.size(), 2U);
    EXPECT_EQ(read->versions[0].software, row.versions[0].software);
    EXPECT_EQ(read->versions[0].leftAt, 1700ms);
    EXPECT_EQ(read->versions[1].software, row.versions[1].software);
    EXPECT_FALSE(read->versions[1].leftAt);
    EXPECT_FALSE(read->versions[0].joinedAt);
    EXPECT_EQ(read->versions[1].joinedAt, 900ms);
}

TEST(WireVersions, WithoutARowNoVersionIsRecorded)
{
    Error ec;
    const auto read = decodeStreamVersions({}, ec);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 0U);
    EXPECT_TRUE(read->versions.empty());
}

struct InvalidRecord
{
    const char *name;
    const char *value;
};

class WireVersionsInvalid : public ::testing::TestWithParam<InvalidRecord>
{
};

// A version that is left out of the record would let streams go on at another one.
TEST_P(WireVersionsInvalid, IsNotReadInPart)
{
    Error ec;
    EXPECT_FALSE(decodeStreamVersions({{"all", GetParam().value, 42}}, ec));
    EXPECT_FALSE(ec.message.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         WireVersionsInvalid,
                         ::testing::Values(InvalidRecord{"noJson", "?"},
                                           InvalidRecord{"noObject", "[]"},
                                           InvalidRecord{"noList", R"({"versions":{}})"},
                                           InvalidRecord{"noVersion", R"({"versions":[{"service":"llm"}]})"},
                                           InvalidRecord{"noService", R"({"versions":[{"service":"","version":"v1"}]})"},
                                           InvalidRecord{"otherType", R"({"versions":[{"service":"llm","version":"v1"},7]})"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A version must not end sooner because the time of its end can't be read.
TEST(WireVersions, ATimeThatCannotBeReadIsTakenForALaterOne)
{
    Error ec;
    const auto read = decodeStreamVersions({{"all", R"({"versions":[{"service":"llm","version":"v1","left":-7}]})", 42}}, ec);
    ASSERT_TRUE(read);
    EXPECT_GT(read->versions[0].leftAt, 1h);
}

} // namespace Vanillahall::Platform
