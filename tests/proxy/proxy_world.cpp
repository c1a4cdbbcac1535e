#include "proxy_world.h"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

std::string headerValue(const std::string &request, const std::string &name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/** @return Length of the first complete request, or 0. */
std::size_t requestLength(const std::string &in, bool headOnly)
{
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    const auto length = headerValue(in.substr(0, end + 2), "Content-Length");
    const std::size_t all = end + 4 + (length.empty() ? 0 : std::stoul(length));
    return headOnly || in.size() >= all ? std::min(all, in.size()) : 0;
}

} // namespace

struct ScriptedPeer::Connection
{
    explicit Connection(tcp::socket s)
        : socket(std::move(s))
    {
    }

    tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string in;
    std::string out;
};

ScriptedPeer::ScriptedPeer(boost::asio::io_context &loop, Answer answer)
    : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_endpoint(m_acceptor.local_endpoint())
    , m_answer(std::move(answer))
{
    accept();
}

std::uint16_t ScriptedPeer::port() const
{
    return m_endpoint.port();
}

std::size_t ScriptedPeer::countWithId(const std::string &id) const
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [&id](const auto &it) {
        return headerValue(it, "Request-Id") == id;
    }));
}

void ScriptedPeer::crash()
{
    m_acceptor.close();
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock(); connection && connection->socket.is_open()) {
            connection->socket.set_option(boost::asio::socket_base::linger(true, 0));
            connection->socket.close();
        }
    }
    m_connections.clear();
}

void ScriptedPeer::sendMore(const std::string &bytes)
{
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock(); connection && connection->socket.is_open()) {
            boost::asio::write(connection->socket, boost::asio::buffer(bytes));
        }
    }
}

void ScriptedPeer::restart()
{
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    accept();
}

void ScriptedPeer::readSlowly(std::chrono::milliseconds delay)
{
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
    m_readDelay = delay;
}

void ScriptedPeer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, tcp::socket socket) {
        if (ec) {
            return;
        }
        opened++;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        m_connections.push_back(connection);
        if (m_readDelay == std::chrono::milliseconds::zero()) {
            read(connection);
        } else {
            const auto timer = std::make_shared<boost::asio::steady_timer>(m_acceptor.get_executor(), m_readDelay);
            timer->async_wait([this, connection, timer](const boost::system::error_code &) {
                read(connection);
            });
        }
        accept();
    });
}

void ScriptedPeer::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(boost::asio::buffer(connection->buf),
                                       [this, connection](const boost::system::error_code &ec, std::size_t n) {
                                           if (ec) {
                                               closed++;
                                               return;
                                           }
                                           connection->in.append(connection->buf.data(), n);
                                           serve(connection);
                                       });
}

void ScriptedPeer::serve(const std::shared_ptr<Connection> &connection)
{
    const auto length = requestLength(connection->in, answersEarly);
    if (length == 0) {
        read(connection);
        return;
    }
    const std::string request = connection->in.substr(0, length);
    connection->in.erase(0, length);
    requests.push_back(request);
    auto script = m_answer ? m_answer(request) : Script{};
    for (auto at = script.bytes.find("{id}"); at != std::string::npos; at = script.bytes.find("{id}")) {
        script.bytes.replace(at, 4, headerValue(request, "Request-Id"));
    }
    if (script.sendsSynchronously) {
        boost::system::error_code ec;
        boost::asio::write(connection->socket, boost::asio::buffer(script.bytes), ec);
        connection->socket.close(ec);
        return;
    }
    connection->out = script.bytes;
    boost::asio::async_write(connection->socket,
                             boost::asio::buffer(connection->out),
                             [this, connection, script](const boost::system::error_code &ec, std::size_t) {
                                 if (script.resets) {
                                     connection->socket.set_option(boost::asio::socket_base::linger(true, 0));
                                 }
                                 if (script.resets || script.closes) {
                                     connection->socket.close();
                                 } else if (!ec) {
                                     read(connection);
                                 }
                             });
}

TestClient::TestClient(boost::asio::io_context &loop, std::uint16_t port, int receiveBuffer)
    : m_socket(loop, tcp::v4())
{
    if (receiveBuffer != 0) {
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
    }
    m_socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    read();
}

void TestClient::send(const std::string &bytes)
{
    boost::system::error_code ec;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
}

void TestClient::sendLater(std::string bytes)
{
    m_out = std::move(bytes);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out), [](const boost::system::error_code &, std::size_t) {});
}

void TestClient::stopReading()
{
    m_socket.cancel();
}

void TestClient::continueReading()
{
    read();
}

void TestClient::close()
{
    m_socket.close();
}

void TestClient::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_buf),
                             [this, alive = std::weak_ptr(m_alive)](const boost::system::error_code &ec, std::size_t n) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 if (ec == boost::asio::error::operation_aborted && m_socket.is_open()) {
                                     return;
                                 }
                                 if (ec) {
                                     isClosed = true;
                                     isReset = ec == boost::asio::error::connection_reset;
                                     return;
                                 }
                                 received.append(m_buf.data(), n);
                                 read();
                             });
}

