/** Customers and API keys: what clients are answered, what servers receive, and whose turns and budgets are used. */
#include "proxy_world.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

/** A proxy whose configuration names the customers "a" and "b", with the keys "secret-a" and "secret-b". */
struct CustomerWorld
{
    explicit CustomerWorld(const std::function<void(ProxySettings &)> &adjust = {})
        : world(
            [this](const std::string &request) {
                const bool isStream = request.find(" /kept/") != std::string::npos || request.find(" /stream/") != std::string::npos;
                return !script.bytes.empty() ? script : Script{isStream ? streamHead() + eventChunk(1) + "0\r\n\r\n" : goodAnswer("ok")};
            },
            adjust)
    {
        setCustomers({{"a", "secret-a"}, {"b", "secret-b"}});
    }

    /** Publishes a new configuration. @param keys Customers and their key. */
    void setCustomers(const std::vector<std::pair<std::string, std::string>> &keys)
    {
        auto config = Json::parse(world.rows.config);
        config["version"] = config["version"].get<int>() + 1;
        config["routes"][0]["public"] = true; // "/call/"
        config["tenants"] = Json::array();
        for (const auto &[name, key] : keys) {
            config["tenants"].push_back({{"name", name}, {"apiKeys", {key}}});
        }
        world.rows.config = config.dump();
    }
    /** Publishes a new configuration and waits until it is in force. */
    bool applyCustomers(const std::vector<std::pair<std::string, std::string>> &keys)
    {
        setCustomers(keys);
        const auto line = "1801 config=" + Json::parse(world.rows.config)["version"].dump();
        return world.run([&] {
            return world.hasLine(line);
        });
    }
    std::string ask(const std::string &path, const std::string &id, const std::string &key, const std::string &headers = {})
    {
        const auto credential = key.empty() ? "" : "Credential: " + key + "\r\n";
        return world.ask(ProxyWorld::request("POST", path, id, credential + headers, "body"));
    }
    /** @return All requests that servers received. */
    [[nodiscard]] std::vector<std::string> sent() const
    {
        auto all = world.first.requests;
        all.insert(all.end(), world.second.requests.begin(), world.second.requests.end());
        return all;
    }

    Script script; ///< Answer of the servers; empty for a usual one.
    ProxyWorld world;
};

/** A request, its status, and the customer that the server is told. */
struct KeyCase
{
    const char *name;
    const char *path;
    const char *headers;
    unsigned status;
    const char *customer; ///< Header that the server gets; empty for none.
};

class ProxyKey : public ::testing::TestWithParam<KeyCase>
{
};

} // namespace

// A key or a forged name reached servers or logs, or a request ran without a customer.
TEST_P(ProxyKey, DecidesWhetherARequestIsSentAndForWhom)
{
    const auto &param = GetParam();
    CustomerWorld it;
    ASSERT_TRUE(it.world.start());
    const auto answer = it.world.ask(ProxyWorld::request("POST", param.path, "r1", param.headers, "body"));
    EXPECT_EQ(statusOf(answer), param.status);
    const auto sent = it.sent();
    ASSERT_EQ(sent.size(), param.status == 200 ? 1U : 0U);
    for (const auto &text : sent) {
        EXPECT_EQ(text.find("redential"), std::string::npos);
        EXPECT_EQ(text.find("forged"), std::string::npos);
        EXPECT_EQ(text.find("Tenant: "), std::string(param.customer).empty() ? std::string::npos : text.find(param.customer));
    }
    EXPECT_FALSE(it.world.hasLine("secret-"));
    EXPECT_FALSE(it.world.hasLine("forged"));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyKey,
                         ::testing::Values(KeyCase{"known", "/once/1", "credential: secret-a\r\n", 200, "Tenant: a\r\n"},
                                           KeyCase{
                                               "forgedName", "/once/1", "Tenant: forged\r\nCredential: secret-b\r\n", 200, "Tenant: b\r\n"},
                                           KeyCase{"missing", "/once/1", "Tenant: a\r\n", 401, ""},
                                           KeyCase{"unknown", "/once/1", "Credential: secret-c\r\n", 401, ""},
                                           KeyCase{"twice", "/once/1", "Credential: secret-a\r\nCredential: secret-a\r\n", 401, ""},
                                           KeyCase{"noRoute", "/none", "Credential: secret-c\r\n", 404, ""},
                                           KeyCase{"publicRoute", "/call/1", "Tenant: forged\r\n", 200, ""},
                                           KeyCase{"publicRouteUnknown", "/call/1", "Credential: secret-c\r\n", 200, ""},
                                           KeyCase{"publicRouteKnown", "/call/1", "Credential: secret-a\r\n", 200, "Tenant: a\r\n"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ProxyCustomer, WithoutCustomersBothHeadersAreForwarded)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    world.rows.servers.erase("s2");
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("GET", "/call/1", "r1", "tenant: x\r\nCredential: k\r\nCredential: l\r\n"))), 200U);
    EXPECT_NE(world.first.requests.at(0).find("tenant: x\r\nCredential: k\r\nCredential: l\r\n"), std::string::npos);
}

