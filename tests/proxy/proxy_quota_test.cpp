/** Calls of proxies for the rate limit of a customer, at the level of ProxyState, since customers aren't decoded yet. */
#include "proxy_state.h"
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr CustomerLimit Limit{2, 10};

/** Two proxies on one store. */
class QuotaWorld
{
public:
    QuotaWorld()
        : world([](const std::string &) {
            return Script{};
        })
    {
        for (const char *name : {"a", "b"}) {
            ProxySettings settings;
            settings.name = name;
            settings.incarnation = "1";
            settings.store = {"127.0.0.1", world.store.port()};
            settings.listen = settings.readyListen = {"127.0.0.1", 0};
            proxies.push_back(
                std::make_shared<ProxyState>(world.loop, settings, [this](LogLevel, EventNumber event, const std::string &text) {
                    lines += std::to_string(static_cast<int>(event)) + " " + text + "\n";
                }));
            Error reason;
            EXPECT_TRUE(proxies.back()->start(reason));
            EXPECT_TRUE(world.run([this] {
                return proxies.back()->isReady();
            }));
        }
    }

    ~QuotaWorld()
    {
        for (const auto &it : proxies) {
            it->shutDown();
        }
    }

    /** @return Answer once no call is under way; QuotaBusy if the store doesn't answer the calls. */
    QuotaAnswer ask(std::size_t n)
    {
        QuotaAnswer answer = QuotaBusy{};
        world.run([&] {
            answer = proxies[n]->requestPermit({"secret-name", Limit, true, false, 0, std::chrono::seconds(1)});
            return std::holds_alternative<QuotaGranted>(answer) || std::holds_alternative<QuotaRefused>(answer) || world.rows.refusesAll;
        });
        return answer;
    }

    std::size_t askUntilRefused(std::size_t n)
    {
        std::size_t granted = 0;
        while (std::holds_alternative<QuotaGranted>(ask(n))) {
            granted++;
        }
        return granted;
    }

    ProxyWorld world;
    std::vector<std::shared_ptr<ProxyState>> proxies;
    std::string lines;
};

} // namespace

TEST(ProxyQuota, ProxiesShareOnePool)
{
    QuotaWorld quotas;
    const auto granted = quotas.askUntilRefused(0) + quotas.askUntilRefused(1);
    // The pool holds the burst, half of the slack and a part of the overrun; a few permits are added while the test runs.
    EXPECT_GE(granted, 15U);
    EXPECT_LE(granted, 30U);
    EXPECT_EQ(quotas.lines.find("secret-name"), std::string::npos);
}

TEST(ProxyQuota, UnreadableRowIsLoggedWithoutTheNameAndGrantsNothing)
{
    QuotaWorld quotas;
    quotas.world.rows.tokens["secret-name"] = {"bm8=", 7};
    EXPECT_TRUE(std::holds_alternative<QuotaRefused>(quotas.ask(0)));
    EXPECT_NE(quotas.lines.find("1123 customer="), std::string::npos);
    EXPECT_EQ(quotas.lines.find("secret-name"), std::string::npos);
}

TEST(ProxyQuota, StoreThatRefusesCallsIsAskedAgain)
{
    QuotaWorld quotas;
    quotas.world.rows.refusesAll = true;
    EXPECT_FALSE(std::holds_alternative<QuotaGranted>(quotas.ask(0)));
    quotas.world.rows.refusesAll = false;
    EXPECT_TRUE(std::holds_alternative<QuotaGranted>(quotas.ask(0)));
}

} // namespace Vanillahall::Forward
