/** A proxy and the store: configuration, servers, token budgets, and the graceful stop. */
#include "proxy_world.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

TEST(ProxyStart, WithoutConfigurationNothingRunsAndItIsNotReady)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    const auto config = std::exchange(world.rows.config, {});
    Error reason;
    ASSERT_TRUE(world.proxy->start(reason)) << reason.message;
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("GET", "/call/1", "r1"))), 503U);
    EXPECT_FALSE(world.proxy->isReady());
    world.rows.config = config;
    EXPECT_TRUE(world.run([&world] {
        return world.proxy->isReady();
    }));
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("GET", "/call/1", "r2"))), 200U);
}

TEST(ProxyConfig, InvalidRowsKeepTheLastValidState)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    world.rows.servers["s3"] = "broken";
    ASSERT_TRUE(world.start());
    world.rows.config = "{";
    world.rows.version++;
    EXPECT_TRUE(world.run([&world] {
        return world.hasLine("peer=configuration");
    }));
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("GET", "/call/1", "r1"))), 200U);
}

/** Row that another writer leaves among those of the servers. */
struct OddRowCase
{
    const char *name;  ///< For the test's name.
    const char *key;   ///< Key of the row.
    std::string value; ///< Value of the row.
};

class ProxyOddServerRow : public ::testing::TestWithParam<OddRowCase>
{
};

// Processes that read one odd row ended again and again, or stopped following the list.
TEST_P(ProxyOddServerRow, DoesNotKeepTheListFromBeingFollowed)
{
    const auto &param = GetParam();
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    world.rows.servers[param.key] = param.value;
    ASSERT_TRUE(world.run([&world] {
        return world.hasLine("1802 peer=");
    }));
    // A process that starts while the row is there gets ready, and both follow later changes.
    const auto beside = world.addProxy("beside");
    ASSERT_NE(beside, nullptr);
    world.rows.servers.erase("s1");
    ASSERT_TRUE(world.run([&world] {
        return world.lineCount("server=s1 state=gone") == 2;
    }));
    for (const auto *it : {world.proxy.get(), beside.get()}) {
        EXPECT_EQ(statusOf(world.ask(*it, ProxyWorld::request("GET", "/call/1", "r1"))), 200U);
    }
    EXPECT_EQ(world.second.requests.size(), 2U);
    EXPECT_EQ(world.lineCount("\n"), 0U);
}

namespace {

std::string serverRow(const std::string &address, const std::string &slots)
{
    return R"({"service":"svc","zone":"z","state":"ready","version":"v1","seq":1,"coldLeftMs":0,"address":")" + address + R"(","slots":)"
        + slots + "}";
}

constexpr std::size_t DeepNesting = 24000; ///< As deep as a row of the store can be nested.

} // namespace

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyOddServerRow,
    ::testing::Values(OddRowCase{"nested", "s9", std::string(DeepNesting, '[') + std::string(DeepNesting, ']')},
                      OddRowCase{
                          "nestedSlots", "s9", serverRow("127.0.0.1:1", std::string(DeepNesting, '[') + std::string(DeepNesting, ']'))},
                      OddRowCase{"numberTooLarge", "s9", serverRow("127.0.0.1:1", "4294967297")},
                      OddRowCase{"numberBeyondAll", "s9", serverRow("127.0.0.1:1", "1e999")},
                      OddRowCase{"portOutOfRange", "s9", serverRow("127.0.0.1:65537", "1")},
                      OddRowCase{"notUtf8", "s9", "{\"service\":\"\xff\xfe\"}"},
                      OddRowCase{"idWithLineBreak", "s9\nevent=1", serverRow("127.0.0.1:1", "1")}),
    [](const auto &it) {
        return it.param.name;
    });

/** Turns of a program with a token budget, and the state of the store. */
struct BudgetCase
{
    const char *name;        ///< For the test's name.
    unsigned budget;         ///< Token budget of the program.
    bool isStoreUnavailable; ///< True if the store refuses writes.
    unsigned status;         ///< Expected status of the third turn.
    std::size_t attempts;    ///< Expected number of requests at the servers.
};

