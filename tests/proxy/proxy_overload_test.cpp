/** Servers that are full, and what a proxy admits then. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr const char *Full = "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/** A proxy whose servers refuse everything while they are full. */
class OverloadWorld
{
public:
    explicit OverloadWorld(bool isOn)
        : world(
            [this](const std::string &) {
                return Script{isFull ? Full : streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"};
            },
            [isOn](ProxySettings &settings) {
                settings.restrictsAdmission = isOn;
            })
    {
    }

    std::string turn(const std::string &program, const std::string &headers = {})
    {
        return world.ask(
            ProxyWorld::request("POST", "/stream/1", "r" + std::to_string(++m_requests), "Program-Id: " + program + "\r\n" + headers));
    }
    /** Sends turns of programs in progress until their refusals show that the servers are full. */
    void fill()
    {
        isFull = true;
        for (int n = 0; n < 4; n++) {
            turn("busy", "Session-Id: sub\r\n");
        }
    }
    /** The same, until a new program is refused without being sent. */
    void saturate()
    {
        fill();
        for (int n = 0; n < 20 && !world.hasLine("outcome=service_overloaded"); n++) {
            turn("new" + std::to_string(n));
        }
        ASSERT_TRUE(world.hasLine("outcome=service_overloaded"));
    }
    std::size_t sent() const
    {
        return world.first.requests.size() + world.second.requests.size();
    }
    std::size_t sentWithId(const std::string &id) const
    {
        return world.first.countWithId(id) + world.second.countWithId(id);
    }

    bool isFull = false;
    ProxyWorld world;

private:
    int m_requests = 0;
};

} // namespace

// New programs were held at full servers until the time of all was over.
TEST(ProxyOverload, ANewProgramIsRefusedWhileSaturatedAndAdmittedAfter)
{
    OverloadWorld it(true);
    ASSERT_TRUE(it.world.start());
    EXPECT_EQ(statusOf(it.turn("early")), 200U);
    it.fill();
    std::string answer;
    std::size_t before = 0;
    for (int n = 0; n < 20 && !it.world.hasLine("outcome=service_overloaded"); n++) {
        before = it.sent();
        answer = it.turn("new" + std::to_string(n));
    }
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
    EXPECT_EQ(it.sent(), before);
    EXPECT_TRUE(it.world.hasLine("state=saturated"));
    EXPECT_TRUE(it.world.hasLine("reason=full"));
    // The program in progress goes on, as far as the servers let it.
    before = it.sent();
    it.turn("early");
    EXPECT_GT(it.sent(), before);
    it.isFull = false;
    EXPECT_EQ(statusOf(it.turn("early")), 200U);
    const auto end = std::chrono::steady_clock::now() + 4s;
    while (std::chrono::steady_clock::now() < end && !it.world.hasLine("state=free")) {
        it.turn("early");
    }
    EXPECT_EQ(statusOf(it.turn("later")), 200U);
}

TEST(ProxyOverload, IsOffByDefault)
{
    OverloadWorld it(ProxySettings().restrictsAdmission);
    ASSERT_TRUE(it.world.start());
    it.fill();
    for (int n = 0; n < 10; n++) {
        const auto before = it.sent();
        it.turn("new" + std::to_string(n));
        EXPECT_GT(it.sent(), before);
    }
    EXPECT_FALSE(it.world.hasLine("outcome=service_overloaded"));
}

// Turns of programs past their deadline filled the queues of the servers while others were refused.
TEST(ProxyOverload, ALateTurnIsDeferredWhileOthersAreRefused)
{
    OverloadWorld it(true);
    ASSERT_TRUE(it.world.start());
    EXPECT_EQ(statusOf(it.turn("late")), 200U);
    it.saturate();
    const auto before = it.sent();
    TestClient late(it.world.loop, it.world.proxy->port());
    late.send(ProxyWorld::request("POST", "/stream/1", "late", "Program-Id: late\r\nSession-Id: sub\r\nProgram-Deadline-Ms: 0\r\n"));
    it.world.pause(100ms);
    EXPECT_EQ(it.sent(), before);
    // A turn that can end in time is tried meanwhile.
    it.turn("early", "Session-Id: sub\r\n");
    EXPECT_GT(it.sent(), before);
    EXPECT_EQ(it.sentWithId("late"), 0U);
    EXPECT_TRUE(late.received.empty());
    // It is sent once its longest wait is over, or the servers have room.
    it.isFull = false;
    EXPECT_TRUE(it.world.run([&late] {
        return statusOf(late.received) == 200U;
    }));
    EXPECT_EQ(it.sentWithId("late"), 1U);
}

namespace {

/** A fault in the middle of a burst. */
struct BurstFault
{
    const char *name;
    std::function<void(OverloadWorld &it)> begin;
    std::function<void(OverloadWorld &it)> end;
};

class ProxyBurst : public testing::TestWithParam<BurstFault>
{
};

} // namespace

