#include "vanillahall/core/customer/programs_in_progress_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"
#include "vanillahall/core/customer/store_clock_base.h"

#include <cmath>
#include <set>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1000s};
constexpr std::uint64_t StartMs = 500000;

std::uint64_t storeMs(TimePoint now)
{
    return StartMs + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - Start).count());
}

/** One proxy and the row in the store; calls end at once. */
class OneProxy
{
public:
    explicit OneProxy(const QuotaSettings &settings = {})
        : ledger("vm", "1", settings)
    {
    }

    /** @return Answer after all calls that it needs. */
    QuotaAnswer ask(TimePoint now, bool isInProgress = true)
    {
        QuotaRequest wanted{"c", limit, isInProgress, false, 0, 10s};
        for (;;) {
            auto result = ledger.request(wanted, now, storeMs(now));
            wanted.isRepeated = true;
            if (const auto *write = std::get_if<QuotaNeedsWrite>(&result)) {
                commit(write->write, now);
            } else if (std::holds_alternative<QuotaNeedsRead>(result)) {
                reads++;
                ledger.onRowRead("c", row, now);
            } else {
                const auto *granted = std::get_if<QuotaGranted>(&result);
                if (granted != nullptr && granted->renewal) {
                    commit(*granted->renewal, now);
                }
                return result;
            }
        }
    }

    bool isGranted(TimePoint now, bool isInProgress = true)
    {
        return std::holds_alternative<QuotaGranted>(ask(now, isInProgress));
    }

    void commit(const QuotaWrite &write, TimePoint now)
    {
        writes++;
        if (write.row.version != row.version) {
            ledger.onConflict("c", row, now);
            return;
        }
        row = write.row;
        row.version++;
        ledger.onWritten("c", row.version, now);
    }

    QuotaLedger ledger;
    CustomerLimit limit{10, 10};
    QuotaRow row;
    std::size_t reads = 0;
    std::size_t writes = 0;
};

} // namespace

/** A limit and the rule. */
struct TermsCase
{
    const char *name;
    CustomerLimit limit;
    QuotaSettings settings;
};

class QuotaTermsTable : public ::testing::TestWithParam<TermsCase>
{
};

TEST_P(QuotaTermsTable, OneProxyAtFullDemandStaysWithinTheRule)
{
    const auto &[name, limit, settings] = GetParam();
    OneProxy world(settings);
    world.limit = limit;
    const double window = std::chrono::duration<double>(settings.window).count();
    const double bound = (limit.perSecond * window + limit.burst) * (1 + settings.overrun) + settings.slack;
    std::vector<TimePoint> sends;
    for (TimePoint at = Start; at < Start + 40s; at += 20ms) {
        for (int n = 0; n < 300 && world.isGranted(at); n++) {

            sends.push_back(at);
        }
    }
    std::size_t begin = 0;
    for (std::size_t n = 0; n < sends.size(); n++) {
        while (sends[n] - sends[begin] >= settings.window) {
            begin++;
        }
        ASSERT_LE(static_cast<double>(n - begin + 1), bound);
    }
    // A window without tolerance is used to nine tenths at least, if it allows whole requests.
    EXPECT_GE(static_cast<double>(sends.size()), std::floor(bound) < 1 ? 0 : std::min(limit.perSecond, 15000.0) * 40 * 0.85);
}

