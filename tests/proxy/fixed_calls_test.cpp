/** Checks byte for byte what proxies send each other, since proxies of different releases call the store for each other. */
#include "message_server.h"
#include "proxy_world.h"
#include "store_caller.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration Limit = std::chrono::seconds(5);

/** @return What a proxy sends to another one with a call, its port replaced by "PORT". */
std::string sentFor(const Platform::StoreRequest &request)
{
    boost::asio::io_context loop;
    ScriptedPeer peer(loop, [](const std::string &) {
        return Script{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
    });
    StoreCaller caller(loop, {"127.0.0.1", peer.port()});
    bool isAnswered = false;
    caller.call(request, Limit, [&isAnswered](const auto &reply, const Error &) {
        isAnswered = reply.has_value();
    });
    while (!isAnswered && loop.run_one_for(Limit) != 0) { }
    std::string text = peer.requests.empty() ? std::string() : peer.requests.front();
    const auto port = std::to_string(peer.port());
    const auto at = text.find(port);
    return at == std::string::npos ? text : text.replace(at, port.size(), "PORT");
}

} // namespace

TEST(FixedCalls, OfProxiesForEachOtherAreSentAsBefore)
{
    const Platform::StoreRequest read{"GET", "/api/rows-get?table=t", ""};
    const Platform::StoreRequest write{"POST", "/api/rows-tx", "{}"};
    EXPECT_TRUE(Platform::isRelayableCall(read));
    EXPECT_TRUE(Platform::isRelayableCall(write));
    EXPECT_EQ(sentFor(read), "GET /api/rows-get?table=t HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n");
    EXPECT_EQ(sentFor(write),
              "POST /api/rows-tx HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
}

TEST(FixedCalls, OfProxiesForEachOtherAreAnsweredAsBefore)
{
    boost::asio::io_context loop;
    MessageServer server(loop, [](const MessageRequest &request, const MessageServer::Reply &answer) {
        answer({200, "application/json", request.method + " " + request.target + " " + request.body});
    });
    Error reason;
    ASSERT_TRUE(server.listen({"127.0.0.1", 0}, reason)) << reason.message;
    tcp::socket client(loop);
    client.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    boost::asio::write(client, boost::asio::buffer(std::string("POST /api/rows-tx HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")));
    std::string text;
    bool isAnswered = false;
    boost::asio::async_read_until(client, boost::asio::dynamic_buffer(text), "{}", [&isAnswered](const auto &ec, std::size_t) {
        isAnswered = !ec;
    });
    while (!isAnswered && loop.run_one_for(Limit) != 0) { }
    EXPECT_EQ(text, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 20\r\n\r\nPOST /api/rows-tx {}");
}

} // namespace Vanillahall::Forward
