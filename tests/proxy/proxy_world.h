/** A proxy between scripted clients, servers and a scripted store, all in one loop on the loopback interface. */
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

/** A listener that answers each request by a function. */
class ScriptedPeer
{
public:
    using Answer = std::function<Script(const std::string &request)>; ///< Gets head and body of a request.

    ScriptedPeer(boost::asio::io_context &loop, Answer answer);

    [[nodiscard]] std::uint16_t port() const;

    std::vector<std::string> requests; ///< All requests so far.
    std::size_t opened = 0;            ///< Connections so far.
    std::size_t closed = 0;            ///< Connections that the proxy has closed.
    bool answersEarly = false;         ///< True to answer once the head is in.

private:
    struct Connection;
    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void serve(const std::shared_ptr<Connection> &connection);

    tcp::acceptor m_acceptor;
    Answer m_answer;
};

/** A client's connection. */
class TestClient
{
public:
    TestClient(boost::asio::io_context &loop, std::uint16_t port);

    void send(const std::string &bytes);
    /** Sends bytes while the loop runs; for more than a socket holds. */
    void sendLater(std::string bytes);
    void close();
    /** Leaves what comes in the socket from now on. */
    void stopReading();

    std::string received;  ///< Everything so far.
    bool isReset = false;  ///< True if it was closed by a reset.
    bool isClosed = false; ///< True once the proxy has closed the connection.

private:
    void read();

    tcp::socket m_socket;
    std::string m_out;
    std::array<char, 4096> m_buf{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** Everything together. Servers "s1" and "s2" offer the service "svc". */
class ProxyWorld
{
public:
    /** @param answer What both servers do. @param adjust Changes the proxy's settings. */
    explicit ProxyWorld(const ScriptedPeer::Answer &answer, const std::function<void(ProxySettings &)> &adjust = {});

    ~ProxyWorld();

    /** Runs the loop until a condition holds. @return False if it doesn't within a long while. */
    bool run(const std::function<bool()> &until);
    /** Starts the proxy and waits until it is ready. */
    bool start();
    /** Sends a request and waits until the answer is whole or the connection is closed. @return What came. */
    std::string ask(const std::string &request);
    /** @return Number of log lines that hold a text. */
    [[nodiscard]] std::size_t lineCount(const std::string &text) const;
    /** @return True if a log line holds a text. */
    [[nodiscard]] bool hasLine(const std::string &text) const;
    /** @return Text of a request. */
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
};

/** @return Status of an answer; 0 if there is none. */
unsigned statusOf(const std::string &answer);

/** @return What follows the head of an answer. */
std::string bodyOf(const std::string &answer);

/** @return A whole, signed answer with a length. */
std::string goodAnswer(const std::string &body, const std::string &headers = {});

/** @return Head of a signed event stream in chunks. */
std::string streamHead();

/** @return One event in a chunk of its own. */
std::string eventChunk(int id);

} // namespace Vanillahall::Forward
