#include "store_caller.h"

#include "proxy_clock.h"
#include "send_progress.h"
#include "socket_option_func.h"
#include "timer_func.h"

#include <algorithm>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::size_t MaxReplyBytes
    = std::size_t{4} * 1024 * 1024;             ///< Replies of the store hold at most 1 MB, plus overhead of base64 and JSON.
constexpr std::size_t MaxPooledConnections = 6; ///< Connections in the pool: two for long-polling calls, the others for short calls.

} // namespace

/** A connection to the store; carries one call at a time. */
class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
    StoreConnection(boost::asio::io_context &loop, ProxyAddress store)
        : m_socket(loop)
        , m_timer(loop)
        , m_sendTimer(loop)
        , m_sendProgress(m_socket)
        , m_store(std::move(store))
    {
    }

    [[nodiscard]] bool isIdle() const
    {
        return m_isOpen && !m_handler;
    }

    [[nodiscard]] bool isClosed() const
    {
        return m_isClosed;
    }

    void call(const Platform::StoreRequest &request, Duration limit, StoreCaller::Handler handler)
    {
        m_handler = std::move(handler);
        m_request = {};
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(11);
        m_request.set(Http::field::host, m_store.address + ":" + std::to_string(m_store.port));
        if (!request.body.empty()) {
            m_request.set(Http::field::content_type, "application/json");
            m_request.body() = request.body;
        }
        m_request.prepare_payload();
        m_wasSent = false;
        runAfter(m_timer, limit, *this, [](StoreConnection &self) {
            self.fail("no answer in time");
        });
        if (m_isOpen) {
            write();
        } else {
            connect();
        }
    }

    /** Closes the connection once its call has ended. */
    void retire()
    {
        m_isRetired = true;
        if (isIdle()) {
            close();
        }
    }

    void close()
    {
        m_isClosed = true;
        m_isOpen = false;
        stopTimer(m_timer);
        stopTimer(m_sendTimer);
        boost::system::error_code ec;
        m_socket.close(ec);
    }

private:
    void connect()
    {
        connectTo(m_socket, m_store.address, m_store.port, [self = shared_from_this()](const ConnectError &error) {
            if (self->m_isClosed) {
                return;
            }
            if (!error.message.empty()) {
                self->fail(error.message);
                return;
            }
            self->m_isOpen = true;
            self->write();
        });
    }

    void write()
    {
        m_wasSent = true;
        watchSending();
        Http::async_write(m_socket, m_request, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (self->m_isClosed) {
                return;
            }
            if (ec) {
                self->fail("write: " + ec.message());
                return;
            }
            self->read();
        });
    }

    void watchSending()
    {
        runAfter(m_sendTimer, SendCheckInterval, *this, [](StoreConnection &self) {
            const auto state = self.m_sendProgress.update(now());
            if (state == SendState::Unreachable) {
                self.fail("write: the peer's system doesn't answer");
            } else if (state == SendState::Pending) {
                self.watchSending();
            }
        });
    }

    void read()
    {
        m_parser = std::make_unique<Http::response_parser<Http::string_body>>();
        m_parser->body_limit(MaxReplyBytes);
        Http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (self->m_isClosed) {
                return;
            }
            if (ec) {
                self->fail("read: " + ec.message());
                return;
            }
            self->finish();
        });
    }

    void finish()
    {
        stopTimer(m_timer);
        stopTimer(m_sendTimer);
        StoreReply reply{m_parser->get().result_int(), std::move(m_parser->get().body())};
        if (!m_parser->keep_alive() || m_buffer.size() != 0 || m_isRetired) {
            close();
        }
        const auto handler = std::exchange(m_handler, nullptr);
        handler(reply, {});
    }

    void fail(std::string message)
    {
        if (m_isClosed) {
            return;
        }
        const auto self = shared_from_this();
        close();
        Error reason;
        reason.code = ErrorCode::StoreUnavailable;
        reason.run = m_wasSent ? RunState::Unknown : RunState::NotRun;
        reason.step = Step::Reserve;
        reason.peer = "store";
        reason.message = std::move(message);
        const auto handler = std::exchange(m_handler, nullptr);
        if (handler) {
            handler(std::nullopt, reason);
        }
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_sendTimer;
    SendProgress m_sendProgress;
    ProxyAddress m_store;
    StoreCaller::Handler m_handler;
    Http::request<Http::string_body> m_request;
    std::unique_ptr<Http::response_parser<Http::string_body>> m_parser;
    boost::beast::flat_buffer m_buffer;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_isRetired = false;
    bool m_wasSent = false;
};

StoreCaller::StoreCaller(boost::asio::io_context &loop, ProxyAddress store)
    : m_loop(loop)
    , m_store(std::move(store))
{
}

StoreCaller::~StoreCaller()
{
    for (const auto &it : m_connections) {
        it->close();
    }
}

void StoreCaller::call(const Platform::StoreRequest &request, Duration limit, Handler handler)
{
    m_connections.erase(std::remove_if(m_connections.begin(),
                                       m_connections.end(),
                                       [](const auto &it) {
                                           return it->isClosed();
                                       }),
                        m_connections.end());
    const auto idle = std::find_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return it->isIdle();
    });
    if (idle != m_connections.end()) {
        (*idle)->call(request, limit, std::move(handler));
        return;
    }
    auto connection = std::make_shared<StoreConnection>(m_loop, m_store);
    if (m_connections.size() < MaxPooledConnections) {
        m_connections.push_back(connection);
    }
    connection->call(request, limit, std::move(handler));
}

void StoreCaller::setStore(ProxyAddress store)
{
    for (const auto &it : m_connections) {
        it->retire();
    }
    m_store = std::move(store);
}

bool StoreCaller::isIdle() const
{
    return std::none_of(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return !it->isClosed() && !it->isIdle();
    });
}

} // namespace Vanillahall::Forward
