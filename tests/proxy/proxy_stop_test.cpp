/** Planned stops of a proxy under load. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

/** A stop that ends requests in progress soon, so that the tests are short. */
constexpr Duration BriefLimit = 300ms;

/** @return Number of requests that the servers received. */
std::size_t sentCount(const ProxyWorld &world)
{
    return world.first.requests.size() + world.second.requests.size();
}

} // namespace

/** A request in progress at the limit of a planned stop. */
struct StopLimitCase
{
    const char *name;   ///< For the test's name.
    const char *path;   ///< Path of the request.
    std::string answer; ///< What the server has sent by then.
    unsigned status;    ///< Expected status of the response.
    bool isComplete;    ///< True if the response has to look complete.
};

class ProxyStopLimit : public ::testing::TestWithParam<StopLimitCase>
{
};

// Requests in progress at the limit of a planned stop were cut without a response.
TEST_P(ProxyStopLimit, EndsWhatIsInProgressWithAResponse)
{
    const auto &param = GetParam();
    ProxyWorld world(
        [&param](const std::string &) {
            return Script{param.answer};
        },
        [](ProxySettings &settings) {
            settings.stop.limit = BriefLimit;
        });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.send(ProxyWorld::request("POST", param.path, "r1", {}, "x"));
    ASSERT_TRUE(world.run([&world, &client, &param] {
        return sentCount(world) == 1 && (param.answer.empty() || !client.received.empty());
    }));
    bool isStopped = false;
    world.proxy->stop([&isStopped] {
        isStopped = true;
    });
    EXPECT_TRUE(world.run([&client, &isStopped] {
        return client.isClosed && isStopped;
    }));
    EXPECT_EQ(statusOf(client.received), param.status);
    const bool endsWhole
        = client.received.find("Content-Length: 0\r\n") != std::string::npos || client.received.find("0\r\n\r\n") != std::string::npos;
    EXPECT_EQ(endsWhole, param.isComplete);
    EXPECT_TRUE(world.hasLine("1007 requests=1"));
    EXPECT_TRUE(world.hasLine("outcome=stopping"));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyStopLimit,
                         ::testing::Values(StopLimitCase{"idempotent", "/call/1", "", 504, true},
                                           StopLimitCase{"notRepeatable", "/once/1", "", 504, true},
                                           StopLimitCase{"streamNotBegun", "/stream/1", "", 504, true},
                                           StopLimitCase{"streamBegun", "/stream/1", streamHead() + eventChunk(1), 200, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** How a client sends a request during a planned stop. */
struct LateRequestCase
{
    const char *name;     ///< For the test's name.
    const char *path;     ///< Path of the request.
    bool usesConnection;  ///< True to send it on a connection that was used before the stop.
    std::string deadline; ///< Header with the client's deadline, if any.
    unsigned status;      ///< Expected status.
};

class ProxyStopLate : public ::testing::TestWithParam<LateRequestCase>
{
};

// Requests that came late in a planned stop were passed on although they couldn't end in time, and were cut.
TEST_P(ProxyStopLate, RequestsThatMayNotEndInTimeAreRefusedAsNotRun)
{
    const auto &param = GetParam();
    ProxyWorld world(
        [](const std::string &) {
            return Script{goodAnswer("ok")};
        },
        [](ProxySettings &settings) {
            settings.stop.limit = 2s;
            settings.stop.longRequestPeriod = 0s;
        });
    ASSERT_TRUE(world.start());
    TestClient kept(world.loop, world.proxy->port());
    kept.send(ProxyWorld::request("GET", "/call/0", "r0"));
    ASSERT_TRUE(world.run([&kept] {
        return bodyOf(kept.received) == "ok";
    }));
    kept.received.clear();
    const auto sentBefore = sentCount(world);
    world.proxy->stop([] {});
    const auto request = ProxyWorld::request("POST", param.path, "r1", param.deadline, "x");
    if (param.usesConnection) {
        kept.send(request);
        ASSERT_TRUE(world.run([&kept] {
            return kept.isClosed;
        }));
    }
    const auto answer = param.usesConnection ? kept.received : world.ask(request);
    EXPECT_EQ(statusOf(answer), param.status);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    const bool isRefused = param.status == 503;
    EXPECT_EQ(answer.find("Retry-After: ") != std::string::npos, isRefused);
    EXPECT_EQ(sentCount(world) - sentBefore, isRefused ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyStopLate,
                         ::testing::Values(LateRequestCase{"keptConnection", "/call/1", true, "", 503},
                                           LateRequestCase{"newConnection", "/call/1", false, "", 503},
                                           LateRequestCase{"notRepeatable", "/once/1", true, "", 503},
                                           LateRequestCase{"stream", "/stream/1", true, "", 503},
                                           LateRequestCase{"briefDeadline", "/once/1", true, "Deadline-Ms: 900\r\n", 200},
                                           LateRequestCase{"briefRoute", "/brief/1", false, "", 200}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A connection whose response had begun before the stop didn't tell its client to close, and took requests until the process ended.
TEST(ProxyStop, AConnectionThatWasNotToldToCloseEndsWithItsResponse)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{streamHead() + eventChunk(1)};
        },
        [](ProxySettings &settings) {
            settings.stop.acceptPeriod = 0s;
        });
    // The idle timeout would close it, too.
    const std::string idleTimeout = "\"idleTimeoutMs\":15000";
    world.rows.config.replace(world.rows.config.find(idleTimeout), idleTimeout.size(), "\"idleTimeoutMs\":60000");
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.send(ProxyWorld::request("POST", "/stream/1", "r1", {}, "x"));
    ASSERT_TRUE(world.run([&client] {
        return client.received.find("id: 1") != std::string::npos;
    }));
    EXPECT_EQ(client.received.find("Connection: close"), std::string::npos);
    bool isStopped = false;
    world.proxy->stop([&isStopped] {
        isStopped = true;
    });
    // A second signal changes nothing.
    world.proxy->stop([] {});
    world.first.sendMore(eventChunk(2) + "0\r\n\r\n");
    world.second.sendMore(eventChunk(2) + "0\r\n\r\n");
    EXPECT_TRUE(world.run([&client] {
        return client.isClosed;
    }));
    EXPECT_FALSE(client.isReset);
    EXPECT_NE(client.received.find("id: 2"), std::string::npos);
    EXPECT_TRUE(world.run([&isStopped] {
        return isStopped;
    }));
}

/** How the turns of a program come to another proxy after its first turn. */
struct ProgramMoveCase
{
    const char *name;  ///< For the test's name.
    bool isStopped;    ///< True if the first proxy is stopped as planned.
    unsigned turns;    ///< Turns that the program's budget holds.
    unsigned attempts; ///< Turns that it has at the second proxy.
};

class ProxyProgramMove : public ::testing::TestWithParam<ProgramMoveCase>
{
};

// Tokens that a proxy had reserved ahead were lost when it was stopped: programs were answered 402 inside their budget.
TEST_P(ProxyProgramMove, LosesNoTokens)
{
    const auto &param = GetParam();
    ProxyWorld world(
        [](const std::string &) {
            return Script{streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"};
        },
        [](ProxySettings &settings) {
            settings.stop.acceptPeriod = 0s;
        });
    ASSERT_TRUE(world.start());
    const auto other = world.addProxy("other");
    ASSERT_TRUE(other);
    constexpr unsigned TurnTokens = 20;
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: " + std::to_string(param.turns * TurnTokens) + "\r\n";
    ASSERT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r0", headers))), 200U);
    if (param.isStopped) {
        bool isStopped = false;
        world.proxy->stop([&isStopped] {
            isStopped = true;
        });
        ASSERT_TRUE(world.run([&isStopped] {
            return isStopped;
        }));
        EXPECT_TRUE(world.hasLine(" returned=20 "));
    }
    for (unsigned n = 1; n <= param.attempts; n++) {
        EXPECT_EQ(statusOf(world.ask(*other, ProxyWorld::request("POST", "/stream/1", "r" + std::to_string(n), headers))), 200U) << n;
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyProgramMove,
                         // Eight turns, and the one that is allowed beyond the budget: a stop gives all back.
                         ::testing::Values(ProgramMoveCase{"plannedStop", true, 8, 8}, ProgramMoveCase{"toAnotherProxy", false, 8, 7}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** A proxy that holds tokens of a program which goes on at another proxy. */
struct HolderCase
{
    const char *name;      ///< For the test's name.
    bool isRunning;        ///< True if the proxy runs when it is asked to give them back.
    unsigned status;       ///< Expected status of the last turn inside the budget.
    const char *rowsEvent; ///< Expected text in a log line of the other proxy.
};

class ProxyHolder : public ::testing::TestWithParam<HolderCase>
{
};

// Programs that went on at another proxy were answered 402 inside their budget, while the first one held tokens that its turns hadn't used.
TEST_P(ProxyHolder, GivesTokensBackToAProgramThatHasNoneLeft)
{
    const auto &param = GetParam();
    ProxyWorld world(
        [](const std::string &) {
            return Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
        },
        [](ProxySettings &settings) {
            settings.peerListen = ProxyAddress{"127.0.0.1", 0};
        });
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.run([&world] {
        return world.rows.members.size() == 1;
    }));
    const auto other = world.addProxy("other");
    ASSERT_TRUE(other);
    ASSERT_TRUE(world.run([&world] {
        return world.rows.members.size() == 2;
    }));
    // Each turn generates half of its maximum, so that the first one leaves more than the turn allowed beyond the budget.
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 160\r\n";
    ASSERT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r0", headers))), 200U);
    if (!param.isRunning) {
        world.proxy.reset();
    }
    constexpr unsigned TurnsInside = 15;
    for (unsigned n = 1; n < TurnsInside; n++) {
        const auto answer = world.ask(*other, ProxyWorld::request("POST", "/stream/1", "r" + std::to_string(n), headers));
        EXPECT_EQ(statusOf(answer), n + 1 < TurnsInside ? 200U : param.status) << n;
    }
    EXPECT_TRUE(world.hasLine(param.rowsEvent));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyHolder,
                         ::testing::Values(HolderCase{"running", true, 200, "holders=1 replied=1 gave_back=1 outcome=asked"},
                                           // It isn't known yet whether the proxy has given them back.
                                           HolderCase{"ended", false, 503, "holders=1 replied=0 gave_back=0 outcome=asked"}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A budget that is fully reserved counted as spent at once, also while another proxy was about to give tokens back.
TEST(ProxyProgramMove, AnExhaustedBudgetIsRefusedOnceItIsCertain)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    const auto other = world.addProxy("other");
    ASSERT_TRUE(other);
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 20\r\n";
    ASSERT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r1", headers))), 200U);
    ASSERT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r2", headers))), 200U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r3", headers))), 402U);
    const auto answer = world.ask(*other, ProxyWorld::request("POST", "/stream/1", "r4", headers));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(world.hasLine("outcome=budget_unsettled"));
    unsigned status = 0;
    EXPECT_TRUE(world.run([&world, &other, &headers, &status] {
        status = statusOf(world.ask(*other, ProxyWorld::request("POST", "/stream/1", "r5", headers)));
        return status != 503;
    }));
    EXPECT_EQ(status, 402U);
}

} // namespace Vanillahall::Forward
