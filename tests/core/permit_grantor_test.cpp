/** Grantors of customers' permits: how a grantor counts, and when it grants. */
#include "vanillahall/core/customer/permit_grantor_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

/** Grantor "g" of customer "c" with 5 requests per second and a burst of 5. */
struct GrantorWorld
{
    GrantorWorld()
        : grantor("g")
    {
        grantor.apply({{"c", {}, 0, {5, 5}}}, now);
        grantor.onMembers({"g"}, now, now);
        now += GrantorStartDelay;
    }
    PermitAsk
    ask(std::uint64_t number, std::uint64_t sent, std::uint64_t held, std::uint64_t wanted, const std::string &incarnation = "i") const
    {
        return {{"p", incarnation, 1, {{customerHash("c"), sent, 0}}}, number, held, wanted, true};
    }
    /** @return Permits granted; nothing if there are none. */
    std::uint64_t granted(const PermitAsk &wanted)
    {
        const auto answer = grantor.grant(wanted, now);
        const auto *found = std::get_if<PermitsGranted>(&answer);
        return found != nullptr ? found->count : 0;
    }
    /** @return Permits that single asks get until the bucket is empty. */
    std::uint64_t drain(std::uint64_t number, std::uint64_t sent)
    {
        std::uint64_t n = 0;
        while (granted(ask(number + n, sent + n, 0, 1)) == 1) {
            n++;
        }
        return n;
    }

    TimePoint now{1000s};
    PermitGrantor grantor;
};

constexpr std::uint64_t Capacity = 13; ///< Half of 5 + 3 + 20 - 5 * 0.25.

} // namespace

// The bucket was larger than what two grantors may grant at once, or an ask was counted twice.
TEST(PermitGrantor, GrantsItsCapacityOnce)
{
    GrantorWorld it;
    EXPECT_EQ(it.drain(1, 0), Capacity);
    EXPECT_EQ(it.granted(it.ask(Capacity + 1, Capacity, 0, 1)), 0U);
    it.now += 1s;
    EXPECT_EQ(it.drain(100, Capacity), 5U);
}

// A late ask lowered the count of a proxy, so that its permits were granted again.
TEST(PermitGrantor, AnOlderAskIsRefused)
{
    GrantorWorld it;
    EXPECT_EQ(it.granted(it.ask(2, 3, 0, 1)), 1U);
    EXPECT_EQ(it.granted(it.ask(1, 0, 0, 1)), 0U);
    EXPECT_EQ(it.granted(it.ask(2, 4, 0, 1)), 0U);
    EXPECT_EQ(it.drain(3, 4), Capacity - 4);
}

// Permits whose reply was lost stayed counted, or requests that were sent by the reports weren't counted.
TEST(PermitGrantor, ANewerAskCorrectsTheCount)
{
    GrantorWorld it;
    EXPECT_EQ(it.granted(it.ask(1, 0, 0, 3)), 3U);
    EXPECT_EQ(it.drain(2, 0), Capacity);
    it.now += 60s;
    it.grantor.onMembers({"g"}, it.now - 1s, it.now);
    EXPECT_EQ(it.granted(it.ask(50, Capacity + 30, 0, 1)), 0U);
}

// A report counted again what the proxy had named in an ask.
TEST(PermitGrantor, ReportsAndAsksAreMergedByMaximum)
{
    GrantorWorld it;
    EXPECT_EQ(it.granted(it.ask(1, 4, 0, 1)), 1U);
    it.grantor.onReports({{"p", "i", 2, {{customerHash("c"), 5, 0}}}}, it.now);
    it.grantor.onReports({{"p", "i", 2, {{customerHash("c"), 5, 0}}}, {"p", "i2", 1, {{customerHash("c"), 2, 0}}}}, it.now);
    EXPECT_EQ(it.drain(2, 5), Capacity - 5 - 2);
}

/** When a grantor doesn't grant. */
struct InactiveCase
{
    const char *name;
    std::vector<std::string> members; ///< Proxies alive at the last read; empty for no read.
    Duration later;                   ///< Time from there to the ask.
    bool grants;                      ///< True if permits are granted.
};

class PermitGrantorRole : public ::testing::TestWithParam<InactiveCase>
{
};

// Two proxies granted the same permits for long.
TEST_P(PermitGrantorRole, GrantsOnlyWhileItIsTheFirstChoice)
{
    GrantorWorld it;
    const auto &param = GetParam();
    if (!param.members.empty()) {
        it.grantor.onMembers(param.members, it.now, it.now);
    }
    it.now += param.later;
    EXPECT_EQ(it.granted(it.ask(1, 0, 0, 1)) == 1, param.grants);
}

INSTANTIATE_TEST_SUITE_P(All,
                         PermitGrantorRole,
                         ::testing::Values(InactiveCase{"current", {"g"}, 1s, true},
                                           InactiveCase{"outdatedList", {}, MemberListLifetime, false},
                                           InactiveCase{"outdatedListRead", {"g"}, MemberListLifetime + 1s, false},
                                           InactiveCase{"anotherChoice", {"other"}, 1s, false}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Vanillahall::Forward
