/** Processor time for the worst heads of the permitted size, beside a plain head of the same size; for requests and responses. */
#include "request_reader.h"
#include "server_connection.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>

#include <boost/asio/write.hpp>

namespace Vanillahall::Forward {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t RequestHeadBytes = 15600;
constexpr std::size_t ResponseHeadBytes = 60000;
constexpr std::size_t MaxHeaderBytes = 16384;
constexpr int Runs = 50;

std::string repeat(std::string_view part, std::size_t bytes)
{
    std::string text;
    while (text.size() + part.size() <= bytes) {
        text.append(part);
    }
    return text;
}

std::string tokens(std::size_t bytes)
{
    return "Connection: a" + repeat(",a", bytes) + "\r\n";
}

/** @return Processor time of this thread in microseconds for one of several calls. */
double microseconds(const std::function<void()> &act)
{
    const auto begin = std::clock();
    for (int n = 0; n < Runs; n++) {
        act();
    }
    return 1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / Runs;
}

void readRequest(const std::string &fields, const std::string &body)
{
    RequestReader reader;
    std::string in = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n" + fields + "\r\n" + body;
    ClientLimits limits;
    limits.maxHeaderBytes = MaxHeaderBytes;
    if (reader.read(in, limits, TimePoint()) != RequestReader::Progress::Complete) {
        std::printf("refused: %s\n", reader.error().message.c_str());
    }
}

/** Counts the responses that it receives. */
class Listener : public ServerConnectionListener
{
public:
    bool onConnected() override
    {
        return true;
    }
    bool onResponseHead(const ResponseHead &) override
    {
        return true;
    }
    BodyAction onResponseBody(std::string_view) override
    {
        return BodyAction::More;
    }
    void onResponseComplete() override
    {
        isDone = true;
    }
    void onConnectionFailure(const ServerConnectionFailure &failure) override
    {
        std::printf("failed: %s\n", failure.message.c_str());
        isDone = true;
    }

    bool isDone = false;
};

/** Sends a response through a connection of its own; the time includes both sides of it. */
void readResponse(const std::string &fields, const std::string &body)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto text = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n" + fields + "\r\n" + body;
    tcp::socket peer(loop);
    acceptor.async_accept(peer, [&](const boost::system::error_code &) {
        boost::asio::async_write(peer, boost::asio::buffer(text), [](const boost::system::error_code &, std::size_t) {});
    });
    Server server;
    server.address = "127.0.0.1";
    server.port = acceptor.local_endpoint().port();
    const auto connection = std::make_shared<ServerConnection>(loop, server, [](const auto &, bool) {});
    Listener listener;
    connection->send(&listener, "GET / HTTP/1.1\r\n\r\n", "r", false);
    while (!listener.isDone) {
        loop.run_one();
    }
    connection->abandon();
}

struct Head
{
    const char *name;
    std::string fields;
    std::string body;
};

std::vector<Head> heads(std::size_t bytes)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string length = "Content-Length: 0\r\n";
    // The number of fields of a request is limited to an eighth of its bytes.
    const auto fields = repeat("b:\r\n", bytes / 2);
    return {{"one long field", length + "Long: " + std::string(bytes, 'a') + "\r\n", ""},
            {"short fields", length + fields, ""},
            {"tokens", length + tokens(bytes), ""},
            {"tokens and fields", length + tokens(bytes / 2) + fields, ""},
            {"Connection fields", length + repeat("Connection: a\r\n", bytes), ""},
            {"trailer", chunked, "0\r\n" + fields + "\r\n"},
            {"chunk extension", chunked, "0;" + std::string(bytes / 2, 'e') + "\r\n\r\n"},
            {"chunk extensions", chunked, repeat("1;e\r\nx\r\n", bytes) + "0\r\n\r\n"}};
}

} // namespace

} // namespace Vanillahall::Forward

int main()
{
    using namespace Vanillahall::Forward;
    for (const auto &it : heads(RequestHeadBytes)) {
        std::printf("request, %s: %.0f us\n", it.name, microseconds([&it] {
                        readRequest(it.fields, it.body);
                    }));
    }
    for (const auto &it : heads(ResponseHeadBytes)) {
        std::printf("response, %s: %.0f us\n", it.name, microseconds([&it] {
                        readResponse(it.fields, it.body);
                    }));
    }
}
