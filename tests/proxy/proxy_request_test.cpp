/** Single requests: framing, responses, attempts and limits. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr const char *NotRun = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Plain503 = "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n";
constexpr const char *OtherServer = "HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n";
constexpr const char *NoLength = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\r\nwhole";
constexpr const char *Truncated = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 9\r\n\r\nto";
constexpr const char *Unsigned = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nok";
constexpr const char *OtherRequest = "HTTP/1.1 200 OK\r\nRequest-Id: foreign\r\nResponse-Signature: sig\r\nContent-Length: 5\r\n\r\nother";
constexpr const char *Interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char *Failed = "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 4\r\n\r\noops";

} // namespace

/** Responses of the first and of further attempts, and the expected response to the client. */
struct AnswerCase
{
    const char *name;     ///< For the test's name.
    const char *path;     ///< Path of the request.
    Script first;         ///< Response to the first attempt.
    Script later;         ///< Response to all further attempts.
    unsigned status;      ///< Expected status; 0 for a connection closed without a response.
    std::string body;     ///< Expected body.
    std::size_t attempts; ///< Expected number of requests at the servers.
};

class ProxyAnswer : public ::testing::TestWithParam<AnswerCase>
{
};

TEST_P(ProxyAnswer, IsCorrectAndComplete)
{
    const auto &param = GetParam();
    std::size_t requestCount = 0;
    ProxyWorld world([&param, &requestCount](const std::string &) {
        return requestCount++ == 0 ? param.first : param.later;
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", param.path, "r1", {}, "body"));
    EXPECT_EQ(statusOf(answer), param.status) << answer;
    EXPECT_EQ(bodyOf(answer), param.body);
    EXPECT_EQ(requestCount, param.attempts);
    if (param.status == 503) {
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyAnswer,
    ::testing::Values(AnswerCase{"good", "/once/1", {goodAnswer("ok")}, {}, 200, "ok", 1},
                      AnswerCase{"failureOfTheServer", "/once/1", {Failed}, {}, 500, "oops", 1},
                      AnswerCase{"interimFirst", "/once/1", {Interim + goodAnswer("ok")}, {}, 200, "ok", 1},
                      AnswerCase{"answerToAnotherFirst", "/once/1", {OtherRequest + goodAnswer("ok")}, {}, 200, "ok", 1},
                      AnswerCase{"noLength", "/once/1", {NoLength, true}, {}, 200, "whole", 1},
                      AnswerCase{"noLengthReset", "/once/1", {NoLength, false, true}, {}, 502, "", 1},
                      AnswerCase{"truncatedOnce", "/once/1", {Truncated, true}, {goodAnswer("ok")}, 502, "", 1},
                      AnswerCase{"truncatedMayRepeat", "/call/1", {Truncated, true}, {goodAnswer("ok")}, 200, "ok", 2},
                      AnswerCase{"unsignedOnce", "/once/1", {Unsigned}, {goodAnswer("ok")}, 502, "", 1},
                      AnswerCase{"encoded", "/once/1", {goodAnswer("ok", "Content-Encoding: gzip\r\n")}, {}, 502, "", 1},
                      AnswerCase{"nonsense", "/once/1", {"nonsense\r\n\r\n"}, {}, 502, "", 1},
                      AnswerCase{"closedOnce", "/once/1", {"", true}, {goodAnswer("ok")}, 502, "", 1},
                      AnswerCase{"closedMayRepeat", "/call/1", {"", true}, {goodAnswer("ok")}, 200, "ok", 2},
                      AnswerCase{"closedTwice", "/call/1", {"", true}, {"", true}, 502, "", 2},
                      AnswerCase{"notRunIsRetried", "/once/1", {NotRun}, {goodAnswer("ok")}, 200, "ok", 2},
                      AnswerCase{"otherServerIsRetried", "/once/1", {OtherServer}, {goodAnswer("ok")}, 200, "ok", 2},
                      AnswerCase{"plain503IsNoPromise", "/once/1", {Plain503}, {goodAnswer("ok")}, 502, "", 1},
                      AnswerCase{"noRoute", "/none/1", {}, {}, 404, "", 0},
                      AnswerCase{"extraAnswer", "/once/1", {goodAnswer("ok") + goodAnswer("again")}, {}, 200, "ok", 1}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(ProxyRequest, ReachesTheServerWithoutHeadersThatOnlyTheProxyMaySet)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok", "X-Own: 1\r\nServer-Load: 1,0,8\r\n")};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST",
                                                      "/once/1?a=b",
                                                      "r1",
                                                      "Deadline-Ms: 900\r\nHold: x\r\nKv-From: y\r\nPin-Ms: 5\r\nX-Unknown: kept\r\n"
                                                      "Connection: X-Hop, Request-Id\r\nX-Hop: dropped\r\n",
                                                      "body"));
    ASSERT_EQ(statusOf(answer), 200U);
    EXPECT_NE(answer.find("X-Own: 1"), std::string::npos);
    EXPECT_EQ(answer.find("Server-Load"), std::string::npos);
    const auto requests = world.first.requests.empty() ? world.second.requests : world.first.requests;
    const bool isFirst = !world.first.requests.empty();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].find("POST /once/1?a=b HTTP/1.1\r\n"), 0U);
    EXPECT_NE(requests[0].find("\r\nRequest-Id: r1\r\n"), std::string::npos);
    EXPECT_NE(requests[0].find("\r\nX-Unknown: kept\r\n"), std::string::npos);
    EXPECT_NE(requests[0].find(std::string("\r\nExpect-Instance: ") + (isFirst ? "s1" : "s2")), std::string::npos);
    EXPECT_NE(requests[0].find("\r\nDeadline-Ms: "), std::string::npos);
    EXPECT_EQ(requests[0].find("Deadline-Ms: 900\r\n"), requests[0].rfind("Deadline-Ms: 900\r\n"));
    for (const auto *it : {"Hold", "Kv-From", "Pin-Ms", "X-Hop"}) {
        EXPECT_EQ(requests[0].find(it), std::string::npos) << it;
    }
    EXPECT_EQ(requests[0].substr(requests[0].size() - 4), "body");
}

