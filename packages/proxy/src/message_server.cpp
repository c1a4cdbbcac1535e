#include "message_server.h"

#include "http_status.h"
#include "timer_func.h"

#include <algorithm>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds IdleTimeout{10}; ///< An idle connection is closed after this time.
constexpr Duration AcceptRetryDelay
    = std::chrono::milliseconds(50);         ///< Delay after a failed accept, for example without a free descriptor.
constexpr std::uint32_t MaxHeadBytes = 4096; ///< Limit on the head of a request; those of proxies have below 500 bytes.
constexpr std::size_t BufferBytes = std::size_t{2} * MaxHeadBytes; ///< Limit on received bytes that aren't parsed yet.

} // namespace

/** One connection. */
class MessageConnection : public std::enable_shared_from_this<MessageConnection>
{
public:
    MessageConnection(tcp::socket socket, MessageServer &server)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_server(&server)
        , m_buffer(BufferBytes)
    {
    }

    /** Reads a request; the time limit includes its response. */
    void read()
    {
        m_isServing = false;
        runAfter(m_timer, IdleTimeout, *this, [](MessageConnection &self) {
            self.close();
        });
        m_parser = std::make_unique<Http::request_parser<Http::string_body>>();
        m_parser->header_limit(MaxHeadBytes);
        m_parser->body_limit(m_server->limits().maxBodyBytes);
        Http::async_read_header(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                if (ec) {
                    self->close();
                } else if (!self->m_isClosed) {
                    self->readBody();
                }
            });
    }

    /** Closes the connection and releases what it holds. */
    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        stopTimer(m_timer);
        boost::system::error_code ignored;
        m_socket.close(ignored);
        releaseBody();
        m_server->remove(*this);
    }

    /** Detaches the connection from the server, which is being destroyed. */
    void detach()
    {
        m_isClosed = true;
        stopTimer(m_timer);
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    /** @return True while the handler prepares the response, or it is sent. */
    [[nodiscard]] bool isServing() const
    {
        return m_isServing;
    }

private:
    void readBody()
    {
        const auto length = m_parser->chunked() ? m_server->limits().maxBodyBytes : m_parser->content_length().value_or(0);
        if (length != 0 && !m_server->reserveBody(length)) {
            m_isServing = true;
            m_closesAfter = true;
            answer({StatusUnavailable, {}, {}});
            return;
        }
        m_reservedBytes = length;
        Http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (ec) {
                self->close();
            } else if (!self->m_isClosed) {
                self->serve();
            }
        });
    }

    void serve()
    {
        m_isServing = true;
        auto &request = m_parser->get();
        boost::system::error_code ec;
        const auto peer = m_socket.remote_endpoint(ec);
        const MessageRequest message{std::string(request.method_string()),
                                     std::string(request.target()),
                                     std::move(request.body()),
                                     std::string(request[Http::field::authorization]),
                                     !ec && peer.address().is_loopback()};
        m_server->handle(message, [self = shared_from_this()](MessageReply reply) {
            if (!self->m_isClosed) {
                self->answer(std::move(reply));
            }
        });
    }

    void answer(MessageReply reply)
    {
        releaseBody();
        m_answer = {};
        m_answer.version(m_parser->get().version());
        m_keepsAlive = m_parser->keep_alive() && !m_closesAfter;
        m_answer.keep_alive(m_keepsAlive);
        m_answer.result(reply.status);
        if (!reply.type.empty()) {
            m_answer.set(Http::field::content_type, reply.type);
        }
        m_answer.body() = std::move(reply.body);
        m_answer.prepare_payload();
        m_parser.reset();
        Http::async_write(m_socket, m_answer, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            self->m_answer = {};
            if (self->m_isClosed) {
                return;
            }
            if (ec || !self->m_keepsAlive) {
                self->close();
            } else {
                self->read();
            }
        });
    }

    void releaseBody()
    {
        m_server->releaseBody(std::exchange(m_reservedBytes, 0));
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    MessageServer *m_server; ///< Not used after detach().
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Http::request_parser<Http::string_body>> m_parser;
    Http::response<Http::string_body> m_answer;
    std::size_t m_reservedBytes = 0;
    bool m_isServing = false;
    bool m_closesAfter = false;
    bool m_keepsAlive = true;
    bool m_isClosed = false;
};

bool openAcceptor(tcp::acceptor &acceptor, const ProxyAddress &address, Error &reason)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.address, ec);
    const tcp::endpoint endpoint(ip, address.port);
    if (!ec) {
        acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        return true;
    }
    reason.code = ErrorCode::Internal;
    reason.step = Step::Configure;
    reason.peer = address.address + ":" + std::to_string(address.port);
    reason.message = "can't listen: " + ec.message();
    return false;
}

MessageServer::MessageServer(boost::asio::io_context &loop, Handler handler, MessageLimits limits)
    : m_acceptor(loop)
    , m_acceptTimer(loop)
    , m_limits(limits)
    , m_handler(std::move(handler))
{
}

MessageServer::~MessageServer()
{
    for (const auto &it : m_connections) {
        it->detach();
    }
}

bool MessageServer::listen(const ProxyAddress &address, Error &reason)
{
    if (!openAcceptor(m_acceptor, address, reason)) {
        return false;
    }
    accept();
    return true;
}

void MessageServer::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_acceptTimer.cancel();
}

std::uint16_t MessageServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

const MessageLimits &MessageServer::limits() const
{
    return m_limits;
}

std::size_t MessageServer::closedConnections() const
{
    return m_closedConnections;
}

void MessageServer::handle(const MessageRequest &request, const Reply &answer)
{
    m_handler(request, answer);
}

bool MessageServer::reserveBody(std::size_t bytes)
{
    if (m_bodyBytes + bytes > m_limits.maxHeldBytes) {
        return false;
    }
    m_bodyBytes += bytes;
    return true;
}

void MessageServer::releaseBody(std::size_t bytes)
{
    m_bodyBytes -= bytes;
}

void MessageServer::remove(const MessageConnection &connection)
{
    m_connections.remove_if([&connection](const auto &it) {
        return it.get() == &connection;
    });
}

void MessageServer::makeRoom()
{
    if (m_connections.size() < m_limits.maxConnections) {
        return;
    }
    // The oldest one that waits for a request or its end; a complete request is answered, unless all connections have one.
    const auto oldest = std::find_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return !it->isServing();
    });
    const auto connection = oldest != m_connections.end() ? *oldest : m_connections.front();
    m_closedConnections++;
    connection->close();
}

void MessageServer::accept()
{
    // An accepted connection may be waiting for its handler when the server is destroyed.
    m_acceptor.async_accept([this, alive = std::weak_ptr(m_isAlive)](const boost::system::error_code &ec, tcp::socket socket) {
        if (alive.expired() || ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            makeRoom();
            m_connections.push_back(std::make_shared<MessageConnection>(std::move(socket), *this));
            m_connections.back()->read();
            accept();
            return;
        }
        m_acceptTimer.expires_after(AcceptRetryDelay);
        m_acceptTimer.async_wait([this, alive](const boost::system::error_code &waitError) {
            if (!alive.expired() && !waitError) {
                accept();
            }
        });
    });
}

} // namespace Vanillahall::Forward
