#include "vanillahall/core/budget_ledger_base.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr ProgramId Root{ShardId{1}, 1};
constexpr Budget Limit{1000, 20, std::chrono::milliseconds(1000)};

CallKey keyOf(std::uint64_t agent, std::uint32_t turn)
{
    return CallKey{ProgramId{ShardId{1}, agent}, Turn{turn}};
}

RC_GTEST_PROP(BudgetLedgerProperty, IsNeverExceededAndIsExactAfterSettling, ())
{
    BudgetLedger ledger;
    ledger.open(Root, Limit, WallTime());
    std::map<CallKey, std::uint64_t> open;
    std::uint64_t settledTokens = 0;
    std::uint32_t settledCalls = 0;
    const auto steps = *rc::gen::inRange(1, 80);
    for (int n = 0; n < steps; n++) {
        const CallKey key = keyOf(*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint32_t>(1, 30));
        const WallTime now(std::chrono::milliseconds(*rc::gen::inRange(0, 1100)));
        if (!open.contains(key)) {
            const auto tokens = *rc::gen::inRange<std::uint64_t>(0, 300);
            Error reason;
            const auto timeLeft = ledger.reserve(Root, key, tokens, now, reason);
            if (timeLeft) {
                RC_ASSERT(now + *timeLeft == WallTime() + Limit.time);
                open[key] = tokens;
            } else {
                RC_ASSERT(reason.code == ErrorCode::BudgetExceeded && reason.run == RunState::NotRun);
            }
        } else if (*rc::gen::arbitrary<bool>()) {
            const auto used = *rc::gen::inRange<std::uint64_t>(0, open[key] + 1);
            ledger.settle(Root, key, used);
            settledTokens += used;
            settledCalls++;
            open.erase(key);
        } else {
            ledger.release(Root, key);
            open.erase(key);
        }
        std::uint64_t reserved = 0;
        for (const auto &[it, tokens] : open) {
            reserved += tokens;
        }
        const Budget spent = ledger.spent(Root, now);
        RC_ASSERT(spent.tokens == settledTokens + reserved);
        RC_ASSERT(spent.calls == settledCalls + open.size());
        RC_ASSERT(spent.tokens <= Limit.tokens);
        RC_ASSERT(spent.calls <= Limit.calls);
    }
}

/** A reservation at a limit of the budget. */
struct LimitCase
{
    const char *name;     ///< Name of the case.
    std::uint64_t tokens; ///< Tokens to reserve.
    int earlierCalls;     ///< Calls settled before, each with 0 tokens.
    int afterMs;          ///< Milliseconds since the program was created.
    bool fits;            ///< True if the reservation is expected to succeed.
};

class BudgetLimitTest : public ::testing::TestWithParam<LimitCase>
{
};

TEST_P(BudgetLimitTest, IsEnforcedExactly)
{
    const LimitCase &it = GetParam();
    BudgetLedger ledger;
    ledger.open(Root, Limit, WallTime());
    for (int n = 0; n < it.earlierCalls; n++) {
        ledger.settle(Root, keyOf(1, static_cast<std::uint32_t>(n)), 0);
    }
    Error reason;
    const auto timeLeft = ledger.reserve(Root, keyOf(2, 1), it.tokens, WallTime(std::chrono::milliseconds(it.afterMs)), reason);
    EXPECT_EQ(timeLeft.has_value(), it.fits);
}

INSTANTIATE_TEST_SUITE_P(Limits,
                         BudgetLimitTest,
                         ::testing::Values(LimitCase{"AllTokens", 1000, 0, 0, true},
                                           LimitCase{"OneTokenMore", 1001, 0, 0, false},
                                           LimitCase{"HugeRequest", UINT64_MAX, 0, 0, false},
                                           LimitCase{"LastCall", 1, 19, 0, true},
                                           LimitCase{"OneCallMore", 1, 20, 0, false},
                                           LimitCase{"LastMillisecond", 1, 0, 999, true},
                                           LimitCase{"TimeOver", 1, 0, 1000, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace

} // namespace Vanillahall