ProxyWorld::ProxyWorld(const ScriptedPeer::Answer &answer, const std::function<void(ProxySettings &)> &adjust)
    : first(loop, answer)
    , second(loop, answer)
    , store(loop, [this](const std::string &request) {
        return rows.answer(request);
    })
{
    const Json route = {{"name", "call"},
                        {"host", "h"},
                        {"prefix", "/call/"},
                        {"kind", "idempotent"},
                        {"timeoutMs", 5000},
                        {"sloMs", 200},
                        {"service", "svc"},
                        {"maxAttempts", 2}};
    Json once = route;
    once.update({{"name", "once"}, {"prefix", "/once/"}, {"kind", "non_idempotent"}});
    Json stream = route;
    stream.update({{"name", "stream"}, {"prefix", "/stream/"}, {"kind", "streaming"}, {"resumable", true}, {"maxAttempts", 1}});
    Json resumed = stream;
    resumed.update({{"name", "resumed"}, {"prefix", "/resumed/"}, {"maxAttempts", 2}});
    Json kept = stream;
    kept.update({{"name", "kept"}, {"prefix", "/kept/"}, {"resumable", false}, {"stateful", true}, {"retentionS", 60.0}});
    Json brief = once;
    brief.update({{"name", "brief"}, {"prefix", "/brief/"}, {"timeoutMs", 60}});
    rows.config
        = Json({{"version", 3},
                {"routes", {route, once, stream, resumed, kept, brief}},
                {"services", {{{"name", "svc"}, {"maxConns", 100}, {"engine", {{"slots", 8}, {"tokensPerEvent", 10}}}}}},
                {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 20000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}})
              .dump();
    const auto server = [](std::uint16_t port) {
        return Json({{"service", "svc"},
                     {"address", "127.0.0.1:" + std::to_string(port)},
                     {"zone", "z"},
                     {"version", ""},
                     {"slots", 8},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"seq", 1}})
            .dump();
    };
    rows.servers = {{"s1", server(first.port())}, {"s2", server(second.port())}};
    auto &settings = m_settings;
    settings.name = "proxy";
    settings.zone = "z";
    settings.incarnation = "1";
    settings.listen = {"127.0.0.1", 0};
    settings.readyListen = {"127.0.0.1", 0};
    settings.store = {"127.0.0.1", store.port()};
    settings.pollInterval = 5ms;
    if (adjust) {
        adjust(settings);
    }
    proxy = std::make_unique<Proxy>(loop, settings, [this](LogLevel, EventNumber event, const std::string &fields) {
        lines.push_back(std::to_string(static_cast<int>(event)) + " " + fields);
    });
}

ProxyWorld::~ProxyWorld()
{
    proxy.reset();
    loop.stop();
}

bool ProxyWorld::run(const std::function<bool()> &until)
{
    constexpr std::chrono::seconds ConditionTimeout{20}; // Reached only if the condition never holds.
    const auto end = std::chrono::steady_clock::now() + ConditionTimeout;
    while (!until()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop.restart();
        loop.run_one_for(5ms);
    }
    return true;
}

void ProxyWorld::pause(std::chrono::milliseconds span)
{
    const auto until = std::chrono::steady_clock::now() + span;
    run([until] {
        return std::chrono::steady_clock::now() > until;
    });
}

std::size_t ProxyWorld::lineCount(const std::string &text) const
{
    return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&text](const auto &it) {
        return it.find(text) != std::string::npos;
    }));
}

bool ProxyWorld::hasLine(const std::string &text) const
{
    return lineCount(text) != 0;
}

bool ProxyWorld::start()
{
    Error reason;
    return proxy->start(reason) && run([this] {
               return proxy->isReady();
           });
}

std::unique_ptr<Proxy> ProxyWorld::addProxy(const std::string &name, const std::string &incarnation)
{
    auto settings = m_settings;
    settings.incarnation = incarnation;
    settings.name = name;
    auto other = std::make_unique<Proxy>(loop, settings, [this, name](LogLevel, EventNumber event, const std::string &fields) {
        lines.push_back(name + " " + std::to_string(static_cast<int>(event)) + " " + fields);
    });
    Error reason;
    const bool isReady = other->start(reason) && run([&other] {
                             return other->isReady();
                         });
    return isReady ? std::move(other) : nullptr;
}

std::string ProxyWorld::ask(const std::string &text)
{
    return ask(*proxy, text);
}

std::string ProxyWorld::ask(const Proxy &at, const std::string &text)
{
    TestClient client(loop, at.port());
    client.send(text);
    run([&client] {
        const auto head = client.received.find("\r\n\r\n");
        if (client.isClosed || head == std::string::npos) {
            return client.isClosed;
        }
        const auto length = headerValue(client.received, "Content-Length");
        return length.empty() ? client.received.find("\r\n0\r\n\r\n") != std::string::npos
                              : client.received.size() >= head + 4 + std::stoul(length);
    });
    std::string received = client.received;
    client.close();
    run([&client] {
        return client.isClosed;
    });
    return received;
}

std::string ProxyWorld::request(
    const std::string &method, const std::string &path, const std::string &id, const std::string &headers, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n" + headers;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string goodAnswer(const std::string &body, const std::string &headers)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string eventChunk(int id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: e\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string(size.data()) + "\r\n" + event + "\r\n";
}

unsigned statusOf(const std::string &answer)
{
    constexpr std::size_t StatusAt = 9;
    return answer.size() > StatusAt + 3 ? static_cast<unsigned>(std::stoul(answer.substr(StatusAt, 3))) : 0;
}

std::string bodyOf(const std::string &answer)
{
    const auto at = answer.find("\r\n\r\n");
    return at == std::string::npos ? std::string() : answer.substr(at + 4);
}

} // namespace Vanillahall::Forward
