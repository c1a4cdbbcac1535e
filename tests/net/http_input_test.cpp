#include "net_fixture.h"
#include "raw_socket.h"

namespace Vanillahall {

namespace {

constexpr std::size_t MaxBody = 1000;
constexpr std::size_t LongHeader = std::size_t{40} * 1024;

/** Invalid input that must not reach the handler. */
struct BadInput
{
    std::string name;   ///< Name of the test case.
    std::string bytes;  ///< Bytes the caller sends.
    std::string status; ///< Start of the response; empty if the connection is closed without one.
    std::string code;   ///< Error code in the response body; empty if no JSON error is expected.
};

std::ostream &operator<<(std::ostream &out, const BadInput &input)
{
    return out << input.name;
}

class BadInputTest : public testing::TestWithParam<BadInput>
{
};

TEST_P(BadInputTest, IsRejectedWithoutAffectingOthers)
{
    HttpServerSettings settings;
    settings.maxBody = MaxBody;
    NetFixture net(settings);
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        net.answer(id, "fine");
    };
    RawSocket caller = RawSocket::connectTo(net.port);
    caller.send(GetParam().bytes);
    const std::string &wanted = GetParam().status;
    net.runUntil([&] {
        return wanted.empty() ? caller.ended() : caller.text().find("}}") != std::string::npos || caller.ended();
    });
    EXPECT_TRUE(net.requests.empty());
    EXPECT_EQ(caller.text().substr(0, wanted.size()), wanted);
    if (!GetParam().code.empty()) {
        EXPECT_NE(caller.text().find(R"({"error":{"code":")" + GetParam().code + R"(","run":"not_run","step":"decode","peer":"127.0.0.1:)"),
                  std::string::npos)
            << caller.text();
    }
    EXPECT_EQ(net.exchange(net.request("/next")).body, "fine");
    EXPECT_EQ(net.requests, std::vector<std::string>{"/next"});
    EXPECT_TRUE(net.closed.empty());
}

std::string post(const std::string &headers, const std::string &body)
{
    return "POST /bad HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

INSTANTIATE_TEST_SUITE_P(
    Http,
    BadInputTest,
    testing::Values(
        BadInput{"BodyTooLarge", post("Content-Length: 1001\r\n", std::string(1001, 'x')), "HTTP/1.1 413", "too_large"},
        BadInput{"AnnouncedBodyTooLarge", post("Content-Length: 99999999999\r\n", "x"), "HTTP/1.1 413", "too_large"},
        BadInput{"LengthIsNoNumber", post("Content-Length: five\r\n", "hello"), "HTTP/1.1 400", "bad_request"},
        BadInput{"LengthHasTail", post("Content-Length: 5x\r\n", "hello"), "HTTP/1.1 400", "bad_request"},
        BadInput{"LengthIsNegative", post("Content-Length: -5\r\n", "hello"), "HTTP/1.1 400", "bad_request"},
        BadInput{"LengthOverflows", post("Content-Length: 99999999999999999999999\r\n", "hello"), "HTTP/1.1 400", "bad_request"},
        BadInput{"ChunkedBody", post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"), "HTTP/1.1 411", "bad_request"},
        BadInput{"HeaderTooLong", "GET /bad HTTP/1.1\r\nX-Long: " + std::string(LongHeader, 'h') + "\r\n\r\n", "", ""},
        BadInput{"PathTooLong", "GET /" + std::string(LongHeader, 'p') + " HTTP/1.1\r\nHost: a\r\n\r\n", "", ""},
        BadInput{"UnknownMethod", "BREW /bad HTTP/1.1\r\nHost: a\r\n\r\n", "", ""},
        BadInput{"NoHttp", std::string("\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03", 11) + "\r\n\r\n", "", ""},
        BadInput{"NoPath", "GET\r\n\r\n", "", ""}),
    [](const auto &info) {
        return info.param.name;
    });

class SlowCallerTest : public testing::Test
{
public:
    static HttpServerSettings settings()
    {
        HttpServerSettings it;
        it.bodyTimeout = std::chrono::milliseconds(60);
        it.sendTimeout = std::chrono::milliseconds(60);
        it.idleTimeout = std::chrono::milliseconds(60);
        it.maxUnsent = std::size_t{1024} * 1024;
        return it;
    }

    NetFixture net{settings()};
};

TEST_F(SlowCallerTest, BodySentAByteAtATimeTimesOut)
{
    RawSocket caller = RawSocket::connectTo(net.port);
    caller.send(post("Content-Length: 100000\r\n", ""));
    net.runUntil([&] {
        caller.send("x");
        return caller.text().find("}}") != std::string::npos;
    });
    EXPECT_TRUE(caller.text().starts_with("HTTP/1.1 408"));
    EXPECT_NE(caller.text().find(R"("code":"timeout","run":"not_run","step":"decode")"), std::string::npos);
    net.runUntil([&] {
        return caller.ended();
    });
    EXPECT_TRUE(net.requests.empty());
    EXPECT_EQ(net.server->openExchanges(), 0U);
}

TEST_F(SlowCallerTest, HeaderSentAByteAtATimeIsDisconnected)
{
    RawSocket caller = RawSocket::connectTo(net.port);
    caller.send("GET /slow HTTP/1.1\r\nX-Slow: ");
    net.runUntil([&] {
        caller.send("x");
        return caller.ended();
    });
    EXPECT_TRUE(net.requests.empty());
}

TEST_F(SlowCallerTest, IdleConnectionIsClosed)
{
    RawSocket caller = RawSocket::connectTo(net.port);
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        net.answer(id, "fine");
    };
    caller.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
    net.runUntil([&] {
        return caller.ended();
    });
    EXPECT_TRUE(caller.text().ends_with("fine"));
}

TEST_F(SlowCallerTest, CallerThatNeverReadsIsDisconnectedAtTheSizeLimit)
{
    HttpExchangeId open;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        open = id;
        net.server->beginStream(id, HttpResponse());
    };
    const RawSocket caller = RawSocket::connectTo(net.port, 4096);
    caller.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string piece(std::size_t{256} * 1024, 'p');
    net.runUntil([&] {
        net.server->sendPiece(open, piece);
        return !net.closed.empty();
    });
    EXPECT_EQ(net.closed, std::vector<HttpExchangeId>{open});
    EXPECT_EQ(net.server->openExchanges(), 0U);
}

TEST_F(SlowCallerTest, CallerThatNeverReadsIsDisconnectedAfterTheTimeout)
{
    HttpExchangeId open;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        open = id;
        net.answer(id, std::string(std::size_t{16} * 1024 * 1024, 'w'));
    };
    const RawSocket caller = RawSocket::connectTo(net.port, 4096);
    caller.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    net.runUntil([&] {
        return !net.closed.empty();
    });
    EXPECT_EQ(net.closed, std::vector<HttpExchangeId>{open});
    EXPECT_EQ(net.server->openExchanges(), 0U);
}

