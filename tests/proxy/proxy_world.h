/** A proxy with scripted clients, servers and a scripted store, all in one event loop on the loopback interface. */
#pragma once

#include "store_model.h"

#include "vanillahall/proxy/proxy_base.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

using boost::asio::ip::tcp;

/** Receive buffer of a peer on a poor link, in bytes. */
inline constexpr int SmallReceiveBuffer = 2304;

/** An HTTP server that computes its responses with a function. */
class ScriptedPeer
{
public:
    using Answer = std::function<Script(const std::string &request)>; ///< Called with head and body of a request.

    ScriptedPeer(boost::asio::io_context &loop, Answer answer);

    [[nodiscard]] std::uint16_t port() const;
    /** @return Number of requests with an id that were received so far. */
    [[nodiscard]] std::size_t countWithId(const std::string &id) const;
    /** Ends like a process that crashes: the port refuses connections, and open connections are reset. */
    void crash();
    /** Sends further bytes on all open connections. */
    void sendMore(const std::string &bytes);
    /** Listens at the same port again after crash(). */
    void restart();
    /** Reads from further connections through a small window, and only after a delay. */
    void readSlowly(std::chrono::milliseconds delay);

    std::vector<std::string> requests; ///< Requests received so far.
    std::size_t opened = 0;            ///< Connections accepted so far.
    std::size_t closed = 0;            ///< Connections closed by the proxy.
    bool answersEarly = false;         ///< True to respond once the head is received.

private:
    struct Connection;
    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void serve(const std::shared_ptr<Connection> &connection);

    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::vector<std::weak_ptr<Connection>> m_connections; ///< Connections accepted so far.
    std::chrono::milliseconds m_readDelay{};              ///< Delay before the first read of a connection.
    Answer m_answer;
};

/** A client connection. */
class TestClient
{
public:
    /** @param receiveBuffer Size of the socket's receive buffer in bytes; 0 for the system's default. */
    TestClient(boost::asio::io_context &loop, std::uint16_t port, int receiveBuffer = 0);

    void send(const std::string &bytes);
    /** Sends bytes asynchronously; for more than a socket buffer holds. */
    void sendLater(std::string bytes);
    void close();
    /** Stops reading; further bytes stay in the socket buffer. */
    void stopReading();
    /** Reads again after stopReading(). */
    void continueReading();

    std::string received;  ///< All bytes received so far.
    bool isReset = false;  ///< True if the proxy has reset the connection.
    bool isClosed = false; ///< True once the proxy has closed the connection.

private:
    void read();

    tcp::socket m_socket;
    std::string m_out;
    std::array<char, 4096> m_buf{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** A running proxy and its peers. Servers "s1" and "s2" offer the service "svc". */
class ProxyWorld
{
public:
    /** @param answer Behavior of both servers. @param adjust Changes the proxy's settings. */
    explicit ProxyWorld(const ScriptedPeer::Answer &answer, const std::function<void(ProxySettings &)> &adjust = {});

    ~ProxyWorld();

    /** Runs the loop until a condition holds. @return False if it doesn't within 20 s. */
    bool run(const std::function<bool()> &until);
    /** Runs the loop for some time. */
    void pause(std::chrono::milliseconds span);
    /** Starts the proxy and waits until it is ready. */
    bool start();
    /** Sends a request and waits until the response is complete or the connection is closed. @return Received bytes. */
    std::string ask(const std::string &request);
    /** Like ask(), at another proxy. */
    std::string ask(const Proxy &at, const std::string &request);
    /** @return Another proxy on the same store, started and ready; null if it isn't ready within 20 s. */
    std::unique_ptr<Proxy> addProxy(const std::string &name, const std::string &incarnation = "1");
    /** @return Number of log lines that contain a text. */
    [[nodiscard]] std::size_t lineCount(const std::string &text) const;
    /** @return True if a log line contains a text. */
    [[nodiscard]] bool hasLine(const std::string &text) const;
    /** @return Serialized request. */
    static std::string request(const std::string &method,
                               const std::string &path,
                               const std::string &id,
                               const std::string &headers = {},
                               const std::string &body = {});

    boost::asio::io_context loop;
    ScriptedPeer first;
    ScriptedPeer second;
    StoreModel rows;
    ScriptedPeer store;
    std::vector<std::string> lines; ///< Log lines of the proxy.
    std::unique_ptr<Proxy> proxy;

private:
    ProxySettings m_settings; ///< Settings of `proxy`.
};

/** @return Status of a response; 0 if there is none. */
unsigned statusOf(const std::string &answer);

/** @return Bytes after the head of a response. */
std::string bodyOf(const std::string &answer);

/** @return A complete, signed response with Content-Length. */
std::string goodAnswer(const std::string &body, const std::string &headers = {});

/** @return Head of a signed, chunked event stream. */
std::string streamHead();

/** @return One event as a chunk. */
std::string eventChunk(int id);

} // namespace Vanillahall::Forward
