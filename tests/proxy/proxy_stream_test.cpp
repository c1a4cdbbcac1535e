/** Event streams, and clients that are slow or disconnect. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr const char *NotRun = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST(ProxyStream, ForwardsOnlyCompleteEvents)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1) + eventChunk(2) + "9\r\nid: 3\nda", true};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/stream/1", "r1"));
    EXPECT_NE(answer.find("id: 2\n"), std::string::npos);
    EXPECT_EQ(answer.find("id: 3"), std::string::npos);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST(ProxyStream, ContinuesAtAnotherServerAfterTheLastCompleteEvent)
{
    std::size_t requestCount = 0;
    std::string resumed;
    ProxyWorld world([&](const std::string &request) {
        if (requestCount++ == 0) {
            return Script{streamHead() + eventChunk(1) + eventChunk(2) + "9\r\nid: 3\nda", true};
        }
        resumed = request;
        return Script{streamHead() + eventChunk(2) + eventChunk(3) + "0\r\n\r\n"};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/resumed/1", "r1"));
    EXPECT_NE(resumed.find("\r\nLast-Event-Id: 2\r\n"), std::string::npos);
    EXPECT_NE(answer.find("id: 3\n"), std::string::npos);
    EXPECT_EQ(answer.find("id: 2\n"), answer.rfind("id: 2\n"));
    EXPECT_NE(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST(ProxyStream, AbortsWithoutASecondHeadIfNoServerContinues)
{
    std::size_t requestCount = 0;
    ProxyWorld world([&](const std::string &) {
        return requestCount++ == 0 ? Script{streamHead() + eventChunk(1), true} : Script{NotRun};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/resumed/1", "r1"));
    EXPECT_NE(answer.find("id: 1\n"), std::string::npos);
    EXPECT_EQ(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

// The framing of the first attempt's response decided whether the end of the second one was complete.
TEST(ProxyStream, AResumedStreamThatEndsInsideAnEventIsNotComplete)
{
    std::size_t requestCount = 0;
    ProxyWorld world([&](const std::string &) {
        if (requestCount++ == 0) {
            return Script{streamHead() + eventChunk(1), true};
        }
        return Script{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n"
                      "id: 2\ndata: e\n\nid: 3\nda",
                      true};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/resumed/1", "r1"));
    EXPECT_NE(answer.find("id: 2\n"), std::string::npos);
    EXPECT_EQ(answer.find("id: 3"), std::string::npos);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

/** Response of the next server to a stream that has begun and broken off. */
struct ForeignAnswerCase
{
    const char *name;   ///< For the test's name.
    std::string answer; ///< Response; contains the word "trouble".
};

class ProxyForeignAnswer : public ::testing::TestWithParam<ForeignAnswerCase>
{
};

