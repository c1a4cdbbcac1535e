#include "vanillahall/core/burn_rate_tracker_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr double AgreedShare = 0.1;
constexpr std::chrono::milliseconds Target{1000};
constexpr WallTime Noon{std::chrono::hours(12 + 24 * 1000)};

ProgramCost cost(const char *customer, std::chrono::milliseconds latency, WallTime ended)
{
    ProgramCost cost;
    cost.customer = CustomerName{customer};
    cost.className = ClassName{"urgent"};
    cost.target = Target;
    cost.latency = latency;
    cost.ended = ended;
    return cost;
}

} // namespace

TEST(BurnRateTrackerTest, RatesAndBudgetAreComputedPerWindow)
{
    BurnRateTracker tracker(AgreedShare);
    for (int n = 0; n < 90; n++) {
        tracker.add(cost("a", Target, Noon - std::chrono::hours(2)));
    }
    for (int n = 0; n < 10; n++) {
        tracker.add(cost("a", n < 5 ? 2 * Target : Target / 2, Noon - std::chrono::minutes(10)));
    }
    const BurnReport report = tracker.report(Noon);
    ASSERT_EQ(report.lines.size(), 1U);
    const auto &windows = report.lines[0].windows;
    EXPECT_EQ(windows[0].ended, 0U);
    EXPECT_EQ(windows[1].ended, 10U);
    EXPECT_EQ(windows[1].missed, 5U);
    EXPECT_DOUBLE_EQ(windows[1].burnRate, 5.0);
    EXPECT_EQ(windows[2].ended, 100U);
    EXPECT_DOUBLE_EQ(windows[2].burnRate, 0.5);
    EXPECT_DOUBLE_EQ(report.lines[0].budgetLeft, 5.0);
    ASSERT_TRUE(report.lines[0].exhaustedIn.has_value());
    EXPECT_EQ(std::chrono::round<std::chrono::seconds>(*report.lines[0].exhaustedIn), std::chrono::seconds(4500));
    EXPECT_EQ(report.costliest.size(), 5U);
}

TEST(BurnRateTrackerTest, OldProgramsAreRemovedFromTheReport)
{
    BurnRateTracker tracker(AgreedShare);
    tracker.add(cost("a", 3 * Target, Noon - std::chrono::hours(100)));
    tracker.add(cost("a", 2 * Target, Noon));
    const BurnReport report = tracker.report(Noon);
    EXPECT_EQ(report.lines[0].windows.back().ended, 1U);
    EXPECT_EQ(report.costliest.size(), 1U);
}

TEST(BurnRateTrackerTest, NumberOfCustomersIsBounded)
{
    BurnRateTracker tracker(AgreedShare);
    constexpr int Customers = 5000;
    for (int n = 0; n < Customers; n++) {
        tracker.add(cost(std::to_string(n).c_str(), Target, Noon));
    }
    const BurnReport report = tracker.report(Noon);
    EXPECT_LE(report.lines.size(), 4097U);
    std::uint64_t ended = 0;
    for (const auto &it : report.lines) {
        ended += it.windows.back().ended;
    }
    EXPECT_EQ(ended, static_cast<std::uint64_t>(Customers));
}

RC_GTEST_PROP(BurnRateTrackerProperty, OrderOfReportsDoesNotMatter, (std::vector<std::uint16_t> minutes))
{
    BurnRateTracker unsorted(AgreedShare);
    BurnRateTracker sorted(AgreedShare);
    for (const auto it : minutes) {
        unsorted.add(cost("a", it % 2 == 0 ? Target : 2 * Target, Noon - std::chrono::minutes(it % 60)));
    }
    std::sort(minutes.begin(), minutes.end(), [](auto a, auto b) {
        return a % 60 > b % 60;
    });
    for (const auto it : minutes) {
        sorted.add(cost("a", it % 2 == 0 ? Target : 2 * Target, Noon - std::chrono::minutes(it % 60)));
    }
    const auto a = unsorted.report(Noon);
    const auto b = sorted.report(Noon);
    RC_ASSERT(a.lines.size() == b.lines.size());
    for (std::size_t n = 0; n < a.lines.size(); n++) {
        for (std::size_t w = 0; w < a.lines[n].windows.size(); w++) {
            RC_ASSERT(a.lines[n].windows[w].ended == b.lines[n].windows[w].ended);
            RC_ASSERT(a.lines[n].windows[w].missed == b.lines[n].windows[w].missed);
        }
    }
}

} // namespace Vanillahall
