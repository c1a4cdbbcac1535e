#include "server_connection.h"

#include "connection_tokens.h"
#include "proxy_clock.h"
#include "read_buffer_func.h"
#include "socket_option_func.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_header_func.h"

#include <limits>

#include <boost/asio/write.hpp>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;

constexpr Duration ConnectTimeout
    = std::chrono::milliseconds(400); ///< Allows for a few round trips to the farthest zone and a full accept queue.
constexpr std::size_t MaxResponseHeadBytes = std::size_t{64} * 1024; ///< Limit on the head of a response.
constexpr std::size_t MaxSkippedBytes
    = std::size_t{1} * 1024 * 1024; ///< Limit on interim responses and responses to other requests before the expected one.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(2); ///< Keep-alive time assumed for a server that doesn't announce one.
constexpr Duration KeepAliveMargin
    = std::chrono::milliseconds(700);      ///< Subtracted from the announced keep-alive time for a round trip and late timers.
constexpr unsigned FirstStatus = 100;      ///< Lower statuses are invalid.
constexpr unsigned FirstFinalStatus = 200; ///< Lower statuses are interim responses.
constexpr unsigned StatusEnd = 600;        ///< End (exclusive) of the valid statuses.
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

ServerConnection::ServerConnection(boost::asio::io_context &loop, Server server, ReleasedHandler released)
    : m_socket(loop)
    , m_connectTimer(loop)
    , m_sendTimer(loop)
    , m_sendProgress(m_socket)
    , m_server(std::move(server))
    , m_releasedHandler(std::move(released))
{
}

const Server &ServerConnection::server() const
{
    return m_server;
}

bool ServerConnection::wasSent() const
{
    return m_wasSent;
}

bool ServerConnection::isReused() const
{
    return m_requests > 1;
}

bool ServerConnection::isFresh(TimePoint now) const
{
    const Duration limit = m_keepAlive ? *m_keepAlive - KeepAliveMargin : DefaultKeepAlive;
    return m_isOpen && !m_isClosed && m_listener == nullptr && now - m_idleSince < limit;
}

void ServerConnection::send(ServerConnectionListener *listener, std::string text, std::string requestId, bool isHead)
{
    m_listener = listener;
    m_requests++;
    m_out = std::move(text);
    m_requestId = std::move(requestId);
    m_isHead = isHead;
    m_wasSent = false;
    m_isDone = false;
    m_isPaused = false;
    m_skippedBytes = 0;
    beginAnswer();
    if (m_isOpen) {
        write();
    } else {
        connect();
    }
}

void ServerConnection::open(OpenedHandler opened)
{
    m_openedHandler = std::move(opened);
    connect();
}

void ServerConnection::connect()
{
    runAfter(m_connectTimer, ConnectTimeout, *this, [](ServerConnection &self) {
        self.fail("connection not established in time");
    });
    connectTo(m_socket, m_server.address, m_server.port, [self = shared_from_this()](const ConnectError &error) {
        if (self->m_isClosed) {
            return;
        }
        stopTimer(self->m_connectTimer);
        if (!error.message.empty()) {
            self->m_wasRefused = error.wasRefused;
            self->fail(error.message);
            return;
        }
        self->m_isOpen = true;
        boost::system::error_code ec;
        self->m_socket.non_blocking(true, ec);
        if (self->m_openedHandler) {
            self->read();
            self->release(true);
            std::exchange(self->m_openedHandler, nullptr)(ConnectResult::Connected);
            return;
        }
        if (!self->m_listener->onConnected()) {
            self->read();
            self->release(true);
            return;
        }
        self->write();
        self->read();
    });
}

void ServerConnection::write()
{
    m_wasSent = true;
    m_isWriting = true;
    watchSending();
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_out), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            self->m_isWriting = false;
            if (self->m_isClosed) {
                return;
            }
            if (ec) {
                self->fail("write: " + ec.message());
                return;
            }
            // An idle connection must not keep the buffer of a large request.
            std::string().swap(self->m_out);
            if (self->m_isDone) {
                self->release(true);
            }
        });
}