class ProxyBudget : public ::testing::TestWithParam<BudgetCase>
{
};

TEST_P(ProxyBudget, IsEnforced)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"};
    });
    world.rows.refusesWrites = GetParam().isStoreUnavailable;
    ASSERT_TRUE(world.start());
    const auto headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: " + std::to_string(GetParam().budget) + "\r\n";
    std::string answer;
    for (int n = 0; n < 3; n++) {
        answer = world.ask(ProxyWorld::request("POST", "/stream/1", "r" + std::to_string(n), headers));
    }
    EXPECT_EQ(statusOf(answer), GetParam().status);
    EXPECT_EQ(world.hasLine("home_zone=z "), !GetParam().isStoreUnavailable);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), GetParam().attempts);
}

TEST(ProxyBudget, CountsAnEventWithoutItsEmptyLine)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "e\r\nid: 2\ndata: e\n\r\n0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 40\r\n";
    std::vector<unsigned> statuses;
    statuses.reserve(4);
    for (int n = 0; n < 4; n++) {
        statuses.push_back(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r" + std::to_string(n), headers))));
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 200, 200, 402}));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyBudget,
                         ::testing::Values(BudgetCase{"holds", 1000, false, 200, 3},
                                           BudgetCase{"spent", 20, false, 402, 2},
                                           BudgetCase{"storeUnavailable", 1000, true, 503, 0}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ProxyBudgetRow, AnUnreadableRowIsLoggedAndNotWrittenInALoop)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
    });
    world.rows.tokens["p"] = {"bm8ganNvbg==", 9};
    ASSERT_TRUE(world.start());
    const auto answer
        = world.ask(ProxyWorld::request("POST", "/stream/1", "r1", "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 900\r\n"));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_LE(world.rows.writes, 20U);
    EXPECT_TRUE(world.hasLine("peer=p "));
}

TEST(ProxyBudgetRow, AnInvalidProgramIdIsRefused)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    const std::string rest = "\r\nToken-Usage: 50,20\r\nToken-Budget: 900\r\n";
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r1", "Program-Id: \xff\xfe" + rest))), 400U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r2", "Program-Id: " + std::string(300, 'p') + rest))), 400U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r3", "Program-Id: p" + rest))), 200U);
}

TEST(ProxyStore, LostRepliesDelayATurnOnlyBriefly)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    // A turn waits for its tokens for less than two full time-outs of the store, so it succeeds only if lost replies take less time.
    world.rows.lostReplies = 2;
    const auto headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 400\r\n";
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r1", headers))), 200U);
    EXPECT_EQ(world.rows.lostReplies, 0U);
}

TEST(ProxyStore, ATurnWithLittleTimeIsRefusedBeforeItsDeadline)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    world.rows.refusesWrites = true;
    const auto headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 400\r\nDeadline-Ms: 300\r\n";
    const auto answer = world.ask(ProxyWorld::request("POST", "/stream/1", "r1", headers));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    // The turn is refused before its deadline, at which the client would disconnect.
    EXPECT_TRUE(world.hasLine("outcome=no_store_for_budget"));
}

TEST(ProxyStore, ARefusedWriteIsLoggedWithItsReason)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{goodAnswer("ok")};
        },
        [](ProxySettings &settings) {
            settings.peerListen = ProxyAddress{"127.0.0.1", 0};
        });
    world.rows.refusesWrites = true;
    ASSERT_TRUE(world.start());
    EXPECT_TRUE(world.run([&world] {
        return world.hasLine("peer=store call=") && world.hasLine("status 503");
    }));
}

/** Fault of the store while a proxy watches its tables. */
struct WatchCase
{
    const char *name;                     ///< For the test's name.
    void (*startFault)(StoreModel &rows); ///< Starts the fault before the change.
    void (*endFault)(StoreModel &rows);   ///< Ends it together with the change.
    std::size_t fullReads;                ///< Least number of full reads of the list after the change.
};

