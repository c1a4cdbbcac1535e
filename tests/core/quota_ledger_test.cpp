/** Rate limits of customers: answers to single requests, and how reports of other proxies count. */
#include "vanillahall/core/customer/quota_ledger_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 10;
constexpr double Burst = 40;
/** Capacity of the bucket: the burst and a quarter of the tolerated excess of (10 * 5 + 40) * 0.1 + 20; half of it is there at first. */
constexpr double Capacity = Burst + 0.25 * 29;

/** A ledger with one customer, and the reports that it reads. */
struct LedgerWorld
{
    LedgerWorld()
    {
        apply(Rate);
    }
    void apply(double rate)
    {
        ledger.apply({{"c", {}, 0, {rate, Burst}}}, now);
    }
    /** Reads the reports and counts its own as written. */
    void exchange()
    {
        ledger.onReportWritten(now);
        ledger.onReports(reports, now, now);
    }
    /** @param sent Requests sent since the start of the process. @param demand Per second. */
    void setRemote(std::uint64_t number, std::uint64_t sent, std::uint64_t demand = 0, const std::string &incarnation = "i1")
    {
        reports = {{"other", incarnation, number, {{customerHash("c"), sent, demand * 1000}}}};
    }
    QuotaAnswer ask(bool isInProgress = true, const std::string &customer = "c")
    {
        return ledger.request({customer, isInProgress, false, 0, 30s}, now);
    }
    /** @return Permits in the bucket, from the delay that a refused request is told; 0 or less. */
    double missing()
    {
        const auto answer = ask();
        const auto *refused = std::get_if<QuotaRefused>(&answer);
        return refused != nullptr ? std::chrono::duration<double>(refused->retryAfter).count() * Rate : 0;
    }
    /** @return Number of requests in a row that are granted. */
    int grants(bool isInProgress = true)
    {
        int n = 0;
        while (n < 1000 && std::holds_alternative<QuotaGranted>(ask(isInProgress))) {
            n++;
        }
        return n;
    }

    TimePoint now{1000s};
    QuotaLedger ledger{"own", "i1"};
    std::vector<UsageReport> reports;
};

/** Reports of another proxy in their order, and how many requests they count for. */
struct ReportCase
{
    const char *name;
    std::vector<UsageReport> reports; ///< The first is read at the start of the process.
    double counted;                   ///< Requests that they take from the bucket.
};

UsageReport
remote(std::uint64_t number, std::uint64_t sent, const char *incarnation = "i1", const char *customer = "c", std::uint64_t demand = 0)
{
    return {"other", incarnation, number, {{customerHash(customer), sent, demand * 1000}}};
}

class QuotaReports : public ::testing::TestWithParam<ReportCase>
{
};

} // namespace

// Requests of another proxy counted twice refuse a customer within its limit; those that don't count break the rule.
TEST_P(QuotaReports, CountEachRequestOnce)
{
    LedgerWorld it;
    for (const auto &report : GetParam().reports) {
        it.reports = {report};
        it.exchange();
    }
    EXPECT_NEAR(it.missing(), std::max(0.0, 1 - (Capacity / 2 - GetParam().counted)), 0.01);
}

INSTANTIATE_TEST_SUITE_P(All,
                         QuotaReports,
                         ::testing::Values(ReportCase{"grows", {remote(1, 0), remote(2, 100)}, 100},
                                           ReportCase{"baseline", {remote(9, 5000, "i1", "c", 20), remote(10, 5100)}, 100},
                                           ReportCase{"repeated", {remote(1, 0), remote(2, 100), remote(2, 100)}, 100},
                                           ReportCase{"late", {remote(1, 0), remote(3, 100), remote(2, 50), remote(4, 130)}, 130},
                                           ReportCase{"newIncarnation", {remote(9, 5000), remote(1, 100, "i2")}, 100},
                                           ReportCase{
                                               "quietAtBaseline", {remote(900, 1, "i1", "d"), remote(901, 5000), remote(902, 5100)}, 100},
                                           ReportCase{"otherCustomer", {remote(1, 0), remote(2, 100, "i1", "d"), remote(3, 60)}, 60}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(QuotaLedger, CustomersWithoutALimitNeedNoPermits)
{
    LedgerWorld it;
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(it.ask(false, "unlimited")));
    it.apply(0);
    EXPECT_EQ(it.ledger.size(), 0U);
    EXPECT_EQ(it.grants(), 1000);
    EXPECT_TRUE(it.ledger.report(it.now).usage.empty());
}

// New programs used the permits that programs in progress need.
TEST(QuotaLedger, NewProgramsAreRefusedBelowTheReserve)
{
    LedgerWorld it;
    it.exchange();
    const int fresh = it.grants(false);
    EXPECT_EQ(fresh, static_cast<int>(Capacity / 2 - 0.3 * Burst));
    EXPECT_TRUE(std::holds_alternative<QuotaRefused>(it.ask(false)));
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(it.ask(true)));
}