TEST(ProxyCustomer, KeysAreCheckedAnewForEachRequestOfAConnection)
{
    CustomerWorld it;
    ASSERT_TRUE(it.world.start());
    TestClient client(it.world.loop, it.world.proxy->port());
    const auto askOnce = [&](const std::string &id) {
        client.received.clear();
        client.send(ProxyWorld::request("POST", "/once/1", id, "Credential: secret-a\r\n", "body"));
        it.world.run([&] {
            return client.received.find("\r\n\r\n") != std::string::npos;
        });
        return statusOf(client.received);
    };
    EXPECT_EQ(askOnce("r1"), 200U);
    ASSERT_TRUE(it.applyCustomers({{"b", "secret-a"}}));
    EXPECT_EQ(askOnce("r2"), 200U);
    EXPECT_NE(it.sent().back().find("Tenant: b\r\n") == std::string::npos, it.sent().front().find("Tenant: b\r\n") == std::string::npos);
    ASSERT_TRUE(it.applyCustomers({}));
    EXPECT_EQ(askOnce("r3"), 401U);
}

/** What happens to the key of a request while the request waits or is being repeated. */
struct WaitCase
{
    const char *name;
    const char *path;
    const char *owner;   ///< Customer that has the key afterwards; empty for none.
    bool hasRun;         ///< True if a server has broken off an attempt before.
    unsigned status;     ///< Expected.
    const char *outcome; ///< Expected.
};

class ProxyKeyChange : public ::testing::TestWithParam<WaitCase>
{
};

