/** Rate limits of customers: what clients are answered, and which calls of the store are made. */
#include "proxy_world.h"

#include "vanillahall/core/customer/permit_grantor_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"
#include "vanillahall/core/proxy_membership_base.h"
#include "vanillahall/platform/wire_quota_func.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using Json = nlohmann::json;

/** A proxy whose configuration names the customers "a", with a rate limit, and "b". */
struct QuotaWorld
{
    /** @param rate Limits of "a" and "b" in requests per second; 0 for none. */
    QuotaWorld(double rateOfA, double rateOfB)
        : world([](const std::string &) {
            return Script{goodAnswer("ok")};
        })
    {
        auto config = Json::parse(world.rows.config);
        config["version"] = config["version"].get<int>() + 1;
        config["tenants"] = {{{"name", "a"}, {"apiKeys", {"secret-a"}}, {"ratePerS", rateOfA}, {"burst", 4}},
                             {{"name", "b"}, {"apiKeys", {"secret-b"}}, {"ratePerS", rateOfB}, {"burst", 4}}};
        world.rows.config = config.dump();
    }
    std::string ask(const std::string &customer)
    {
        const auto headers = "Credential: secret-" + customer + "\r\n";
        return world.ask(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(++m_asked), headers, "body"));
    }
    /** Waits for further calls about the reports. */
    bool awaitCalls(std::size_t n)
    {
        const auto before = world.rows.usageCalls;
        return world.run([&] {
            return world.rows.usageCalls >= before + n;
        });
    }
    /** Writes the report of another proxy. */
    void setRemote(std::uint64_t number, std::uint64_t sent, std::uint64_t demand)
    {
        const auto call = Platform::writeUsageCall({"other", "i", number, {{customerHash("a"), sent, demand * 1000}}});
        world.rows.usage["other"] = Json::parse(call.body)["writes"][0]["value"];
    }

    ProxyWorld world;

private:
    int m_asked = 0;
};

} // namespace

// A customer over its limit went on, or took others along.
TEST(ProxyQuota, ACustomerFarOverItsLimitIsRefusedAlone)
{
    QuotaWorld it(1, 1000);
    ASSERT_TRUE(it.world.start());
    ASSERT_TRUE(it.awaitCalls(4));
    std::map<unsigned, int> statuses;
    for (int n = 0; n < 60; n++) {
        const auto answer = it.ask("a");
        statuses[statusOf(answer)]++;
        EXPECT_EQ(statusOf(answer) == 429U, answer.find("Retry-After: ") != std::string::npos) << answer;
        EXPECT_EQ(statusOf(it.ask("b")), 200U);
    }
    EXPECT_GT(statuses[200], 0);
    EXPECT_GT(statuses[429], 30);
    EXPECT_EQ(statuses[200] + statuses[429], 60);
    EXPECT_EQ(it.world.first.requests.size() + it.world.second.requests.size(), static_cast<std::size_t>(60 + statuses[200]));
    EXPECT_TRUE(it.world.hasLine("outcome=quota_spent"));
}

TEST(ProxyQuota, CustomersWithoutALimitMakeNoCalls)
{
    QuotaWorld it(0, 0);
    ASSERT_TRUE(it.world.start());
    for (int n = 0; n < 20; n++) {
        EXPECT_EQ(statusOf(it.ask("a")), 200U);
    }
    EXPECT_EQ(it.world.rows.usageCalls, 0U);
}

// Each proxy allowed a customer the whole rate.
TEST(ProxyQuota, RequestsAtAnotherProxyCount)
{
    QuotaWorld it(1, 0);
    it.setRemote(1, 0, 0);
    ASSERT_TRUE(it.world.start());
    ASSERT_TRUE(it.awaitCalls(4));
    EXPECT_EQ(statusOf(it.ask("a")), 200U);
    it.setRemote(2, 500, 1);
    ASSERT_TRUE(it.awaitCalls(4));
    EXPECT_EQ(statusOf(it.ask("a")), 429U);
    EXPECT_EQ(it.world.rows.usage.size(), 2U);
}

// Two proxies each granted a customer's burst, or refused it although the grantor had permits.
TEST(ProxyQuota, TheGrantorDecidesForAllProxies)
{
    QuotaWorld it(5, 0);
    ASSERT_TRUE(it.world.start());
    const auto other = it.world.addProxy("other");
    ASSERT_TRUE(other);
    const auto since = std::chrono::steady_clock::now();
    it.world.run([&] {
        return std::chrono::steady_clock::now() - since > MemberHeartbeatInterval + GrantorStartDelay + std::chrono::seconds(4);
    });
    std::map<unsigned, int> statuses;
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < 30; n++) {
        statuses[statusOf(it.ask("a"))]++;
        const auto id = "o" + std::to_string(n);
        statuses[statusOf(it.world.ask(*other, ProxyWorld::request("POST", "/once/1", id, "Credential: secret-a\r\n", "body")))]++;
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    // The capacity is half of 4 + 2.9 + 20 - 5 * 0.25, refilled by 5 a second.
    EXPECT_GE(statuses[200], 12);
    EXPECT_LE(statuses[200], 13 + 5 * seconds);
    EXPECT_EQ(statuses[200] + statuses[429] + statuses[503], 60);
}

// The customers of a proxy that didn't reach the store were all refused, or not limited at all.
TEST(ProxyQuota, WithoutTheStoreRequestsGoOnAtThePartOfThisProxy)
{
    QuotaWorld it(20, 0);
    ASSERT_TRUE(it.world.start());
    ASSERT_TRUE(it.awaitCalls(4));
    it.world.rows.holdsUsage = true;
    const auto silentSince = std::chrono::steady_clock::now();
    it.world.run([&] {
        return std::chrono::steady_clock::now() - silentSince > OutOfTouchTime + std::chrono::milliseconds(500);
    });
    std::map<unsigned, int> statuses;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < std::chrono::seconds(2)) {
        statuses[statusOf(it.ask("a"))]++;
    }
    EXPECT_GT(statuses[200], 10);
    EXPECT_LT(statuses[200], 20 * 2 + 4 + 20);
    EXPECT_EQ(statuses[429], 0);
}

} // namespace Vanillahall::Forward