/** How a caller disconnects. */
enum class Disconnect : std::uint8_t {
    Close, ///< It closes the connection.
    Reset, ///< It resets the connection.
};

class DisconnectTest : public testing::TestWithParam<std::tuple<Disconnect, bool>>
{
};

TEST_P(DisconnectTest, IsReportedOnce)
{
    const auto [disconnect, streaming] = GetParam();
    NetFixture net;
    HttpExchangeId open;
    net.onRequest = [&, stream = streaming](HttpExchangeId id, HttpRequest &&) {
        open = id;
        if (stream) {
            HttpResponse response;
            response.body = "first";
            net.server->beginStream(id, response);
        }
    };
    {
        RawSocket caller = RawSocket::connectTo(net.port);
        caller.send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
        net.runUntil([&, stream = streaming] {
            return !net.requests.empty() && (!stream || caller.text().ends_with("first\r\n"));
        });
        if (disconnect == Disconnect::Reset) {
            caller.reset();
        }
    }
    net.runUntil([&] {
        return !net.closed.empty();
    });
    net.server->sendPiece(open, "late");
    net.answer(open, "late");
    net.loop.runOnce(std::chrono::milliseconds(5));
    EXPECT_EQ(net.closed, std::vector<HttpExchangeId>{open});
    EXPECT_EQ(net.server->openExchanges(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Http, DisconnectTest, testing::Combine(testing::Values(Disconnect::Close, Disconnect::Reset), testing::Bool()));

} // namespace

// Guards against bodies that stall just short of their end and fill the memory, or shut further callers out.
TEST(HttpMemoryTest, AStalledBodyIsRefusedToMakeRoom)
{
    HttpServerSettings settings;
    settings.maxHeldBodies = MaxBody;
    NetFixture net(settings);
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        net.answer(id, "fine");
    };
    RawSocket stalled = RawSocket::connectTo(net.port);
    stalled.send(post("Content-Length: 1000\r\n", std::string(900, 'x')));
    RawSocket small = RawSocket::connectTo(net.port);
    net.runUntil([&] {
        return net.server->openExchanges() == 1;
    });
    small.send(post("Content-Length: 500\r\n", std::string(500, 'x')));
    net.runUntil([&] {
        return small.text().find("fine") != std::string::npos && stalled.text().find("}}") != std::string::npos;
    });
    EXPECT_EQ(stalled.text().find("HTTP/1.1 503"), 0U);
    EXPECT_EQ(small.text().find("HTTP/1.1 200"), 0U);
}

// Guards against connections without a request that shut further callers out.
TEST(HttpMemoryTest, AFurtherConnectionReplacesTheOldestWithoutARequest)
{
    HttpServerSettings settings;
    settings.maxConnections = 2;
    NetFixture net(settings);
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        net.answer(id, "fine");
    };
    RawSocket first = RawSocket::connectTo(net.port);
    RawSocket second = RawSocket::connectTo(net.port);
    EXPECT_EQ(net.exchange(net.request("/next")).body, "fine");
    net.runUntil([&] {
        return first.ended();
    });
    EXPECT_FALSE(second.ended());
}

} // namespace Vanillahall
