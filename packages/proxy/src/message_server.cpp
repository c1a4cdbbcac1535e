#include "message_server.h"

#include "timer_func.h"

#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds IdleTimeout{10};                        ///< An idle connection is closed after this time.
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{2} * 1024 * 1024; ///< The store accepts calls of at most 1 MB.

/** One connection. */
class MessageConnection : public std::enable_shared_from_this<MessageConnection>
{
public:
    MessageConnection(tcp::socket socket, MessageServer::Handler handler)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handler(std::move(handler))
    {
    }

    void read()
    {
        runAfter(m_timer, IdleTimeout, *this, [](MessageConnection &self) {
            boost::system::error_code ignored;
            self.m_socket.close(ignored);
        });
        m_parser = std::make_unique<Http::request_parser<Http::string_body>>();
        m_parser->body_limit(MaxBodyBytes);
        Http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (!ec) {
                self->serve();
            } else {
                stopTimer(self->m_timer);
            }
        });
    }

private:
    void serve()
    {
        const auto &request = m_parser->get();
        const MessageRequest message{std::string(request.method_string()), std::string(request.target()), request.body()};
        m_handler(message, [self = shared_from_this()](MessageReply reply) {
            self->answer(std::move(reply));
        });
    }

    void answer(MessageReply reply)
    {
        m_answer = {};
        m_answer.version(m_parser->get().version());
        m_answer.keep_alive(m_parser->keep_alive());
        m_answer.result(reply.status);
        if (!reply.type.empty()) {
            m_answer.set(Http::field::content_type, reply.type);
        }
        m_answer.body() = std::move(reply.body);
        m_answer.prepare_payload();
        Http::async_write(m_socket, m_answer, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (!ec && self->m_answer.keep_alive()) {
                self->read();
            } else {
                stopTimer(self->m_timer);
            }
        });
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    MessageServer::Handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Http::request_parser<Http::string_body>> m_parser;
    Http::response<Http::string_body> m_answer;
};

} // namespace

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

MessageServer::MessageServer(boost::asio::io_context &loop, Handler handler)
    : m_acceptor(loop)
    , m_handler(std::move(handler))
{
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
}

std::uint16_t MessageServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void MessageServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            std::make_shared<MessageConnection>(std::move(socket), m_handler)->read();
        }
        accept();
    });
}

} // namespace Vanillahall::Forward