// Guards against answers from which the choice of servers learns nothing.
TEST(ProxyRequest, TeachesTheProxyItsCost)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    for (int n = 0; n < 20; n++) {
        ASSERT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(n), "", "body"))), 200U);
    }
    int last = 0;
    for (const auto &it : world.lines) {
        const auto n = it.find("expected_work_ms=");
        last = n == std::string::npos ? last : std::stoi(it.substr(it.find('=', n) + 1));
    }
    EXPECT_LT(last, StartingHold.count() / 2);
}

/** A request that two HTTP implementations could frame differently, or that exceeds a limit. */
struct FramingCase
{
    const char *name;    ///< For the test's name.
    std::string request; ///< Bytes to send.
    unsigned status;     ///< Expected status.
};

class Framing : public ::testing::TestWithParam<FramingCase>
{
};

TEST_P(Framing, IsStrict)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.send(GetParam().request);
    EXPECT_TRUE(world.run([&client] {
        return client.isClosed;
    }));
    EXPECT_EQ(statusOf(client.received), GetParam().status);
    EXPECT_TRUE(world.first.requests.empty());
    EXPECT_TRUE(world.second.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    Framing,
    ::testing::Values(
        FramingCase{"bothLengths",
                    "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    400},
        FramingCase{"bothLengthsTurned",
                    "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
                    400},
        FramingCase{
            "twoLengths", "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
        FramingCase{
            "oddEncoding", "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
        FramingCase{"oddChunk",
                    "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
                    400},
        FramingCase{"foldedLine", "GET /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nX: a\r\n b\r\n\r\n", 400},
        FramingCase{"bareLf", "GET /call/1 HTTP/1.1\r\nHost: h\nX: a\r\n\r\n", 400},
        FramingCase{"spaceBeforeColon", "GET /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length : 3\r\n\r\nabc", 400},
        FramingCase{"noId", "GET /call/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        FramingCase{"twoIds", "GET /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Id: s\r\n\r\n", 400},
        FramingCase{"noHost", "GET /call/1 HTTP/1.1\r\n\r\n", 400},
        FramingCase{"twoHosts", "GET /call/1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
        FramingCase{"absoluteTarget", "GET http://h/call/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        FramingCase{"largeHeaders", "GET /call/1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'a') + "\r\n\r\n", 431},
        FramingCase{"largeBody", "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 20001\r\n\r\n", 413}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(ProxyAttempt, FailuresAreLoggedWithTypeAndNextStep)
{
    ProxyWorld world([](const std::string &) {
        return Script{Truncated, true};
    });
    ASSERT_TRUE(world.start());
    world.ask(ProxyWorld::request("POST", "/once/1", "r1", {}, "body"));
    EXPECT_TRUE(world.hasLine("failure=broken may_have_run=1 tries=1 step=answer_failed"));
}

TEST(ProxyAttempt, AfterABrokenConnectionTheNextOneIsNew)
{
    std::size_t requestCount = 0;
    ProxyWorld world([&requestCount](const std::string &) {
        // The idle connection breaks with the third request, as after a reset of all connections.
        return ++requestCount == 3 ? Script{"", true} : Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    // Two concurrent requests open connections to both servers.
    TestClient one(world.loop, world.proxy->port());
    TestClient two(world.loop, world.proxy->port());
    one.send(ProxyWorld::request("POST", "/call/1", "r1"));
    two.send(ProxyWorld::request("POST", "/call/1", "r2"));
    ASSERT_TRUE(world.run([&] {
        return statusOf(one.received) == 200 && statusOf(two.received) == 200;
    }));
    const auto opened = world.first.opened + world.second.opened;
    ASSERT_EQ(opened, 2U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/1", "r3"))), 200U);
    EXPECT_EQ(world.first.opened + world.second.opened, opened + 1);
}

TEST(ProxyRequest, MayBeFragmentedAndPipelined)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    const auto text = ProxyWorld::request("POST", "/call/1", "r1", {}, "body")
        + "POST /call/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    TestClient client(world.loop, world.proxy->port());
    for (const char c : text) {
        client.send(std::string(1, c));
        world.loop.restart();
        world.loop.poll();
    }
    EXPECT_TRUE(world.run([&client] {
        return client.received.find("\r\n\r\nok", client.received.find("\r\n\r\nok") + 1) != std::string::npos;
    }));
    const auto bodies = world.first.requests.size() + world.second.requests.size();
    EXPECT_EQ(bodies, 2U);
}

TEST(ProxyOnce, RequestContinuesWhenItsClientDisconnects)
{
    bool mayAnswer = false;
    ProxyWorld world([&mayAnswer](const std::string &) {
        return mayAnswer ? Script{goodAnswer("ok")} : Script{};
    });
    ASSERT_TRUE(world.start());
    {
        TestClient client(world.loop, world.proxy->port());
        client.send(ProxyWorld::request("POST", "/once/1", "r1"));
        ASSERT_TRUE(world.run([&world] {
            return world.first.requests.size() + world.second.requests.size() == 1;
        }));
        client.close();
        world.run([&client] {
            return client.isClosed;
        });
    }
    mayAnswer = true;
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/once/2", "r2"))), 200U);
    EXPECT_EQ(world.first.closed + world.second.closed, 0U);
}

TEST(ProxyTime, TimeLimitOfTheRouteEndsTheRequest)
{
    ProxyWorld world([](const std::string &) {
        return Script{};
    });
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/brief/1", "r1"))), 504U);
}

TEST(ProxyLimit, BodiesBeyondTheMemoryLimitAreRefusedWithRetryAfter)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{goodAnswer("ok")};
        },
        [](ProxySettings &settings) {
            settings.maxBufferedBytes = 1000;
        });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/call/1", "r1", {}, std::string(2000, 'x')));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/1", "r2", {}, "small"))), 200U);
}

// A request that was forwarded is never broken off for a further client. Guards against a flood of log lines as well.
TEST(ProxyLimit, ClientsBeyondTheLimitAreRejectedAndLogged)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{};
        },
        [](ProxySettings &settings) {
            settings.maxClients = 1;
        });
    ASSERT_TRUE(world.start());
    // The second client is accepted once the first one has left.
    for (std::size_t round = 1; round <= 2; round++) {
        TestClient kept(world.loop, world.proxy->port());
        kept.send(ProxyWorld::request("POST", "/call/1", "r" + std::to_string(round)));
        ASSERT_TRUE(world.run([&world, round] {
            return world.first.requests.size() + world.second.requests.size() == round;
        }));
        for (int n = 0; n < 2; n++) {
            TestClient turnedAway(world.loop, world.proxy->port());
            EXPECT_TRUE(world.run([&turnedAway] {
                return turnedAway.isClosed;
            }));
            EXPECT_TRUE(turnedAway.received.empty());
        }
        EXPECT_EQ(world.lineCount("peer=clients"), 1U);
        EXPECT_FALSE(kept.isClosed);
        EXPECT_EQ(world.proxy->clientCount(), 1U);
        kept.close();
        EXPECT_TRUE(world.run([&world] {
            return world.proxy->clientCount() == 0;
        }));
    }
}

