#include "vanillahall/core/store_budget_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

/** Size of a deployment and the expected share of one entry. */
struct BudgetCase
{
    std::uint32_t entries;    ///< Number of entries.
    std::uint32_t shards;     ///< Shards held by this entry.
    Duration window{};        ///< Expected commit window.
    Duration renewInterval{}; ///< Expected renewal interval.
    bool fits;                ///< True if the leases are expected to fit.
};

class StoreBudgetShare : public ::testing::TestWithParam<BudgetCase>
{
};

TEST_P(StoreBudgetShare, GivesExpectedIntervals)
{
    StoreBudget budget{StoreBudgetSettings(), ShardLogSettings()};
    budget.setEntries(GetParam().entries);
    budget.setShards(GetParam().shards);
    EXPECT_EQ(budget.commitWindow(), GetParam().window);
    EXPECT_EQ(budget.renewInterval(), GetParam().renewInterval);
    EXPECT_EQ(budget.leasesFit(), GetParam().fits);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         StoreBudgetShare,
                         ::testing::Values(BudgetCase{0, 0, 10ms, 1s, true},
                                           BudgetCase{3, 1, 10ms, 1s, true},
                                           BudgetCase{30, 1, 100ms, 1s, true},
                                           BudgetCase{30, 5, 500ms, 1s, true},
                                           BudgetCase{420, 1, 1400ms, 1400ms, true},
                                           BudgetCase{420, 2, 1400ms, 1400ms, false}));

RC_GTEST_PROP(StoreBudgetProperty, WritesOfAllEntriesStayWithinTheBudget, ())
{
    const auto entries = *rc::gen::inRange(1U, 500U);
    const auto shards = *rc::gen::inRange(1U, 10U);
    const StoreBudgetSettings settings;
    const ShardLogSettings log;
    StoreBudget budget(settings, log);
    budget.setEntries(entries);
    budget.setShards(shards);
    const double perShard = 1.0 / std::chrono::duration<double>(budget.commitWindow()).count();
    RC_ASSERT(!budget.leasesFit() || entries * shards * perShard <= settings.writesPerSecond * 1.0001);
    RC_ASSERT(budget.renewInterval() + 2 * log.storeTimeLimit <= log.leaseTime);
    RC_ASSERT(budget.commitWindow() <= budget.renewInterval());
}

RC_GTEST_PROP(StoreBudgetProperty, ReadsOfOneEntryMatchItsShare, ())
{
    const auto entries = *rc::gen::inRange(1U, 500U);
    const auto pause = *rc::gen::inRange(1, 50);
    const StoreBudgetSettings settings;
    StoreBudget budget(settings, ShardLogSettings());
    budget.setEntries(entries);
    std::uint32_t reads = 0;
    constexpr int Seconds = 10;
    for (Duration time = 0s; time < Seconds * 1s; time += pause * 1ms) {
        while (budget.tryConsumeRead(Now{TimePoint(time), WallTime()})) {
            reads++;
        }
    }
    const double share = static_cast<double>(settings.readsPerSecond) / entries;
    RC_ASSERT(reads <= share * (Seconds + 1) + 1);
    RC_ASSERT(reads >= share * (Seconds - 1));
}

} // namespace

} // namespace Vanillahall
