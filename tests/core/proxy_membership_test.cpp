#include "vanillahall/core/proxy_membership_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(ProxyMembership, CountsProxiesWithRecentHeartbeats)
{
    ProxyMembership membership("a");
    EXPECT_EQ(membership.count(Start), 1U);
    membership.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    EXPECT_EQ(membership.count(Start), 3U);
    membership.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 8s);
    EXPECT_EQ(membership.count(Start + 12s), 2U);
    membership.update({{"a", "1", 1, 4}}, Start + 12s);
    EXPECT_EQ(membership.count(Start + 12s), 1U);
}

TEST(ProxyMembership, RotatesThroughTheOthersAndPicksFailedOnesLast)
{
    ProxyMembership membership("a");
    EXPECT_EQ(membership.pick(0, Start), nullptr);
    membership.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    EXPECT_NE(membership.pick(0, Start)->name, membership.pick(1, Start)->name);
    membership.recordFailure("b", Start);
    EXPECT_EQ(membership.pick(0, Start + 1s)->name, "c");
    EXPECT_EQ(membership.pick(1, Start + 1s)->name, "c");
    membership.recordFailure("c", Start);
    EXPECT_NE(membership.pick(0, Start + 1s), nullptr);
}

TEST(ProxyMembership, ProxiesWithoutHeartbeatsArePickedLastAndExpire)
{
    ProxyMembership membership("a");
    membership.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    membership.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 11s);
    EXPECT_EQ(membership.pick(0, Start + 11s)->name, "b");
    EXPECT_EQ(membership.pick(1, Start + 11s)->name, "b");
    EXPECT_TRUE(membership.expired(Start + MemberRowLifetime - 1s).empty());
    const auto expired = membership.expired(Start + MemberRowLifetime);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].name, "c");
    EXPECT_EQ(expired[0].version, 3U);
    // During an outage of the store the heartbeats of all proxies are missing, so that all may still be picked.
    EXPECT_NE(membership.pick(0, Start + MemberRowLifetime), nullptr);
}

// After an outage of the store, the first proxy that read the list took itself for the only one.
TEST(ProxyMembership, ProxiesAreCountedThroughAnOutageOfTheStore)
{
    ProxyMembership membership("b");
    membership.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    membership.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 4s);
    // No list can be read for 20 s, and no proxy can write a heartbeat.
    membership.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 24s);
    EXPECT_EQ(membership.count(Start + 24s), 3U);
    EXPECT_EQ(membership.rank(Start + 24s), 1U);
    membership.update({{"a", "1", 1, 6}, {"b", "1", 2, 7}, {"c", "1", 3, 3}}, Start + 28s);
    EXPECT_EQ(membership.count(Start + 28s), 3U);
    // "c" had missed one heartbeat before the outage and has missed two after it.
    membership.update({{"a", "1", 1, 8}, {"b", "1", 2, 9}, {"c", "1", 3, 3}}, Start + 32s);
    EXPECT_EQ(membership.count(Start + 32s), 2U);
}

TEST(ProxyMembership, RanksFollowTheOrderOfNames)
{
    const std::vector<ProxyMember> rows{{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}};
    for (const auto &[name, rank] : std::map<std::string, std::uint32_t>{{"a", 0}, {"b", 1}, {"c", 2}, {"d", 3}}) {
        ProxyMembership membership(name);
        membership.update(rows, Start);
        EXPECT_EQ(membership.rank(Start), rank) << name;
    }
}

} // namespace Vanillahall::Forward
