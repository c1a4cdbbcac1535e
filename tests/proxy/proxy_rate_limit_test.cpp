/** Servers that name a rate limit in their answers. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr const char *NoRequests = "Server-Limit: 0\r\n";

} // namespace

// A server got far more requests than the limit that it had named.
TEST(ProxyRateLimit, RequestsBeyondTheLimitsOfAllServersAreRefusedAtOnce)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok", NoRequests)};
    });
    ASSERT_TRUE(world.start());
    const auto answerTo = [&world](int n) {
        return world.ask(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(n), {}, "body"));
    };
    // Each server names its limit with its first answer.
    EXPECT_EQ(statusOf(answerTo(1)), 200U);
    EXPECT_EQ(statusOf(answerTo(2)), 200U);
    for (int n = 3; n < 9; n++) {
        const auto answer = answerTo(n);
        EXPECT_EQ(statusOf(answer), 503U);
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    }
    EXPECT_EQ(world.first.requests.size(), 1U);
    EXPECT_EQ(world.second.requests.size(), 1U);
    EXPECT_EQ(world.lineCount("1505 server="), 2U);
    EXPECT_EQ(world.lineCount("outcome=servers_limited"), 6U);
}

TEST(ProxyRateLimit, RequestsGoToServersWithoutALimit)
{
    const std::string *limited = nullptr;
    std::string firstServer;
    ProxyWorld world([&limited, &firstServer](const std::string &request) {
        const auto at = request.find("Expect-Instance: ");
        const auto server = request.substr(at, request.find("\r\n", at) - at);
        if (limited == nullptr) {
            firstServer = server;
            limited = &firstServer;
        }
        return Script{goodAnswer("ok", server == *limited ? NoRequests : "")};
    });
    ASSERT_TRUE(world.start());
    for (int n = 0; n < 6; n++) {
        EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(n), {}, "body"))), 200U);
    }
    EXPECT_EQ(std::min(world.first.requests.size(), world.second.requests.size()), 1U);
    EXPECT_EQ(std::max(world.first.requests.size(), world.second.requests.size()), 5U);
}

} // namespace Vanillahall::Forward
