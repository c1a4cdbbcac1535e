/** A proxy between scripted clients, servers and a scripted store, all in one loop on the loopback interface. */
#pragma once

#include "vanillahall/proxy/proxy_base.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

using boost::asio::ip::tcp;

/** What a scripted peer does with one request. */
struct Script
{
    std::string bytes;   ///< Sent at once; "{id}" is replaced by the id of the request.
    bool closes = false; ///< True to close the connection after that.
    bool resets = false; ///< True to reset it.
    bool atOnce = false; ///< True to send and close before anything else runs.
};

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

/** The store's rows and how it behaves. */
struct StoreModel
{
    std::string config;                                        ///< Value of the configuration row; empty if there is none.
    std::map<std::string, std::string> servers;                ///< Values of the servers' rows.
    std::map<std::string, std::pair<std::string, int>> tokens; ///< Token rows: base64 value and version.
    std::map<std::string, std::string> breaks;                 ///< Values of the rows of broken attempts, by key.
    std::set<std::string> removed;                             ///< Keys of rows that were removed.
    std::uint64_t nowMs = 1;                                   ///< The store's clock.
    int version = 10;                                          ///< Newest version.
    std::size_t writes = 0;                                    ///< Token rows written or refused so far.
    std::size_t lostAnswers = 0;                               ///< Writes still to come that are done without an answer.
    bool refusesWrites = false;                                ///< True to answer writes with 503.
    bool refusesAll = false;                                   ///< True to answer everything with 503.
    bool hidesChanges = false;                                 ///< True to tell no changes to those who wait for them.
    bool hasNoHistory = false;                                 ///< True to answer those who wait for changes with 410.
    std::size_t silentWatches = 0;                             ///< Calls for changes still to come that get no answer.
    std::size_t wholeReads = 0;                                ///< Times that the list of servers was read whole.
    std::size_t watches = 0;                                   ///< Times that changes of the list of servers were asked for.

    /** @return The answer to a call. */
    Script answer(const std::string &request);

private:
    /** A row of a table whose changes are told. */
    struct Kept
    {
        std::string value;      ///< Its value.
        int version = 0;        ///< Version of its last change.
        bool isRemoved = false; ///< True once it is gone.
    };
    using Table = std::map<std::string, Kept>;

    /** Notes what a test has changed since the last call. */
    void noteChanges(Table &table, const std::map<std::string, std::string> &rows);
    Script wholeTable(const Table &table) const;
    Script changes(const Table &table, const std::string &request);

    Table m_config;
    Table m_servers;
    Script writeTokens(const std::string &key, int expected, const std::string &value);
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