// Guards against clients that occupy all connections without a request.
TEST(ProxyLimit, AFurtherClientReplacesOneWithoutARequest)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{goodAnswer("ok")};
        },
        [](ProxySettings &settings) {
            settings.maxClients = 1;
        });
    ASSERT_TRUE(world.start());
    TestClient idle(world.loop, world.proxy->port());
    ASSERT_TRUE(world.run([&world] {
        return world.proxy->clientCount() == 1;
    }));
    TestClient unfinished(world.loop, world.proxy->port());
    unfinished.send("POST /call/1 HTTP/1.1\r\n");
    EXPECT_TRUE(world.run([&idle] {
        return idle.isClosed;
    }));
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/1", "r1"))), 200U);
    EXPECT_TRUE(world.run([&unfinished] {
        return unfinished.isClosed;
    }));
    EXPECT_EQ(unfinished.received.find("HTTP/1.1 503"), 0U);
    EXPECT_EQ(world.lineCount("reason=connections"), 1U);
    EXPECT_EQ(world.proxy->metrics().text().find("turned_away"), std::string::npos);
}

// Guards against a server that crashes because it holds more requests than its memory allows. A single request is always sent.
TEST(ProxyLimit, RequestsBeyondTheBytesOfAServerGoElsewhereOrAreRefused)
{
    ProxyWorld world(
        [](const std::string &) {
            return Script{};
        },
        [](ProxySettings &settings) {
            settings.maxServerBytes = 1000;
        });
    ASSERT_TRUE(world.start());
    const std::string body(1500, 'x');
    TestClient first(world.loop, world.proxy->port());
    first.send(ProxyWorld::request("POST", "/call/1", "r1", {}, body));
    TestClient second(world.loop, world.proxy->port());
    second.send(ProxyWorld::request("POST", "/call/2", "r2", {}, body));
    ASSERT_TRUE(world.run([&world] {
        return world.first.requests.size() == 1 && world.second.requests.size() == 1;
    }));
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/3", "r3", {}, body))), 503U);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), 2U);
}

} // namespace Vanillahall::Forward
