/** Requests that wait for a server while something else happens to them. */
#include "proxy_world.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr std::size_t Connections = 4; ///< What a proxy may open to one server at least.
constexpr auto ObservedTime = 1100ms;  ///< Longer than a request may wait for a server with this configuration.

/** A proxy with customers, whose only server holds all requests and is full. */
class QueueWorld
{
public:
    QueueWorld()
        : world([](const std::string &) {
            return Script{};
        })
    {
        m_second = world.rows.servers.extract("s2");
        changeConfig([](Json &config) {
            config["services"][0]["maxConns"] = 1;
            config["routes"][0].update({{"timeoutMs", 3200}, {"sloMs", 1200}});
            config["tenants"] = {{{"name", "a"}, {"apiKeys", {"ka"}}}, {{"name", "b"}, {"apiKeys", {"kb"}}}};
        });
    }
    void changeConfig(const std::function<void(Json &config)> &change)
    {
        auto config = Json::parse(world.rows.config);
        const int version = config["version"].get<int>() + 1;
        config["version"] = version;
        change(config);
        world.rows.config = config.dump();
        m_version = "config=" + std::to_string(version);
    }
    /** Changes the configuration and waits until it is in force. */
    void applyConfig(const std::function<void(Json &config)> &change)
    {
        changeConfig(change);
        ASSERT_TRUE(world.run([this] {
            return world.hasLine(m_version);
        }));
    }
    void send(const std::string &id)
    {
        clients.push_back(std::make_unique<TestClient>(world.loop, world.proxy->port()));
        clients.back()->send(ProxyWorld::request("POST", "/call/" + id, id, "Credential: ka\r\n"));
    }
    /** Sends a request for each connection, and two that wait. */
    void fill()
    {
        ASSERT_TRUE(world.start());
        for (std::size_t n = 0; n < Connections; n++) {
            send("busy" + std::to_string(n));
        }
        ASSERT_TRUE(world.run([this] {
            return world.first.requests.size() == Connections;
        }));
        send("w0");
        send("w1");
        world.pause(40ms);
    }
    /** Replaces the server, which has crashed. */
    void replaceServer()
    {
        world.first.crash();
        world.rows.servers.clear();
        world.rows.servers.insert(std::move(m_second));
    }
    /** Frees the connections of two busy requests. */
    void freeTwo()
    {
        clients[0]->close();
        clients[1]->close();
    }
    TestClient &waiting(std::size_t n)
    {
        return *clients[Connections + n];
    }
    std::size_t sent(const std::string &id) const
    {
        return world.first.countWithId(id) + world.second.countWithId(id);
    }

    ProxyWorld world;
    std::vector<std::unique_ptr<TestClient>> clients;

private:
    std::string m_version;
    std::map<std::string, std::string>::node_type m_second; ///< Row of the server that isn't listed.
};

/** What happens while two requests wait. */
struct QueueCase
{
    const char *name;
    std::function<void(QueueWorld &it)> act;
    std::array<std::size_t, 2> sent; ///< How often each of them is sent.
    unsigned status;                 ///< Status of the second one.
};

class ProxyQueue : public testing::TestWithParam<QueueCase>
{
};

} // namespace

// A request that had waited was sent twice, once by the queue and once when its longest wait was over, or was refused while its server ran
// it. The first connection then called a listener that was gone.
TEST_P(ProxyQueue, AWaitingRequestIsSentOnceAndAnsweredOnce)
{
    QueueWorld it;
    it.fill();
    ASSERT_EQ(it.world.first.requests.size(), Connections);
    GetParam().act(it);
    it.world.pause(ObservedTime);
    for (std::size_t n = 0; n < 2; n++) {
        const auto id = "w" + std::to_string(n);
        EXPECT_EQ(it.sent(id), GetParam().sent.at(n)) << id;
        const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok";
        it.world.first.sendMore(answer);
        it.world.second.sendMore(answer);
    }
    ASSERT_TRUE(it.world.run([&it] {
        return statusOf(it.waiting(1).received) != 0;
    }));
    it.world.pause(20ms);
    EXPECT_EQ(statusOf(it.waiting(1).received), GetParam().status);
    EXPECT_EQ(it.waiting(1).received.find("HTTP/1.1", 1), std::string::npos) << it.waiting(1).received;
    EXPECT_EQ(it.world.lineCount("request=w1 program= session="), 1U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyQueue,
                         testing::Values(QueueCase{"serversFree", &QueueWorld::freeTwo, {1, 1}, 200},
                                         QueueCase{"oneServerFree",
                                                   [](QueueWorld &it) {
                                                       it.waiting(0).close();
                                                       it.world.pause(10ms);
                                                       it.clients[0]->close();
                                                   },
                                                   {0, 1},
                                                   200},
                                         QueueCase{"nestedSelection",
                                                   [](QueueWorld &it) {
                                                       // Each needs a permit now, and selects a server again once it has it.
                                                       it.applyConfig([](Json &config) {
                                                           config["tenants"][0].update({{"ratePerS", 1000}, {"burst", 1000}});
                                                       });
                                                       it.freeTwo();
                                                   },
                                                   {1, 1},
                                                   200},
                                         QueueCase{"keyMoved",
                                                   [](QueueWorld &it) {
                                                       it.applyConfig([](Json &config) {
                                                           config["tenants"][0]["apiKeys"] = {"kc"};
                                                           config["tenants"][1]["apiKeys"] = {"ka"};
                                                       });
                                                       it.freeTwo();
                                                   },
                                                   {1, 1},
                                                   200},
                                         QueueCase{"keyRemoved",
                                                   [](QueueWorld &it) {
                                                       it.applyConfig([](Json &config) {
                                                           config["tenants"][0]["apiKeys"] = {"kc"};
                                                       });
                                                       it.freeTwo();
                                                   },
                                                   {0, 0},
                                                   401},
                                         QueueCase{"serverFails",
                                                   [](QueueWorld &it) {
                                                       // It is avoided for 0.3 s, which is less than they may wait.
                                                       it.world.first.crash();
                                                       it.world.first.restart();
                                                   },
                                                   {1, 1},
                                                   200},
                                         QueueCase{"serverReplaced", &QueueWorld::replaceServer, {1, 1}, 200}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Vanillahall::Forward