// A customer within its limit was answered 429 because this proxy's part was used up.
TEST(QuotaLedger, AUsedUpPartIsNoRefusal)
{
    LedgerWorld it;
    it.setRemote(1, 0, 1000);
    it.exchange();
    EXPECT_LT(it.grants(), Capacity / 4);
    EXPECT_TRUE(std::holds_alternative<QuotaBusy>(it.ask()));
    it.now += 1s;
    it.setRemote(2, 0, 0);
    it.exchange();
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(it.ask()));
}

// A proxy that didn't reach the store refused everything, or used the whole rate.
TEST(QuotaLedger, OutOfTouchItUsesItsPartOfTheRate)
{
    LedgerWorld it;
    it.setRemote(1, 0, 10);
    it.exchange();
    it.setRemote(2, 500, 10);
    it.exchange();
    EXPECT_TRUE(std::holds_alternative<QuotaRefused>(it.ask()));
    it.now += OutOfTouchTime + 1ms;
    EXPECT_FALSE(it.ledger.isInTouch(it.now));
    int granted = 0;
    for (int step = 0; step < 100; step++, it.now += 100ms) {
        const auto answer = it.ask();
        EXPECT_FALSE(std::holds_alternative<QuotaRefused>(answer));
        granted += std::holds_alternative<QuotaGranted>(answer) ? 1 : 0;
    }
    EXPECT_GT(granted, 5);
    EXPECT_LT(granted, 80);
}

TEST(QuotaLedger, ATakenBackPermitIsUsedAgain)
{
    LedgerWorld it;
    it.setRemote(1, 0, 5);
    it.exchange();
    const int granted = it.grants();
    ASSERT_GT(granted, 0);
    it.ledger.takeBack("c");
    it.ledger.takeBack("unknown");
    EXPECT_EQ(it.grants(), 1);
}

// The row of a proxy that had ended stayed for good, since it was read again and again.
TEST(QuotaLedger, AReportThatDoesntChangeExpires)
{
    LedgerWorld it;
    it.setRemote(5, 100);
    it.exchange();
    it.now += ReportLifetime + 1s;
    EXPECT_EQ(it.ledger.expired(it.now), std::vector<std::string>{"other"});
    it.exchange();
    EXPECT_EQ(it.ledger.expired(it.now), std::vector<std::string>{"other"});
    it.setRemote(6, 100);
    it.exchange();
    EXPECT_TRUE(it.ledger.expired(it.now).empty());
}

// Proxies whose next report wasn't due yet took themselves for out of touch.
TEST(QuotaLedger, StaysInTouchBetweenTwoReportsOfManyProxies)
{
    LedgerWorld it;
    for (int n = 1; n < 420; n++) {
        it.reports.push_back({"vm" + std::to_string(n), "i", 1, {}});
    }
    it.exchange();
    EXPECT_TRUE(it.ledger.isInTouch(it.now + it.ledger.reportInterval()));
}

// Readers ignore counts that fall, so requests after a limit was removed for a while weren't counted.
TEST(QuotaLedger, CountsDontFallWhileALimitIsRemoved)
{
    LedgerWorld it;
    it.exchange();
    const int granted = it.grants();
    it.apply(0);
    it.apply(Rate);
    it.exchange();
    ASSERT_TRUE(std::holds_alternative<QuotaGranted>(it.ask()));
    const auto report = it.ledger.report(it.now);
    ASSERT_EQ(report.usage.size(), 1U);
    EXPECT_EQ(report.usage[0].sent, static_cast<std::uint64_t>(granted) + 1);
}

// The row of a proxy that had been removed and came back counted for all requests since its start.
TEST(QuotaLedger, AReportThatComesBackDoesntCountAnew)
{
    LedgerWorld it;
    it.setRemote(1, 5000);
    it.exchange();
    it.reports.clear();
    it.exchange();
    it.setRemote(2000, 9000);
    it.exchange();
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(it.ask()));
}

} // namespace Vanillahall::Forward
