/** Test fixture: a loop, a server and a client on the loopback interface. */
#pragma once

#include "vanillahall/net/http_client_base.h"
#include "vanillahall/net/http_server_base.h"
#include "vanillahall/net/loop_base.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace Vanillahall {

/** Outcome of a client's request. */
struct ClientResult
{
    std::uint32_t status = 0;           ///< Status; 0 until the response head has been received.
    std::string body;                   ///< Body received so far.
    std::size_t pieces = 0;             ///< Number of onBody calls.
    bool ended = false;                 ///< True once the response is complete.
    std::optional<HttpFailure> failure; ///< Set if the request failed.
};

/** A loop, a server that calls `onRequest`, and a client. */
class NetFixture
{
public:
    explicit NetFixture(HttpServerSettings settings = {})
    {
        HttpServerHandlers handlers;
        handlers.onRequest = [this](HttpExchangeId id, HttpRequest &&request) {
            requests.push_back(request.path);
            onRequest(id, std::move(request));
        };
        handlers.onClosed = [this](HttpExchangeId id) {
            closed.push_back(id);
        };
        server = std::make_unique<HttpServer>(loop, std::move(settings), std::move(handlers));
        Error reason;
        const auto listening = server->listen(reason);
        EXPECT_TRUE(listening) << reason.message;
        port = listening.value_or(0);
    }

    /** Runs the loop until `done` returns true; fails after 20 s. */
    void runUntil(const std::function<bool()> &done)
    {
        const TimePoint limit = Loop::now() + std::chrono::seconds(20);
        bool reached = done();
        while (!reached && Loop::now() < limit) {
            loop.runOnce(std::chrono::milliseconds(100));
            reached = done();
        }
        ASSERT_TRUE(reached);
    }

    HttpClientRequest request(const std::string &path, std::string body = {})
    {
        HttpClientRequest it;
        it.address = "127.0.0.1";
        it.port = port;
        it.path = path;
        it.method = body.empty() ? "GET" : "POST";
        it.body = std::move(body);
        return it;
    }

    HttpExchangeId send(HttpClientRequest it, ClientResult &result)
    {
        HttpClientHandlers handlers;
        handlers.onHead = [&result](std::uint32_t status) {
            result.status = status;
        };
        handlers.onBody = [&result](std::string_view piece) {
            result.body += piece;
            ++result.pieces;
        };
        handlers.onEnd = [&result] {
            result.ended = true;
        };
        handlers.onFailure = [&result](const HttpFailure &failure) {
            result.failure = failure;
        };
        return client.send(std::move(it), std::move(handlers));
    }

    ClientResult exchange(HttpClientRequest it)
    {
        ClientResult result;
        send(std::move(it), result);
        runUntil([&result] {
            return result.ended || result.failure;
        });
        return result;
    }

    void answer(HttpExchangeId id, std::string body)
    {
        HttpResponse response;
        response.body = std::move(body);
        server->respond(id, std::move(response));
    }

    Loop loop;                                                     ///< The loop.
    std::unique_ptr<HttpServer> server;                            ///< The server.
    HttpClient client{loop};                                       ///< The client.
    std::uint16_t port = 0;                                        ///< Port of the server.
    std::function<void(HttpExchangeId, HttpRequest &&)> onRequest; ///< Called for each request.
    std::vector<std::string> requests;                             ///< Paths of the requests received.
    std::vector<HttpExchangeId> closed;                            ///< Exchanges whose caller disconnected.
};

} // namespace Vanillahall
