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
    std::size_t sent() const
    {
        return world.first.requests.size() + world.second.requests.size();
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

// Requests that waited for a connection polled in arbitrary order, so that one with little time left could be the last.
TEST(ProxyOverload, AFreeServerGoesToTheRequestWithTheLeastSlack)
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
    ASSERT_TRUE(world.start());
    std::vector<std::unique_ptr<TestClient>> clients;
    const auto send = [&world, &clients](const std::string &id, const std::string &headers) {
        clients.push_back(std::make_unique<TestClient>(world.loop, world.proxy->port()));
        clients.back()->send(ProxyWorld::request("POST", "/call/1", id, headers));
        const auto until = std::chrono::steady_clock::now() + 30ms;
        world.run([until] {
            return std::chrono::steady_clock::now() > until;
        });
    };
    for (std::size_t n = 0; n < Connections; n++) {
        send("busy" + std::to_string(n), {});
    }
    send("relaxed", "Program-Id: p1\r\nProgram-Deadline-Ms: 60000\r\n");
    send("urgent", "Program-Id: p2\r\nProgram-Deadline-Ms: 5000\r\n");
    ASSERT_EQ(world.first.requests.size(), Connections);
    clients.front()->close();
    ASSERT_TRUE(world.run([&world] {
        return world.first.requests.size() > Connections;
    }));
    EXPECT_NE(world.first.requests.back().find("urgent"), std::string::npos);
}

} // namespace Vanillahall::Forward
