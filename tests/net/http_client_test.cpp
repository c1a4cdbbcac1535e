#include "net_fixture.h"
#include "raw_socket.h"

namespace Vanillahall {

namespace {

constexpr Duration ShortTimeout = std::chrono::milliseconds(60);

/** Behaviour of a faulty server, and what the client must report. */
struct BadServer
{
    std::string name;                  ///< Name of the test case.
    std::string reply;                 ///< Bytes the server sends after receiving the request.
    bool closes;                       ///< True if it closes the connection afterwards.
    bool resets;                       ///< True if it resets the connection afterwards.
    std::optional<HttpProgress> fails; ///< Progress reported with the failure; empty if the request succeeds.
    bool timesOut;                     ///< True if a timeout expires.
    std::string body;                  ///< Body the client receives.
};

std::ostream &operator<<(std::ostream &out, const BadServer &server)
{
    return out << server.name;
}

class BadServerTest : public testing::TestWithParam<BadServer>
{
};

TEST_P(BadServerTest, ReportsProgressAndTimeout)
{
    const BadServer &server = GetParam();
    NetFixture net;
    const RawListener listener;
    HttpClientRequest request = net.request("/x", "{}");
    request.port = listener.port();
    request.inactivityTimeout = ShortTimeout;
    ClientResult result;
    net.send(request, result);
    int fd = -1;
    net.runUntil([&] {
        fd = listener.accept();
        return fd >= 0;
    });
    RawSocket peer(fd);
    net.runUntil([&] {
        return peer.text().ends_with("{}");
    });
    peer.send(server.reply);
    if (server.resets) {
        peer.reset();
    } else if (server.closes) {
        const RawSocket closing = std::move(peer);
    }
    net.runUntil([&] {
        return result.ended || result.failure;
    });
    EXPECT_EQ(result.ended, !server.fails);
    EXPECT_EQ(result.body, server.body);
    if (server.fails) {
        ASSERT_TRUE(result.failure);
        EXPECT_EQ(result.failure->progress, *server.fails) << result.failure->message;
        EXPECT_EQ(result.failure->timedOut, server.timesOut) << result.failure->message;
    }
}

constexpr std::optional<HttpProgress> Succeeds;

INSTANTIATE_TEST_SUITE_P(
    Http,
    BadServerTest,
    testing::Values(
        BadServer{"ClosesWithoutAnswer", "", true, false, HttpProgress::Sent, false, ""},
        BadServer{"ResetsWithoutAnswer", "", false, true, HttpProgress::Sent, false, ""},
        BadServer{"StaysSilent", "", false, false, HttpProgress::Sent, true, ""},
        BadServer{"StopsInTheHead", "HTTP/1.1 200 OK\r\nContent-", true, false, HttpProgress::Sent, false, ""},
        BadServer{"NoHttp", "SSH-2.0-x\r\n\r\n", true, false, HttpProgress::Sent, false, ""},
        BadServer{"ClosesInTheBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true, false, HttpProgress::Answered, false, "abc"},
        BadServer{"SilentInTheBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false, false, HttpProgress::Answered, true, "abc"},
        BadServer{"ClosesBetweenChunks",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                  true,
                  false,
                  HttpProgress::Answered,
                  false,
                  "abc"},
        BadServer{
            "ResetsBetweenChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, true, HttpProgress::Answered, false, ""},
        BadServer{"WholeWithLength", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, false, Succeeds, false, "abc"},
        BadServer{"WholeInChunks",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                  false,
                  false,
                  Succeeds,
                  false,
                  "abcde"},
        BadServer{"LastChunkWithTheClose",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                  true,
                  false,
                  Succeeds,
                  false,
                  "abc"},
        BadServer{"EmptyInChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, false, Succeeds, false, ""},
        BadServer{"WholeAtClose", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", true, false, Succeeds, false, "abc"},
        BadServer{"WholeAndEmpty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, false, Succeeds, false, ""},
        BadServer{"NoContent", "HTTP/1.1 204 No Content\r\n\r\n", false, false, Succeeds, false, ""},
        BadServer{"Redirect", "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", false, false, Succeeds, false, ""}),
    [](const auto &info) {
        return info.param.name;
    });

TEST(HttpClientTest, LastChunkMayArriveInSeveralReads)
{
    NetFixture net;
    const RawListener listener;
    HttpClientRequest request = net.request("/x");
    request.port = listener.port();
    ClientResult result;
    net.send(request, result);
    int fd = -1;
    net.runUntil([&] {
        fd = listener.accept();
        return fd >= 0;
    });
    RawSocket peer(fd);
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    net.runUntil([&] {
        return result.body == "abc";
    });
    for (const char *part : {"0", "\r", "\n", "\r"}) {
        peer.send(part);
        net.loop.runOnce(std::chrono::milliseconds(5));
        EXPECT_FALSE(result.ended || result.failure);
    }
    peer.send("\n");
    net.runUntil([&] {
        return result.ended || result.failure;
    });
    EXPECT_TRUE(result.ended);
}

TEST(HttpClientTest, RefusedConnectionReportsNotSent)
{
    NetFixture net;
    std::uint16_t port = 0;
    {
        const RawListener listener;
        port = listener.port();
    }
    HttpClientRequest request = net.request("/x");
    request.port = port;
    const ClientResult result = net.exchange(request);
    ASSERT_TRUE(result.failure);
    EXPECT_EQ(result.failure->progress, HttpProgress::NotSent);
    EXPECT_FALSE(result.failure->timedOut);
}

TEST(HttpClientTest, ConnectTimeoutReportsNotSent)
{
    NetFixture net;
    const RawListener listener(0);
    const RawSocket first = RawSocket::connectTo(listener.port());
    ClientResult second;
    ClientResult third;
    HttpClientRequest request = net.request("/x");
    request.port = listener.port();
    request.connectTimeout = ShortTimeout;
    request.inactivityTimeout = ShortTimeout;
    net.send(request, second);
    net.send(request, third);
    net.runUntil([&] {
        return second.failure && third.failure;
    });
    EXPECT_EQ(third.failure->progress, HttpProgress::NotSent);
    EXPECT_TRUE(third.failure->timedOut);
}

TEST(HttpClientTest, TotalTimeoutEndsActiveStream)
{
    NetFixture net;
    HttpExchangeId open;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        open = id;
        net.server->beginStream(id, HttpResponse());
    };
    HttpClientRequest request = net.request("/x");
    request.totalTimeout = ShortTimeout;
    ClientResult result;
    net.send(request, result);
    net.runUntil([&] {
        net.server->sendPiece(open, "x");
        return result.failure.has_value();
    });
    EXPECT_EQ(result.failure->progress, HttpProgress::Answered);
    EXPECT_TRUE(result.failure->timedOut);
    net.runUntil([&] {
        return !net.closed.empty();
    });
    EXPECT_EQ(net.closed, std::vector<HttpExchangeId>{open});
}

TEST(HttpClientTest, CancelledRequestCallsNoHandlerAndClosesTheExchange)
{
    NetFixture net;
    ClientResult result;
    const HttpExchangeId id = net.send(net.request("/hang"), result);
    ClientResult never;
    net.client.cancel(net.send(net.request("/never"), never));
    net.onRequest = [](HttpExchangeId, HttpRequest &&) {};
    net.runUntil([&] {
        return !net.requests.empty();
    });
    net.client.cancel(id);
    net.runUntil([&] {
        return !net.closed.empty();
    });
    EXPECT_EQ(net.requests, std::vector<std::string>{"/hang"});
    EXPECT_FALSE(result.ended || result.failure || never.ended || never.failure);
}

TEST(HttpClientTest, HungAndStreamingRequestsDoNotDelayOthers)
{
    constexpr std::size_t Count = 50;
    NetFixture net;
    HttpExchangeId stream;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&request) {
        if (request.path == "/stream") {
            stream = id;
            net.server->beginStream(id, HttpResponse());
        } else if (request.path != "/hang") {
            net.answer(id, request.path);
        }
    };
    ClientResult hung;
    ClientResult streamed;
    net.send(net.request("/hang"), hung);
    net.send(net.request("/stream"), streamed);
    for (int round = 0; round < 3; ++round) {
        std::vector<ClientResult> results(Count);
        for (std::size_t i = 0; i < Count; ++i) {
            net.send(net.request("/" + std::to_string(i)), results[i]);
        }
        net.runUntil([&] {
            return std::all_of(results.begin(), results.end(), [](const ClientResult &it) {
                return it.ended;
            });
        });
        for (std::size_t i = 0; i < Count; ++i) {
            EXPECT_EQ(results[i].body, "/" + std::to_string(i));
        }
        EXPECT_FALSE(hung.ended || hung.failure || streamed.ended || streamed.failure);
    }
    net.server->endStream(stream);
    net.runUntil([&] {
        return streamed.ended;
    });
    EXPECT_FALSE(hung.ended || hung.failure);
}

TEST(HttpClientTest, LargeBodiesAreSentBothWays)
{
    HttpServerSettings settings;
    settings.maxBody = std::size_t{8} * 1024 * 1024;
    NetFixture net(settings);
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&request) {
        net.answer(id, std::move(request.body));
    };
    std::string body(settings.maxBody, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>('a' + i % 23);
    }
    const ClientResult result = net.exchange(net.request("/x", body));
    EXPECT_TRUE(result.body == body);
}

TEST(HttpClientTest, StoppedListenerCompletesOpenRequestsOnly)
{
    NetFixture net;
    HttpExchangeId open;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        open = id;
    };
    ClientResult result;
    net.send(net.request("/x"), result);
    net.runUntil([&] {
        return !net.requests.empty();
    });
    net.server->stopListening();
    RawSocket late = RawSocket::connectTo(net.port);
    net.answer(open, "fine");
    net.runUntil([&] {
        return result.ended;
    });
    EXPECT_EQ(result.body, "fine");
    EXPECT_TRUE(late.ended());
}

} // namespace

} // namespace Vanillahall