void ServerConnection::watchSending()
{
    runAfter(m_sendTimer, SendCheckInterval, *this, [](ServerConnection &self) {
        const auto state = self.m_sendProgress.update(now());
        if (state == SendState::Unreachable) {
            self.fail("write: the server's system doesn't answer");
        } else if (state == SendState::Pending || self.m_isWriting) {
            self.watchSending();
        }
    });
}

void ServerConnection::read()
{
    if (m_isReading || m_isPaused || m_isClosed) {
        return;
    }
    m_isReading = true;
    // Waiting needs no buffer, so idle connections don't hold one.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &waitError) {
        self->onReadable(waitError);
    });
}

void ServerConnection::onReadable(boost::system::error_code ec)
{
    // m_isReading stays set, so that the handlers of the bytes don't wait for more as well.
    for (unsigned reads = 0; reads < MaxReadsPerEvent && !m_isClosed && !m_isPaused; reads++) {
        const std::size_t n = ec ? 0 : m_socket.read_some(boost::asio::buffer(readBuffer()), ec);
        if (ec == boost::asio::error::would_block) {
            break;
        }
        onRead(ec, n);
        if (ec || n < ReadBufferBytes) {
            break;
        }
    }
    m_isReading = false;
    read();
}

void ServerConnection::onRead(const boost::system::error_code &ec, std::size_t n)
{
    if (m_listener == nullptr || m_isDone) {
        // No response is expected, so neither received bytes nor the end of the connection belong to a request.
        release(false);
        return;
    }
    if (ec == boost::asio::error::eof && m_parser->is_header_done() && m_parser->need_eof() && !m_isStale) {
        boost::system::error_code end;
        m_parser->put_eof(end);
        finishAnswer();
        return;
    }
    if (ec) {
        fail("read: " + ec.message());
        return;
    }
    m_in.append(readBuffer().data(), n);
    parse();
    // An element that needs more bytes to be parsed, such as a chunk extension or a trailer, may not be longer than a head.
    if (m_listener != nullptr && !m_isPaused && m_in.size() > MaxResponseHeadBytes) {
        rejectResponse("unparsed bytes exceed the limit");
    }
    read();
}

void ServerConnection::beginAnswer()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(MaxResponseHeadBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_isHead);
    m_head = {};
    m_isStale = false;
}

void ServerConnection::parse()
{
    if (m_isParsing) {
        return;
    }
    m_isParsing = true;
    const auto self = shared_from_this();
    while (!m_isClosed && !m_isPaused && !m_isDone && m_listener != nullptr) {
        if (!m_parser->is_header_done() && !parseHead()) {
            break;
        }
        if (m_isClosed || !parseBody()) {
            break;
        }
    }
    m_isParsing = false;
}

bool ServerConnection::parseHead()
{
    boost::system::error_code ec;
    m_parser->eager(false);
    const auto n = m_parser->put(boost::asio::buffer(m_in), ec);
    m_in.erase(0, n);
    if (ec && ec != Http::error::need_more && ec != Http::error::need_buffer) {
        rejectResponse(ec.message());
        return false;
    }
    m_skippedBytes += n;
    if (m_skippedBytes > MaxSkippedBytes) {
        rejectResponse("too many bytes of interim responses and responses to other requests");
        return false;
    }
    if (!m_parser->is_header_done()) {
        if (m_in.size() > MaxResponseHeadBytes) {
            rejectResponse("head too large");
        }
        return false;
    }
    const auto &head = m_parser->get();
    m_head.status = head.result_int();
    if (m_head.status < FirstStatus || m_head.status >= StatusEnd) {
        rejectResponse("invalid status " + std::to_string(m_head.status));
        return false;
    }
    m_head.reason = std::string(toStringView(head.reason()));
    const ConnectionTokens tokens(head);
    for (const auto &it : head) {
        const auto name = toStringView(it.name_string());
        Platform::readResponseHeader(m_head.attributes, name, toStringView(it.value()));
        if (Platform::responseHeaderPolicy(name) == Platform::HeaderPolicy::Forward && !tokens.contains(name)) {
            m_head.headers.append(name).append(": ").append(toStringView(it.value())).append("\r\n");
        }
    }
    const auto length = m_parser->content_length();
    if (length) {
        m_head.length = *length;
    }
    m_head.hasBody = !m_isHead && m_head.status != StatusNoContent && m_head.status != StatusNotModified;
    m_head.endsWithConnection = m_parser->need_eof();
    m_isStale = m_head.status < FirstFinalStatus || (m_head.attributes.requestId && *m_head.attributes.requestId != m_requestId);
    if (m_isStale && m_parser->need_eof() && m_head.status >= FirstFinalStatus) {
        rejectResponse("belongs to another request and has no Content-Length");
        return false;
    }
    if (m_head.attributes.keepAlive) {
        m_keepAlive = m_head.attributes.keepAlive;
    }
    if (!m_isStale && !m_listener->onResponseHead(m_head)) {
        fail("response rejected");
        return false;
    }
    return true;
}

