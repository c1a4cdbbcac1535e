/** Servers and clients that send endless data where the protocol sets no limit. Such a peer could exhaust the memory of the proxy. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t OversizedBytes = std::size_t{6} * 1024 * 1024; ///< More than any limit of the proxy.

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

std::string chunkedHead()
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace

/** An endless response of a server. */
struct EndlessAnswer
{
    const char *name;
    std::string begin;  ///< Sent first.
    std::string repeat; ///< Sent repeatedly.
    const char *path;   ///< Route of the request.
    unsigned status;    ///< Status that the client gets.
};

class ProxyEndless : public ::testing::TestWithParam<EndlessAnswer>
{
};

TEST_P(ProxyEndless, ResponseIsAbortedAtALimit)
{
    const auto &param = GetParam();
    const std::string bytes = param.begin + repeated(param.repeat, OversizedBytes);
    ProxyWorld world([&bytes](const std::string &) {
        return Script{bytes};
    });
    ASSERT_TRUE(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", param.path, "r1", "Deadline-Ms: 4000\r\n", "in"));
    EXPECT_EQ(statusOf(answer), param.status);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
    // A size limit ends the request, not its deadline.
    EXPECT_FALSE(world.hasLine("outcome=time_limit"));
    EXPECT_LT(answer.size(), OversizedBytes / 4);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyEndless,
    ::testing::Values(EndlessAnswer{"statusLine", "HTTP/1.1 200 ", "x", "/once/1", 502},
                      EndlessAnswer{"head", "HTTP/1.1 200 OK\r\n", "A: b\r\n", "/once/1", 502},
                      EndlessAnswer{"interimHeads", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "/once/1", 502},
                      EndlessAnswer{"otherAnswers", "", "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 1\r\n\r\nx", "/once/1", 502},
                      EndlessAnswer{
                          "otherBody", "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 90000000\r\n\r\n", "x", "/once/1", 502},
                      EndlessAnswer{"chunkExtension", chunkedHead() + "1;", "x", "/once/1", 502},
                      EndlessAnswer{"chunkSize", chunkedHead(), "0", "/once/1", 502},
                      EndlessAnswer{"trailer", chunkedHead() + "1\r\nx\r\n0\r\n", "A: b\r\n", "/once/1", 502},
                      EndlessAnswer{"event", streamHead() + "7fffffff\r\nid: 1\ndata: ", "x", "/stream/1", 502},
                      EndlessAnswer{"emptyEvents", streamHead() + "7fffffff\r\n", "\n\n", "/stream/1", 200},
                      EndlessAnswer{"chunkExtensionOfAStream", streamHead() + eventChunk(1) + "1;", "x", "/stream/1", 200}),
    [](const auto &it) {
        return it.param.name;
    });

/** An endless request of a client. */
struct EndlessRequest
{
    const char *name;
    std::string begin;
    std::string repeat;
};

class ProxyEndlessClient : public ::testing::TestWithParam<EndlessRequest>
{
};

TEST_P(ProxyEndlessClient, IsRefusedAtALimit)
{
    const auto &param = GetParam();
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    TestClient client(world.loop, world.proxy->port());
    client.sendLater(param.begin + repeated(param.repeat, OversizedBytes));
    EXPECT_TRUE(world.run([&client] {
        return statusOf(client.received) != 0 || client.isClosed;
    }));
    EXPECT_TRUE(world.hasLine("1101 status=4"));
    // A size limit ends the request, not the time-out, which each received byte may extend.
    EXPECT_FALSE(world.hasLine("1101 status=408"));
    EXPECT_TRUE(world.first.requests.empty() && world.second.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyEndlessClient,
    ::testing::Values(
        EndlessRequest{"target", "POST /call/", "x"},
        EndlessRequest{"head", "POST /call/1 HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
        EndlessRequest{"emptyLines", "", "\r\n"},
        EndlessRequest{"chunkExtension", "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
        EndlessRequest{"trailer",
                       "POST /call/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                       "A: b\r\n"}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