// Clients found the text of an error in the middle of their stream, which then ended as if it were complete.
TEST_P(ProxyForeignAnswer, DoesNotGetIntoAStreamThatAnotherServerBegan)
{
    std::size_t requestCount = 0;
    ProxyWorld world([&](const std::string &) {
        return requestCount++ == 0 ? Script{streamHead() + eventChunk(1), true} : Script{GetParam().answer, true};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/resumed/1", "r1"));
    EXPECT_EQ(requestCount, 2U);
    EXPECT_NE(answer.find("id: 1\n"), std::string::npos);
    EXPECT_EQ(answer.find("HTTP/1.1 500"), std::string::npos);
    EXPECT_EQ(answer.find("trouble"), std::string::npos);
    EXPECT_EQ(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyForeignAnswer,
    ::testing::Values(
        ForeignAnswerCase{"error", "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 7\r\n\r\ntrouble"},
        ForeignAnswerCase{"unsignedError", "HTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\ntrouble"},
        ForeignAnswerCase{"successWithoutType", goodAnswer("trouble")},
        ForeignAnswerCase{"plainText", goodAnswer("trouble", "Content-Type: text/plain\r\n")},
        ForeignAnswerCase{"plainTextWithEmptyLines", goodAnswer("trouble\n\ntrouble\n\n", "Content-Type: text/plain\r\n")},
        ForeignAnswerCase{"plainTextInTheFormOfAnEvent", goodAnswer("error: trouble\n\n", "Content-Type: text/plain\r\n")},
        ForeignAnswerCase{"plainTextInChunks",
                          "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/plain\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n7\r\ntrouble\r\n0\r\n\r\n"},
        ForeignAnswerCase{"textInsideAnEventStream", streamHead() + "7\r\ntrouble\r\n0\r\n\r\n"},
        ForeignAnswerCase{"wholeHeadInsideAnEventStream", streamHead() + "1f\r\nHTTP/1.1 500 X\r\nA: b\r\n\r\ntrouble\r\n0\r\n\r\n"},
        ForeignAnswerCase{"oldEventWithoutItsEmptyLine", streamHead() + "13\r\nid: 1\ndata: trouble\r\n0\r\n\r\n"},
        ForeignAnswerCase{"textWithoutHead", "trouble\r\n"}),
    [](const auto &it) {
        return it.param.name;
    });

/** Response that is cut after each of its bytes. */
struct CutCase
{
    const char *name;   ///< For the test's name.
    const char *path;   ///< Target of the request.
    std::string answer; ///< The whole response.
};

class ProxyCut : public ::testing::TestWithParam<CutCase>
{
};

// A response that was cut inside its head reached clients as a success with an empty or short body.
TEST_P(ProxyCut, AResponseThatEndsEarlyIsNeverASuccess)
{
    std::size_t cut = 0;
    ProxyWorld world([&cut](const std::string &) {
        return Script{GetParam().answer.substr(0, cut), true};
    });
    ASSERT_TRUE(world.start());
    for (cut = 0; cut < GetParam().answer.size(); cut++) {
        // Different paths, since each of them breaks a connection.
        const auto id = "r" + std::to_string(cut);
        const auto answer = world.ask(ProxyWorld::request("POST", GetParam().path + id, id, {}, id));
        EXPECT_TRUE(world.first.countWithId(id) + world.second.countWithId(id) != 0) << "not sent";
        const bool isSuccess = statusOf(answer) == 200;
        const bool isComplete = answer.find("\r\n0\r\n\r\n") != std::string::npos || answer.find("Content-Length") != std::string::npos;
        EXPECT_FALSE(isSuccess && isComplete) << "cut after " << cut << " bytes: " << answer;
    }
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", GetParam().path, "whole", {}, "whole"))), 200U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyCut,
    ::testing::Values(CutCase{"withLength",
                              "/once/1",
                              "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 5\r\n\r\nwhole"},
                      CutCase{"inChunks",
                              "/once/1",
                              "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nwhole\r\n0\r\n\r\n"},
                      CutCase{"stream", "/stream/1", streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(ProxyStream, AnOverlongEventIsDropped)
{
    const std::string endless(std::size_t{300} * 1024, 'x');
    ProxyWorld world([&endless](const std::string &) {
        return Script{streamHead() + eventChunk(1) + "4b000\r\n" + endless + "\r\n"};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", "/stream/1", "r1"));
    EXPECT_NE(answer.find("id: 1\n"), std::string::npos);
    EXPECT_EQ(answer.find("xxx"), std::string::npos);
    EXPECT_TRUE(world.hasLine("event too long"));
}

TEST(ProxyStream, AClientDisconnectClosesTheServerConnection)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1)};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.send(ProxyWorld::request("POST", "/stream/1", "r1"));
    ASSERT_TRUE(world.run([&client] {
        return client.received.find("id: 1") != std::string::npos;
    }));
    client.close();
    EXPECT_TRUE(world.run([&world] {
        return world.first.closed + world.second.closed == 1;
    }));
}

TEST(ProxyEarly, AResponseBeforeTheEndOfTheRequestBodyIsForwarded)
{
    ProxyWorld world([](const std::string &) {
        return Script{"HTTP/1.1 413 X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n", true, false, true};
    });
    world.first.answersEarly = true;
    world.second.answersEarly = true;
    const std::string limit = "\"maxBodyBytes\":20000";
    world.rows.config.replace(world.rows.config.find(limit), limit.size(), "\"maxBodyBytes\":20000000");
    ASSERT_TRUE(world.start());
    const std::string large(std::size_t{16} * 1024 * 1024, 'x');
    for (int n = 0; n < 5; n++) {
        TestClient client(world.loop, world.proxy->port());
        client.sendLater(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(n), {}, large));
        EXPECT_TRUE(world.run([&client] {
            return client.received.find("\r\n\r\n") != std::string::npos || client.isClosed;
        }));
        EXPECT_EQ(statusOf(client.received), 413U);
        client.close();
        world.run([&client] {
            return client.isClosed;
        });
    }
}

TEST(ProxyStream, ABrokenStreamIsResetForAnHttp10Client)
{
    ProxyWorld world([](const std::string &) {
        return Script{streamHead() + eventChunk(1), true};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.send("POST /stream/1 HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n\r\n");
    ASSERT_TRUE(world.run([&client] {
        return client.isClosed;
    }));
    EXPECT_TRUE(client.isReset);
}

TEST(ProxyClient, AClientThatDoesNotReadItsResponseIsDisconnected)
{
    const std::string large(std::size_t{8} * 1024 * 1024, 'x');
    ProxyWorld world([&large](const std::string &) {
        return Script{goodAnswer(large)};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.stopReading();
    client.send(ProxyWorld::request("GET", "/call/1", "r1", "Connection: close\r\n"));
    ASSERT_TRUE(world.run([&world] {
        return world.proxy->clientCount() == 1;
    }));
    EXPECT_TRUE(world.run([&world] {
        return world.proxy->clientCount() == 0;
    }));
}

} // namespace Vanillahall::Forward