constexpr QuotaSettings Strict{5s, 0, 0};
INSTANTIATE_TEST_SUITE_P(All,
                         QuotaTermsTable,
                         ::testing::Values(TermsCase{"usual", {10, 10}, {}},
                                           TermsCase{"slow", {0.05, 0}, {}},
                                           TermsCase{"slow_strict", {0.05, 0}, Strict},
                                           TermsCase{"no_burst", {10, 0}, {}},
                                           TermsCase{"strict", {10, 10}, Strict},
                                           TermsCase{"fast", {1e4, 100}, {}},
                                           TermsCase{"huge", {1e12, 1e12}, {}}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(QuotaLedger, NoLimitNeedsNoRow)
{
    QuotaLedger ledger("vm", "1");
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(ledger.request({"c", {0, 5}}, Start, StartMs)));
    EXPECT_EQ(ledger.size(), 0U);
}

TEST(QuotaLedger, RequestsShareOneWithdrawal)
{
    QuotaLedger ledger("vm", "1");
    const QuotaRequest wanted{"c", {10, 10}, true};
    EXPECT_TRUE(std::holds_alternative<QuotaNeedsRead>(ledger.request(wanted, Start, StartMs)));
    EXPECT_TRUE(std::holds_alternative<QuotaBusy>(ledger.request(wanted, Start, StartMs)));
    EXPECT_TRUE(std::holds_alternative<QuotaBusy>(ledger.request(wanted, Start, StartMs)));
    ledger.onRowRead("c", QuotaRow(), Start);
    const auto result = ledger.request(wanted, Start, StartMs);
    ASSERT_TRUE(std::holds_alternative<QuotaNeedsWrite>(result));
    ledger.onWritten("c", 1, Start);
    for (int n = 0; n < 3; n++) {
        EXPECT_TRUE(std::holds_alternative<QuotaGranted>(ledger.request(wanted, Start, StartMs)));
    }
}

TEST(QuotaLedger, ReturnedPermitIsUsedAgainWhileItIsValid)
{
    OneProxy world;
    const auto permit = std::get<QuotaGranted>(world.ask(Start)).permit;
    const auto writes = world.writes;
    world.ledger.takeBack("c", permit, Start + 1s);
    EXPECT_TRUE(world.isGranted(Start + 1s));
    EXPECT_EQ(world.writes, writes);
    world.ledger.takeBack("c", permit, *permit.validUntil);
    EXPECT_TRUE(world.isGranted(*permit.validUntil));
    EXPECT_GT(world.writes, writes);
}

TEST(QuotaLedger, NewProgramsLeaveTheReserve)
{
    OneProxy world;
    world.limit = {1, 100};
    while (world.isGranted(Start, false)) { }
    EXPECT_GE(world.row.available, 29);
    int count = 0;
    while (world.isGranted(Start, true)) {
        count++;
    }
    EXPECT_GE(count, 29);
}

TEST(QuotaLedger, CustomerOverItsLimitCausesFewCalls)
{
    OneProxy world;
    for (TimePoint at = Start; at < Start + 60s; at += 5ms) {
        world.isGranted(at);
    }
    // Four withdrawals per second, a renewal in ten seconds, and one withdrawal for each permit of the full pool.
    EXPECT_LE(world.writes, 60U * 4 + 6 + 20);
    EXPECT_LE(world.reads, 1U);
}

TEST(QuotaLedger, ShareLastsWithoutTheStoreUntilItsLeaseExpires)
{
    OneProxy world;
    TimePoint at = Start;
    for (; at < Start + 30s; at += 250ms) {
        world.isGranted(at);
    }
    ASSERT_GT(world.ledger.share("c", at), 0.2);
    const auto expiryMs = world.row.shares.front().expiryMs;
    std::size_t granted = 0;
    for (; at < Start + 60s; at += 250ms) {
        const auto result = world.ledger.request({"c", world.limit, true}, at, storeMs(at));
        const auto *permit = std::get_if<QuotaGranted>(&result);
        if (permit != nullptr) {
            granted++;
            EXPECT_LT(storeMs(at) + 900, expiryMs);
        }
        if (std::holds_alternative<QuotaNeedsWrite>(result) || (permit != nullptr && permit->renewal)) {
            world.ledger.onWriteFailed("c", at);
        } else if (std::holds_alternative<QuotaNeedsRead>(result)) {
            world.ledger.onRowRead("c", std::nullopt, at);
        }
    }
    EXPECT_GE(granted, 20U);
}

TEST(QuotaLedger, UnreadableRowIsOverwrittenInItsVersionWithAnEmptyPool)
{
    OneProxy world;
    world.row.version = 7;
    world.row.isUnreadable = true;
    EXPECT_FALSE(world.isGranted(Start));
    EXPECT_TRUE(world.isGranted(Start + 1s));
    EXPECT_EQ(world.row.version, 8U);
    EXPECT_EQ(world.row.shares.front().vm, "unknown");
}

/** What ends the use of permits that were withdrawn for a high demand: a new limit, or time. */
class QuotaHand : public ::testing::TestWithParam<std::pair<CustomerLimit, Duration>>
{
};

TEST_P(QuotaHand, PermitsOfAHighDemandAreNotUsedLater)
{
    OneProxy world;
    world.limit = {100, 1000};
    TimePoint at = Start;
    std::size_t writes = 0;
    // Ends after a withdrawal.
    for (; at < Start + 3s || world.writes == writes; at += 10ms) {
        writes = world.writes;
        ASSERT_TRUE(world.isGranted(at));
    }
    world.limit = GetParam().first;
    at += GetParam().second;
    writes = world.writes;
    std::size_t withoutWrite = 0;
    while (world.isGranted(at) && world.writes == writes) {
        withoutWrite++;
    }
    // At most what a share of half of the new rate has accumulated.
    EXPECT_LE(withoutWrite, 5U);
}

INSTANTIATE_TEST_SUITE_P(
    All, QuotaHand, ::testing::Values(std::pair(CustomerLimit{1, 0}, Duration(0)), std::pair(CustomerLimit{100, 1000}, Duration(20s))));

TEST(QuotaLedger, ResetOfTheStoresClockNeitherFillsNorBlocksThePool)
{
    QuotaRow row{3, StartMs, {10, 100}, {{"a", "1", 0.5, StartMs + 20000}}, "w", 4};
    const auto terms = quotaTerms(row.limit, {});
    advancePool(row, terms, StartMs - 5000);
    EXPECT_EQ(row.available, 3);
    EXPECT_EQ(row.atMs, StartMs);
    advancePool(row, terms, 1000);
    EXPECT_EQ(row.available, 3);
    EXPECT_EQ(row.shares.front().expiryMs, 21000U);
    advancePool(row, terms, 3000);
    EXPECT_NEAR(row.available, 13, 0.01);
}

TEST(QuotaLedger, RetryDelaysAreSpreadAndTruthful)
{
    OneProxy world;
    world.limit = {2, 0};
    while (world.isGranted(Start)) { }
    std::set<Duration> delays;
    for (std::uint64_t n = 0; n < 8; n++) {
        const auto result = world.ledger.request({"c", world.limit, true, false, n * 128, 9s}, Start, StartMs);
        delays.insert(std::get<QuotaRefused>(result).retryAfter);
    }
    EXPECT_EQ(delays.size(), 8U);
    EXPECT_LE(*delays.rbegin(), 3s);
    EXPECT_TRUE(world.isGranted(Start + *delays.begin() + 1ms));
}

TEST(ProgramsInProgress, KnowsProgramsForSomeTimeInBoundedMemory)
{
    ProgramsInProgress programs;
    const ProgramHints first{"c", "p", "p"};
    EXPECT_FALSE(programs.contains(first, Start));
    EXPECT_TRUE(programs.contains({"c", "p", "s"}, Start));
    EXPECT_TRUE(programs.contains({"c", "p", "p", true}, Start));
    EXPECT_TRUE(programs.contains({"c", "p", "p", false, false}, Start));
    programs.record(first, Start);
    EXPECT_TRUE(programs.contains(first, Start + 30s));
    EXPECT_FALSE(programs.contains(first, Start + 31s));
    EXPECT_FALSE(programs.contains({"d", "p", "p"}, Start));
    for (int n = 0; n < 10000; n++) {
        programs.record({"c", std::to_string(n), ""}, Start);
    }
    EXPECT_EQ(programs.size(), MaxProgramsInProgress);
}

/** A store that replies slowly for minutes must not make the estimate late, nor a fast clock of the VM make it early. */
TEST(StoreClock, FollowsTheQuickestReplyAndIsNeverAhead)
{
    StoreClock clock;
    EXPECT_FALSE(clock.storeMs(Start));
    clock.record(StartMs + 1000, Start + 1002ms);
    for (auto passed = 2s; passed < 300s; passed++) {
        const auto trueMs = StartMs + static_cast<std::uint64_t>(passed / 1ms) - static_cast<std::uint64_t>(passed.count() / 10);
        clock.record(trueMs - 400, Start + passed);
        EXPECT_LE(clock.storeMs(Start + passed), trueMs);
        EXPECT_GE(clock.storeMs(Start + passed), trueMs - 63);
    }
    clock.record(10, Start + 301s);
    EXPECT_EQ(clock.storeMs(Start + 301s), 10U);
}

} // namespace Vanillahall::Forward
