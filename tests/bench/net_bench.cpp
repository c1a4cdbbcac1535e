#include "vanillahall/net/http_client_base.h"
#include "vanillahall/net/http_server_base.h"
#include "vanillahall/net/link_base.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <unistd.h>

// Client and server run on one event loop in one process, so each figure is the sum of their costs.

namespace Vanillahall {

namespace {

constexpr int Requests = 20000;           ///< Requests of the HTTP measurement.
constexpr int MaxConcurrentRequests = 32; ///< Number of concurrent requests.
constexpr int Pieces = 200000;            ///< Body parts of the stream measurement.
constexpr int MaxPiecesInFlight = 64;     ///< Limit of sent parts that the client has not received.
constexpr int RoundTrips = 20000;         ///< Round trips of the link measurement.
constexpr int LinkMessages = 200000;      ///< Messages of the link's throughput measurement.

void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s: %.1f %s\n", name.c_str(), value, unit);
}

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

double secondsSince(TimePoint begin)
{
    return std::chrono::duration<double>(Loop::now() - begin).count();
}

void runUntil(Loop &loop, const std::function<bool()> &done)
{
    while (!done()) {
        loop.runOnce(std::chrono::seconds(1));
    }
}

/** HTTP server and client on one event loop. */
struct HttpPair
{
    HttpPair()
        : server(loop, HttpServerSettings(), handlers())
    {
        Error reason;
        port = server.listen(reason).value_or(0);
    }

    HttpServerHandlers handlers()
    {
        HttpServerHandlers it;
        it.onRequest = [this](HttpExchangeId id, HttpRequest &&request) {
            onRequest(id, std::move(request));
        };
        it.onClosed = [](HttpExchangeId) {};
        return it;
    }

    HttpClientRequest request(const std::string &body) const
    {
        HttpClientRequest it;
        it.address = "127.0.0.1";
        it.port = port;
        it.method = "POST";
        it.body = body;
        return it;
    }

    Loop loop;
    std::function<void(HttpExchangeId, HttpRequest &&)> onRequest; ///< Request handler of a measurement.
    HttpServer server;
    HttpClient client{loop};
    std::uint16_t port = 0; ///< Port of the server.
};

void measureRequests()
{
    HttpPair net;
    int ended = 0;
    int started = 0;
    int failed = 0;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        HttpResponse response;
        response.body = "{\"ok\":true}";
        net.server.respond(id, std::move(response));
    };
    std::function<void()> next = [&] {
        if (started == Requests) {
            return;
        }
        ++started;
        HttpClientHandlers handlers;
        handlers.onEnd = [&] {
            ++ended;
            next();
        };
        handlers.onFailure = [&](const HttpFailure &) {
            ++failed;
            next();
        };
        net.client.send(net.request("{\"turn\":1}"), std::move(handlers));
    };
    const TimePoint begin = Loop::now();
    for (int i = 0; i < MaxConcurrentRequests; ++i) {
        next();
    }
    runUntil(net.loop, [&] {
        return ended + failed == Requests;
    });
    print("http_requests", ended / secondsSince(begin), "1/s");
    print("http_requests_failed", failed, "requests");
}

void measurePieces()
{
    HttpPair net;
    const std::string piece = "data: {\"token\":\"word\"}\n\n";
    HttpExchangeId stream;
    std::size_t received = 0;
    int sent = 0;
    bool ended = false;
    net.onRequest = [&](HttpExchangeId id, HttpRequest &&) {
        stream = id;
        net.server.beginStream(id, HttpResponse());
    };
    HttpClientHandlers handlers;
    handlers.onBody = [&](std::string_view text) {
        received += text.size();
    };
    handlers.onEnd = [&] {
        ended = true;
    };
    net.client.send(net.request("{}"), std::move(handlers));
    runUntil(net.loop, [&] {
        return stream != HttpExchangeId();
    });
    const TimePoint begin = Loop::now();
    runUntil(net.loop, [&] {
        while (sent < Pieces && sent < static_cast<int>(received / piece.size()) + MaxPiecesInFlight) {
            net.server.sendPiece(stream, piece);
            ++sent;
        }
        if (sent == Pieces) {
            net.server.endStream(stream);
        }
        return ended;
    });
    print("stream_pieces", Pieces / secondsSince(begin), "1/s");
}

/** Two ends of a link on one event loop; the server echoes every message. */
struct LinkPair
{
    LinkPair()
        : server(loop, "127.0.0.1:0", {"gate", Incarnation{1}, "key"}, TlsFiles(), serverHandlers())
        , client(loop, {"entry", Incarnation{1}, "key"}, TlsFiles(), clientHandlers())
    {
        Error reason;
        const std::uint16_t port = server.listen(reason).value_or(0);
        link = client.open("127.0.0.1:" + std::to_string(port));
        runUntil(loop, [this] {
            return up;
        });
    }

    LinkHandlers serverHandlers()
    {
        LinkHandlers it;
        it.onOpened = [](LinkNumber, const LinkIdentity &) {};
        it.onMessage = [this](LinkNumber number, LinkMessage &&message) {
            server.send(number, message);
        };
        it.onClosed = [](LinkNumber) {};
        return it;
    }

    LinkHandlers clientHandlers()
    {
        LinkHandlers it;
        it.onOpened = [this](LinkNumber, const LinkIdentity &) {
            up = true;
        };
        it.onMessage = [this](LinkNumber, LinkMessage &&) {
            ++received;
        };
        it.onClosed = [](LinkNumber) {};
        return it;
    }

    Loop loop;
    LinkServer server; ///< Echoes messages.
    LinkClient client; ///< Sends messages and counts echoes.
    LinkNumber link;
    bool up = false;  ///< True once the link is open.
    int received = 0; ///< Number of received echoes.
};

LinkMessage tokens()
{
    CallTokens it;
    it.key = {{ShardId{1234567890123ULL}, 17}, Turn{3}};
    it.pieces = {" word"};
    return GateToEntry(it);
}

void measureLink()
{
    const double before = residentMegabytes();
    LinkPair pair;
    print("link_resident_idle_added", residentMegabytes() - before, "MB");
    const LinkMessage message = tokens();
    std::vector<double> times;
    for (int i = 0; i < RoundTrips; ++i) {
        const TimePoint begin = Loop::now();
        pair.client.send(pair.link, message);
        runUntil(pair.loop, [&] {
            return pair.received == i + 1;
        });
        times.push_back(secondsSince(begin) * 1e6);
    }
    std::sort(times.begin(), times.end());
    print("link_round_trip_p50", times[times.size() / 2], "us");
    print("link_round_trip_p99", times[times.size() * 99 / 100], "us");
    pair.received = 0;
    int sent = 0;
    const TimePoint begin = Loop::now();
    runUntil(pair.loop, [&] {
        while (sent < LinkMessages && sent < pair.received + 1000) {
            pair.client.send(pair.link, message);
            ++sent;
        }
        return pair.received == LinkMessages;
    });
    print("link_messages_there_and_back", LinkMessages / secondsSince(begin), "1/s");
    print("resident_at_end", residentMegabytes(), "MB");
}

} // namespace

} // namespace Vanillahall

int main()
{
    Vanillahall::measureLink();
    Vanillahall::measureRequests();
    Vanillahall::measurePieces();
    return 0;
}
