/** Peers that acknowledge what they are sent and read it late. The pauses exceed the time limit for acknowledgements. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds LongPause = 3s;
constexpr std::size_t LargeBytes = 200000;

} // namespace

/** A client that pauses while it reads its response. */
struct SlowClientCase
{
    const char *name;        ///< For the test's name.
    const char *path;        ///< Path of the request.
    std::size_t bytes;       ///< Size of the response's body.
    int receiveBuffer;       ///< Receive buffer of the client; 0 for the system's default.
    unsigned pauses;         ///< Pauses of the client.
    bool isStopping = false; ///< True to stop the proxy during the first pause.
};

class SlowClient : public ::testing::TestWithParam<SlowClientCase>
{
};

// Responses that were ready were lost: the connection was reset once the client's receive window had been closed for 2 s.
TEST_P(SlowClient, GetsItsWholeResponse)
{
    const auto &param = GetParam();
    ProxyWorld world([&param](const std::string &) {
        return Script{goodAnswer(std::string(param.bytes, 'x'))};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port(), param.receiveBuffer);
    client.stopReading();
    client.send(ProxyWorld::request("POST", param.path, "r1", {}, "x"));
    ASSERT_TRUE(world.run([&world] {
        return world.first.requests.size() + world.second.requests.size() == 1;
    }));
    bool isStopped = false;
    for (unsigned n = 0; n < param.pauses; n++) {
        if (param.isStopping) {
            world.proxy->stop([&isStopped] {
                isStopped = true;
            });
        }
        world.pause(LongPause);
        client.continueReading();
        // Reads a little, as far as further pauses follow.
        const auto before = client.received.size();
        world.run([&client, before] {
            return client.received.size() > before || client.isClosed;
        });
        if (n + 1 < param.pauses) {
            client.stopReading();
        }
    }
    EXPECT_TRUE(world.run([&client, &param] {
        return bodyOf(client.received).size() == param.bytes || client.isClosed;
    }));
    EXPECT_EQ(bodyOf(client.received).size(), param.bytes);
    EXPECT_FALSE(client.isReset);
    EXPECT_TRUE(!param.isStopping || world.run([&isStopped] {
        return isStopped;
    }));
}

INSTANTIATE_TEST_SUITE_P(All,
                         SlowClient,
                         ::testing::Values(SlowClientCase{"smallWindow", "/once/1", 4800, SmallReceiveBuffer, 1},
                                           SlowClientCase{"largeResponse", "/once/1", LargeBytes, 0, 1},
                                           SlowClientCase{"pausesAgain", "/once/1", LargeBytes, SmallReceiveBuffer, 3},
                                           SlowClientCase{"plannedStop", "/once/1", LargeBytes, 0, 1, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Requests whose server reads a large body late were broken off in the same way, and ran although their clients got an error.
TEST(SlowServer, GetsTheWholeRequest)
{
    constexpr std::size_t BodyBytes = 19000;
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    world.first.readSlowly(LongPause);
    world.second.readSlowly(LongPause);
    ASSERT_TRUE(world.start());
    EXPECT_EQ(bodyOf(world.ask(ProxyWorld::request("POST", "/once/1", "r1", {}, std::string(BodyBytes, 'b')))), "ok");
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), 1U);
}

} // namespace Vanillahall::Forward