// A request that waited was sent for a customer that no longer had the key, or one that may have run was answered as not run.
TEST_P(ProxyKeyChange, IsNoticedBeforeTheRequestIsSentOn)
{
    const auto &param = GetParam();
    CustomerWorld it;
    it.world.rows.servers.erase("s2");
    ASSERT_TRUE(it.world.start());
    const auto *refusal = "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    // The first attempt is answered only once the new configuration is in force.
    it.world.first.answersEarly = false;
    it.script = {param.hasRun ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 503 X\r\n"};
    TestClient client(it.world.loop, it.world.proxy->port());
    client.send(ProxyWorld::request("POST", param.path, "r1", "Credential: secret-a\r\n", "body"));
    ASSERT_TRUE(it.world.run([&] {
        return it.world.first.requests.size() == 1;
    }));
    it.script = {};
    const std::string owner = param.owner;
    ASSERT_TRUE(it.applyCustomers(owner.empty() ? std::vector<std::pair<std::string, std::string>>()
                                                : std::vector<std::pair<std::string, std::string>>{{owner, "secret-a"}}));
    if (param.hasRun) {
        it.world.first.crash();
        it.world.first.restart();
    } else {
        const std::string rest(refusal);
        it.world.first.sendMore("Request-Id: r1" + rest.substr(rest.find("\r\nNot-Executed")));
    }
    ASSERT_TRUE(it.world.run([&] {
        return client.received.find("\r\n\r\n") != std::string::npos;
    }));
    EXPECT_EQ(statusOf(client.received), param.status);
    EXPECT_TRUE(it.world.hasLine(std::string("outcome=") + param.outcome));
    EXPECT_EQ(it.world.first.requests.size(), param.status == 200 ? 2U : 1U);
    if (param.status == 200) {
        EXPECT_NE(it.world.first.requests.back().find("Tenant: " + owner + "\r\n"), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyKeyChange,
                         ::testing::Values(WaitCase{"kept", "/once/1", "a", false, 200, "answered"},
                                           WaitCase{"removed", "/once/1", "", false, 401, "key_unknown"},
                                           WaitCase{"moved", "/once/1", "b", false, 200, "answered"},
                                           WaitCase{"removedAfterAnAttempt", "/resumed/1", "", true, 502, "key_unknown"},
                                           WaitCase{"removedOnPublicRoute", "/call/1", "", true, 502, "key_moved"},
                                           WaitCase{"movedAfterAnAttempt", "/call/1", "b", true, 502, "key_moved"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A customer could read, overwrite or remove turns of another one by their ids.
TEST(ProxyCustomer, TurnsOfAnotherCustomerDontExist)
{
    CustomerWorld it;
    ASSERT_TRUE(it.world.start());
    // A long turn becomes a base of the next one, named in its row.
    const std::string large(15000, 'x');
    const auto first = ProxyWorld::request("POST", "/kept/1", "t1", "Credential: secret-a\r\n", large);
    EXPECT_EQ(statusOf(it.world.ask(first)), 200U);
    const auto rows = it.world.rows.turns;
    EXPECT_EQ(statusOf(it.ask("/kept/1", "t2", "secret-b", "Previous-Turn: t1\r\n")), 404U);
    // The id of another customer's turn, used for a turn of one's own.
    EXPECT_EQ(statusOf(it.ask("/kept/1", "t1", "secret-b")), 200U);
    for (const auto &[key, row] : rows) {
        EXPECT_EQ(it.world.rows.turns.at(key), row);
    }
    EXPECT_EQ(statusOf(it.ask("/kept/1", "t3", "secret-a", "Previous-Turn: t1\r\n")), 200U);
    EXPECT_TRUE(it.world.hasLine("1105 request=t3 previous=t1 outcome=kept"));
    // Another proxy finds it in the store.
    const auto other = it.world.addProxy("other");
    ASSERT_TRUE(other);
    const auto next = ProxyWorld::request("POST", "/kept/1", "t4", "Credential: secret-a\r\nPrevious-Turn: t3\r\n", "body");
    EXPECT_EQ(statusOf(it.world.ask(*other, next)), 200U);
    EXPECT_TRUE(it.world.hasLine("other 1106 request=t4 previous=t3 outcome=found reads=2"));
}

TEST(ProxyCustomer, TheSameProgramOfTwoCustomersHasTwoBudgets)
{
    CustomerWorld it;
    ASSERT_TRUE(it.world.start());
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 20\r\n";
    EXPECT_EQ(statusOf(it.ask("/stream/1", "r1", "secret-a", headers)), 200U);
    EXPECT_EQ(statusOf(it.ask("/stream/1", "r2", "secret-b", headers)), 200U);
    EXPECT_EQ(it.world.rows.tokens.size(), 2U);
    EXPECT_TRUE(it.world.hasLine("1104 program=p reserved="));
    EXPECT_EQ(statusOf(it.ask("/stream/1", "r3", "secret-a", "Program-Id: " + std::string(184, 'p') + "\r\n")), 400U);
}

// A version with a mistake in it made every key that it adds unknown for good.
TEST(ProxyCustomer, ANewerVersionThatIsRefusedLeavesUnknownKeysUncertain)
{
    CustomerWorld it;
    ASSERT_TRUE(it.world.start());
    it.setCustomers({{"a", "secret-c"}, {"a", "secret-a"}});
    ASSERT_TRUE(it.world.run([&] {
        return it.world.hasLine("1802 ");
    }));
    EXPECT_EQ(statusOf(it.ask("/once/1", "r1", "secret-c")), 503U);
    EXPECT_EQ(statusOf(it.ask("/once/1", "r2", "secret-a")), 200U);
    ASSERT_TRUE(it.applyCustomers({{"c", "secret-c"}}));
    EXPECT_EQ(statusOf(it.ask("/once/1", "r3", "secret-c")), 200U);
    EXPECT_EQ(statusOf(it.ask("/once/1", "r4", "secret-a")), 401U);
}

TEST(ProxyCustomer, WhileTheStoreIsSilentOnlyKnownKeysAreCertain)
{
    for (const bool failsClosed : {false, true}) {
        CustomerWorld it([failsClosed](ProxySettings &settings) {
            settings.customers = {failsClosed, 2100ms};
        });
        ASSERT_TRUE(it.world.start());
        it.world.rows.refusesAll = true;
        const auto silentAt = std::chrono::steady_clock::now();
        ASSERT_TRUE(it.world.run([&] {
            return std::chrono::steady_clock::now() - silentAt > 2300ms;
        }));
        const auto unknown = it.ask("/once/1", "r1", "secret-c");
        EXPECT_EQ(statusOf(unknown), 503U);
        EXPECT_NE(unknown.find("Retry-After: "), std::string::npos);
        EXPECT_EQ(statusOf(it.ask("/once/1", "r2", "secret-a")), failsClosed ? 503U : 200U);
        EXPECT_EQ(it.world.lineCount("1803 "), 1U);
    }
}

} // namespace Vanillahall::Forward
