/** Servers that write an earlier refusal once more on a kept connection. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr const char *Refusal = "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *RefusalWithoutId = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *MisdirectedWithoutId = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";

/** Bytes that come in place of the answer to the second request on a connection. */
struct RepeatedRefusalCase
{
    const char *name;  ///< For the test's name.
    std::string bytes; ///< What the server writes.
    unsigned status;   ///< Expected status of the second request.
};

class RepeatedRefusal : public ::testing::TestWithParam<RepeatedRefusalCase>
{
};

} // namespace

// Clients were told "not run, try again" for requests that a server was running, or such a request ran at a second server.
TEST_P(RepeatedRefusal, IsNotTakenForTheAnswerToAnotherRequest)
{
    const auto &param = GetParam();
    std::size_t requests = 0;
    ProxyWorld world([&requests, &param](const std::string &) {
        return Script{requests++ == 0 ? goodAnswer("ok") : param.bytes};
    });
    world.rows.servers.erase("s2");
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r1", {}, "body"))), 200U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r2", {}, "body"))), param.status);
    // A request that has certainly not run may be sent again.
    EXPECT_TRUE(world.first.requests.size() == 2 || param.status == 503);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RepeatedRefusal,
                         ::testing::Values(RepeatedRefusalCase{"own", Refusal, 503},
                                           // The refusal names the earlier request, and the answer follows.
                                           RepeatedRefusalCase{
                                               "ofAnotherRequest",
                                               "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                                                   + goodAnswer("ok"),
                                               200},
                                           RepeatedRefusalCase{"withoutId", RefusalWithoutId, 502},
                                           RepeatedRefusalCase{"misdirectedWithoutId", MisdirectedWithoutId, 502}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ProxyRefusal, WithoutAnIdIsBelievedOnANewConnection)
{
    ProxyWorld world([](const std::string &) {
        return Script{RefusalWithoutId};
    });
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r1", {}, "body"))), 503U);
}

TEST(ProxyRefusal, ARefusedRequestIsNotSentAgainOnTheConnectionThatRefusedIt)
{
    ProxyWorld world([](const std::string &) {
        return Script{Refusal};
    });
    world.rows.servers.erase("s2");
    ASSERT_TRUE(world.start());
    // The request waits for its server and is sent again, with the same id: a repeated refusal couldn't be told from a new one.
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r1", {}, "body"))), 503U);
    EXPECT_GT(world.first.requests.size(), 1U);
    EXPECT_EQ(world.first.opened, world.first.requests.size());
}

} // namespace Vanillahall::Forward
