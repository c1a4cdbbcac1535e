#include "vanillahall/core/proxy_membership_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(ProxyMembership, CountsProxiesThatShowSignsOfLife)
{
    ProxyMembership book("a");
    EXPECT_EQ(book.count(Start), 1U);
    book.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    EXPECT_EQ(book.count(Start), 3U);
    book.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 8s);
    EXPECT_EQ(book.count(Start + 12s), 2U);
    book.update({{"a", "1", 1, 4}}, Start + 12s);
    EXPECT_EQ(book.count(Start + 12s), 1U);
}

TEST(ProxyMembership, PicksTheOthersInTurnAndThoseThatFailedLast)
{
    ProxyMembership book("a");
    EXPECT_EQ(book.pick(0, Start), nullptr);
    book.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    EXPECT_NE(book.pick(0, Start)->name, book.pick(1, Start)->name);
    book.failed("b", Start);
    EXPECT_EQ(book.pick(0, Start + 1s)->name, "c");
    EXPECT_EQ(book.pick(1, Start + 1s)->name, "c");
    book.failed("c", Start);
    EXPECT_NE(book.pick(0, Start + 1s), nullptr);
}

TEST(ProxyMembership, SilentProxiesAreCalledLastAndForgottenAtLength)
{
    ProxyMembership book("a");
    book.update({{"a", "1", 1, 1}, {"b", "1", 2, 2}, {"c", "1", 3, 3}}, Start);
    book.update({{"a", "1", 1, 4}, {"b", "1", 2, 5}, {"c", "1", 3, 3}}, Start + 11s);
    EXPECT_EQ(book.pick(0, Start + 11s)->name, "b");
    EXPECT_EQ(book.pick(1, Start + 11s)->name, "b");
    EXPECT_TRUE(book.gone(Start + MemberLife - 1s).empty());
    const auto gone = book.gone(Start + MemberLife);
    ASSERT_EQ(gone.size(), 1U);
    EXPECT_EQ(gone[0].name, "c");
    EXPECT_EQ(gone[0].version, 3U);
    // In an outage of the store all are silent, and may still be called.
    EXPECT_NE(book.pick(0, Start + MemberLife), nullptr);
}

} // namespace Vanillahall::Forward