bool ServerConnection::parseBody()
{
    std::array<char, 8192> piece; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the parser
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        boost::system::error_code ec;
        m_parser->eager(true);
        const auto n = m_parser->put(boost::asio::buffer(m_in), ec);
        m_in.erase(0, n);
        m_skippedBytes += m_isStale ? n : 0;
        if (m_skippedBytes > MaxSkippedBytes) {
            rejectResponse("too many bytes of interim responses and responses to other requests");
            return false;
        }
        const std::size_t got = piece.size() - m_parser->get().body().size;
        if (ec && ec != Http::error::need_buffer && ec != Http::error::need_more) {
            rejectResponse(ec.message());
            return false;
        }
        const bool isWanted = got != 0 && !m_isStale && m_listener != nullptr;
        const auto action = isWanted ? m_listener->onResponseBody(std::string_view(piece.data(), got)) : BodyAction::More;
        if (action == BodyAction::Drop) {
            fail("response rejected");
            return false;
        }
        m_isPaused = action == BodyAction::Pause;
        if (m_isClosed || m_isPaused) {
            return false;
        }
        if (ec == Http::error::need_more || (m_in.empty() && !m_parser->is_done())) {
            return false;
        }
    }
    if (m_isStale) {
        beginAnswer();
        return !m_in.empty();
    }
    finishAnswer();
    return false;
}

void ServerConnection::finishAnswer()
{
    const bool isReusable = m_parser->keep_alive() && !m_parser->need_eof() && m_in.empty();
    const auto self = shared_from_this();
    m_isDone = true;
    // The timer of an early response goes on, since the server may still read the request.
    if (!m_isWriting) {
        stopTimer(m_sendTimer);
    }
    auto *listener = std::exchange(m_listener, nullptr);
    if (listener != nullptr) {
        listener->onResponseComplete();
    }
    if (m_isClosed) {
        return;
    }
    if (!isReusable) {
        release(false);
    } else if (!m_isWriting) {
        release(true);
    }
}

void ServerConnection::resume()
{
    if (!m_isPaused || m_isClosed) {
        return;
    }
    m_isPaused = false;
    parse();
    read();
}

void ServerConnection::rejectResponse(const std::string &why)
{
    m_isResponseInvalid = true;
    fail("response: " + why);
}

void ServerConnection::fail(const std::string &message)
{
    if (m_isClosed) {
        return;
    }
    const auto self = shared_from_this();
    auto *listener = std::exchange(m_listener, nullptr);
    const ServerConnectionFailure failure{m_wasSent, m_wasRefused, message, m_isResponseInvalid};
    release(false);
    if (listener != nullptr) {
        listener->onConnectionFailure(failure);
    }
    if (m_openedHandler) {
        std::exchange(m_openedHandler, nullptr)(m_wasRefused ? ConnectResult::Refused : ConnectResult::Failed);
    }
}

void ServerConnection::abandon()
{
    m_listener = nullptr;
    if (!m_isClosed) {
        release(false);
    }
}

void ServerConnection::release(bool isReusable)
{
    const auto self = shared_from_this();
    if (isReusable) {
        m_idleSince = now();
        m_isDone = false;
        m_listener = nullptr;
    } else {
        closeSocket();
    }
    m_releasedHandler(self, isReusable);
}

void ServerConnection::closeSocket()
{
    m_isClosed = true;
    stopTimer(m_connectTimer);
    stopTimer(m_sendTimer);
    boost::system::error_code ec;
    m_socket.close(ec);
}

} // namespace Vanillahall::Forward
