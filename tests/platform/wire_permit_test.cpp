/** Wire format of asks for permits between proxies. */
#include "vanillahall/platform/wire_permit_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

/** Body that isn't an ask. */
struct OddAsk
{
    const char *name;
    const char *body;
};

class OddPermitAsk : public ::testing::TestWithParam<OddAsk>
{
};

} // namespace

// The grantor counted other requests than the proxy had sent.
TEST(WirePermit, AnAskIsReadAsWritten)
{
    const Forward::PermitAsk ask{{"vm/1", "i\"1", 7, {{~std::uint64_t{0}, 12, 3500}}}, 4, 2, 3, true};
    Error reason;
    const auto read = decodePermitAsk(permitCall(ask).body, reason);
    ASSERT_TRUE(read) << reason.message;
    EXPECT_EQ(read->report.vm, ask.report.vm);
    EXPECT_EQ(read->report.incarnation, ask.report.incarnation);
    EXPECT_EQ(read->report.number, ask.report.number);
    EXPECT_EQ(read->report.usage, ask.report.usage);
    EXPECT_EQ(read->number, ask.number);
    EXPECT_EQ(read->held, ask.held);
    EXPECT_EQ(read->wanted, ask.wanted);
    EXPECT_TRUE(read->isInProgress);
}

// A refusal was taken as a grant.
TEST(WirePermit, AnswersAreReadAsWritten)
{
    Error reason;
    const auto granted = decodePermitAnswer(encodePermitAnswer(Forward::PermitsGranted{3}), reason);
    ASSERT_TRUE(granted && std::holds_alternative<Forward::PermitsGranted>(*granted));
    EXPECT_EQ(std::get<Forward::PermitsGranted>(*granted).count, 3U);
    const auto spent = decodePermitAnswer(encodePermitAnswer(Forward::PermitsSpent{std::chrono::milliseconds(250)}), reason);
    ASSERT_TRUE(spent && std::holds_alternative<Forward::PermitsSpent>(*spent));
    EXPECT_EQ(std::get<Forward::PermitsSpent>(*spent).retryAfter, std::chrono::milliseconds(250));
    const auto none = decodePermitAnswer(encodePermitAnswer(Forward::NotGrantor{}), reason);
    EXPECT_TRUE(none && std::holds_alternative<Forward::NotGrantor>(*none));
    EXPECT_FALSE(decodePermitAnswer("[3]", reason));
}

// An ask of another software version was counted with missing numbers as zero.
TEST_P(OddPermitAsk, IsRefusedWithAReason)
{
    Error reason;
    EXPECT_FALSE(decodePermitAsk(GetParam().body, reason));
    EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OddPermitAsk,
    ::testing::Values(
        OddAsk{"noJson", "{"},
        OddAsk{"list", "[]"},
        OddAsk{"noVm", R"({"incarnation":"i"})"},
        OddAsk{"noSent", R"({"vm":"a","incarnation":"i","reports":1,"number":1,"held":0,"wanted":1,"customer":5,"demand":0})"},
        OddAsk{"negative", R"({"vm":"a","incarnation":"i","reports":1,"number":1,"held":-1,"wanted":1,"customer":5,"sent":0,"demand":0})"}),
    [](const auto &it) {
        return std::string(it.param.name);
    });

} // namespace Vanillahall::Platform