// A burst left requests without an answer, or refused as not run although a server had them, if something failed in it.
TEST_P(ProxyBurst, EveryRequestIsAnsweredTruthfullyAndServiceReturns)
{
    OverloadWorld it(true);
    ASSERT_TRUE(it.world.start());
    EXPECT_EQ(statusOf(it.turn("early")), 200U);
    it.saturate();
    GetParam().begin(it);
    for (int n = 0; n < 2; n++) {
        const auto answer = it.turn("burst" + std::to_string(n));
        EXPECT_EQ(statusOf(answer), 503U) << answer;
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
        EXPECT_EQ(statusOf(it.turn("early")), 503U);
    }
    it.isFull = false;
    GetParam().end(it);
    const auto end = std::chrono::steady_clock::now() + 15s;
    while (statusOf(it.turn("early")) != 200U && std::chrono::steady_clock::now() < end) { }
    unsigned status = 0;
    for (int n = 0; status != 200U && std::chrono::steady_clock::now() < end; n++) {
        status = statusOf(it.turn("later" + std::to_string(n)));
    }
    EXPECT_EQ(status, 200U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyBurst,
                         testing::Values(BurstFault{"proxyRestarted",
                                                    [](OverloadWorld &it) {
                                                        // One request waits, and one is being sent.
                                                        TestClient waiting(it.world.loop, it.world.proxy->port());
                                                        waiting.send(ProxyWorld::request(
                                                            "POST", "/stream/1", "w", "Program-Id: early\r\nSession-Id: sub\r\n"));
                                                        it.world.pause(20ms);
                                                        it.world.proxy.reset();
                                                        it.world.proxy = it.world.addProxy("proxy");
                                                        EXPECT_TRUE(it.world.run([&waiting] {
                                                            return waiting.isClosed;
                                                        }));
                                                    },
                                                    [](OverloadWorld &) {}},
                                         BurstFault{"serversLost",
                                                    [](OverloadWorld &it) {
                                                        it.world.first.crash();
                                                        it.world.second.crash();
                                                    },
                                                    [](OverloadWorld &it) {
                                                        it.world.first.restart();
                                                        it.world.second.restart();
                                                    }},
                                         BurstFault{"storeUnavailable",
                                                    [](OverloadWorld &it) {
                                                        it.world.rows.refusesAll = true;
                                                        it.world.pause(50ms);
                                                    },
                                                    [](OverloadWorld &it) {
                                                        it.world.rows.refusesAll = false;
                                                    }}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

namespace {

/** Two requests that wait, the first of which arrived before the second. */
struct OrderCase
{
    const char *name;
    std::string first;  ///< Headers of the request that has to wait longer.
    std::string second; ///< Headers of the request that is served first.
};

class ProxyOrder : public testing::TestWithParam<OrderCase>
{
};

} // namespace

// Requests that waited for a connection polled in arbitrary order, so that one with little time left or of a high rank could be the last.
TEST_P(ProxyOrder, AFreeServerGoesToTheRequestThatPrecedes)
{
    constexpr std::size_t Connections = 4; // What a proxy may open to one server at least.
    ProxyWorld world(
        [](const std::string &) {
            return Script{};
        },
        [](ProxySettings &settings) {
            settings.restrictsAdmission = true;
        });
    world.rows.servers.erase("s2");
    const std::string connections = "\"maxConns\":100";
    world.rows.config.replace(world.rows.config.find(connections), connections.size(), "\"maxConns\":1");
    world.rows.config.insert(1,
                             R"("tenants":[{"name":"high","apiKeys":["kh"],"priority":0},{"name":"low","apiKeys":["kl"],"priority":2}],)");
    ASSERT_TRUE(world.start());
    std::vector<std::unique_ptr<TestClient>> clients;
    const auto send = [&world, &clients](const std::string &id, const std::string &headers) {
        clients.push_back(std::make_unique<TestClient>(world.loop, world.proxy->port()));
        clients.back()->send(ProxyWorld::request("POST", "/call/1", id, headers));
        world.pause(30ms);
    };
    for (std::size_t n = 0; n < Connections; n++) {
        send("busy" + std::to_string(n), "Credential: kl\r\n");
    }
    send("later", "Program-Id: p1\r\n" + GetParam().first);
    send("preceding", "Program-Id: p2\r\n" + GetParam().second);
    ASSERT_EQ(world.first.requests.size(), Connections);
    clients.front()->close();
    ASSERT_TRUE(world.run([&world] {
        return world.first.requests.size() > Connections;
    }));
    EXPECT_NE(world.first.requests.back().find("preceding"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyOrder,
    testing::Values(
        OrderCase{"leastSlack", "Credential: kl\r\nProgram-Deadline-Ms: 60000\r\n", "Credential: kl\r\nProgram-Deadline-Ms: 5000\r\n"},
        OrderCase{"rankOfCustomer", "Credential: kl\r\nProgram-Deadline-Ms: 5000\r\n", "Credential: kh\r\nProgram-Deadline-Ms: 60000\r\n"}),
    [](const auto &it) {
        return std::string(it.param.name);
    });

} // namespace Vanillahall::Forward