/** @return True if the store has received a call about a table. @param since Number of earlier calls. */
bool isAskedFor(const ProxyWorld &world, const std::string &table, std::size_t since)
{
    const auto &calls = world.store.requests;
    return std::any_of(calls.begin() + static_cast<std::ptrdiff_t>(since), calls.end(), [&table](const std::string &it) {
        return it.find(table) != std::string::npos;
    });
}

class ProxyWatch : public ::testing::TestWithParam<WatchCase>
{
};

TEST_P(ProxyWatch, ARemovedServerAndANewConfigurationAreApplied)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{goodAnswer("ok")};
        },
        [](ProxySettings &settings) {
            settings.watchWait = 50ms;
        });
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.run([&world] {
        return world.rows.watches > 2;
    }));
    GetParam().startFault(world.rows);
    const auto calls = world.store.requests.size();
    ASSERT_TRUE(world.run([&world, calls] {
        return isAskedFor(world, "table=op", calls) && isAskedFor(world, "table=servers", calls);
    }));
    const auto before = world.rows.fullReads;
    GetParam().endFault(world.rows);
    world.rows.servers.erase("s1");
    world.rows.config.replace(world.rows.config.find("\"version\":3"), 11, "\"version\":4");
    EXPECT_TRUE(world.run([&world] {
        return world.hasLine("server=s1 state=gone") && world.hasLine("config=4");
    }));
    EXPECT_GE(world.rows.fullReads, before + GetParam().fullReads);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("GET", "/call/1", "r1"))), 200U);
    EXPECT_TRUE(world.first.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyWatch,
                         ::testing::Values(WatchCase{"quiet", [](StoreModel &) {}, [](StoreModel &) {}, 0},
                                           WatchCase{"historyDiscarded",
                                                     [](StoreModel &rows) {
                                                         rows.hasNoHistory = true;
                                                     },
                                                     [](StoreModel &) {},
                                                     1},
                                           WatchCase{"changesSuppressed",
                                                     [](StoreModel &rows) {
                                                         rows.suppressesChanges = true;
                                                     },
                                                     [](StoreModel &) {},
                                                     1},
                                           WatchCase{"watchesUnanswered",
                                                     [](StoreModel &rows) {
                                                         rows.unansweredWatches = 3; // One of each watched table.
                                                     },
                                                     [](StoreModel &) {},
                                                     1},
                                           WatchCase{"unavailable",
                                                     [](StoreModel &rows) {
                                                         rows.refusesAll = true;
                                                     },
                                                     [](StoreModel &rows) {
                                                         rows.refusesAll = false;
                                                     },
                                                     1}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ProxyWatch, TheWholeListIsNotReadAgainWhileNothingChanges)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.run([&world] {
        return world.rows.watches > 20;
    }));
    EXPECT_EQ(world.rows.fullReads, 1U);
}

TEST(ProxyStop, CompletesRequestsInProgress)
{
    bool mayAnswer = false;
    ProxyWorld world([&mayAnswer](const std::string &) {
        return mayAnswer ? Script{goodAnswer("ok")} : Script{};
    });
    ASSERT_TRUE(world.start());
    bool isStopped = false;
    TestClient client(world.loop, world.proxy->port());
    client.send(ProxyWorld::request("GET", "/call/1", "r1"));
    ASSERT_TRUE(world.run([&world] {
        return world.first.requests.size() + world.second.requests.size() == 1;
    }));
    world.proxy->stop([&isStopped] {
        isStopped = true;
    });
    EXPECT_FALSE(world.proxy->isReady());
    mayAnswer = true;
    // New connections are still accepted for a while, and closed after their response.
    const auto answer = world.ask(ProxyWorld::request("GET", "/call/2", "r2"));
    EXPECT_EQ(statusOf(answer), 200U);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_FALSE(isStopped);
}

} // namespace Vanillahall::Forward
