#include "client_session.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "read_buffer_func.h"
#include "response_text_func.h"
#include "socket_option_func.h"
#include "timer_func.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxReadAheadBytes
    = std::size_t{8} * 1024; ///< Limit on bytes read ahead while a request is answered; more stay in the kernel's buffer.
constexpr std::size_t MaxUnsentAheadBytes
    = std::size_t{16} * 1024; ///< The next pipelined request is read only if at most this many bytes of responses are unsent.
constexpr std::size_t MaxKeptCapacity = std::size_t{8} * 1024; ///< Larger empty buffers are released.
constexpr std::size_t SessionBytes
    = std::size_t{8} * 1024; ///< Memory for a session, its request without head and body, and the connection to a server (estimated).
constexpr std::chrono::seconds LingerTimeout{1}; ///< Time for the client to close its side after the last response.

void releaseIfLarge(std::string &buf)
{
    if (buf.empty() && buf.capacity() > MaxKeptCapacity) {
        std::string().swap(buf);
    }
}

} // namespace

ClientSession::ClientSession(boost::asio::ip::tcp::socket socket, RequestHandler &handler, std::uint64_t number)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_sendTimer(m_socket.get_executor())
    , m_sendProgress(m_socket)
    , m_handler(handler)
    , m_number(number)
    , m_heldConnection(handler.account(), Holding::Connection)
    , m_heldHead(handler.account(), Holding::Head)
    , m_heldResponse(handler.account(), Holding::Response)
{
}

std::uint64_t ClientSession::number() const
{
    return m_number;
}

bool ClientSession::isBusy() const
{
    return m_isAnswering || m_isClosing || m_reader.hasBegun() || !m_in.empty() || !m_sending.empty();
}

void ClientSession::start()
{
    setSocketOptions(m_socket);
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    m_heldConnection.set(SessionBytes);
    m_heldSince = now();
    m_progressAt = m_heldSince;
    setTimer();
    read();
}

void ClientSession::read()
{
    if (m_isReading || m_isClosed || isReadPaused()) {
        return;
    }
    m_isReading = true;
    // Waiting needs no buffer, so idle connections don't hold one.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &waitError) {
        self->onReadable(waitError);
    });
}

void ClientSession::onReadable(boost::system::error_code ec)
{
    // m_isReading stays set, so that the handlers of the bytes don't wait for more as well.
    for (unsigned reads = 0; reads < MaxReadsPerEvent && !m_isClosed && !isReadPaused(); reads++) {
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

bool ClientSession::isReadPaused() const
{
    return (m_isAnswering || m_waitsForDrain) && m_in.size() >= MaxReadAheadBytes;
}

void ClientSession::onRead(const boost::system::error_code &ec, std::size_t n)
{
    if (ec) {
        disconnect();
        return;
    }
    if (!m_isClosing) {
        m_in.append(readBuffer().data(), n);
        m_progressAt = now();
        readRequest();
    }
    read();
}

void ClientSession::readRequest()
{
    if (m_isAnswering || m_isClosing || m_isClosed) {
        return;
    }
    if (!m_reader.hasBegun() && unsentBytes() > MaxUnsentAheadBytes) {
        m_waitsForDrain = true;
        updateHeldBytes();
        return;
    }
    m_waitsForDrain = false;
    const bool hadBegun = m_reader.hasBegun();
    const auto progress = m_reader.read(m_in, m_handler.limits(), m_progressAt);
    m_headBytes = m_reader.headBytes();
    if (!hadBegun && m_reader.hasBegun()) {
        m_heldSince = m_progressAt;
    }
    if (progress == RequestReader::Progress::Invalid) {
        const auto error = m_reader.error();
        refuse(error);
        return;
    }
    if (!reserveBody()) {
        return;
    }
    if (progress == RequestReader::Progress::NeedMore) {
        if (m_reader.takeExpectContinue()) {
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (!hadBegun && m_reader.hasBegun()) {
            setTimer();
        }
        updateHeldBytes();
        return;
    }
    m_isAnswering = true;
    m_hasBeenServed = true;
    stopTimer(m_timer);
    auto request = m_reader.takeRequest();
    releaseIfLarge(m_in);
    updateHeldBytes();
    m_handler.onRequest(shared_from_this(), std::move(request));
}

bool ClientSession::write(std::string_view bytes)
{
    if (m_isClosed) {
        return true;
    }
    if (unsentBytes() == 0) {
        m_progressAt = now();
    }
    m_out.append(bytes);
    send();
    if (!bytes.empty()) {
        updateHeldBytes();
    }
    m_isSendBufferFull = unsentBytes() > maxUnsentBytes();
    return !m_isSendBufferFull;
}

void ClientSession::send()
{
    if (!m_sending.empty() || m_out.empty() || m_isClosed) {
        return;
    }
    m_sending.swap(m_out);
    watchSending();
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_sending), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            self->m_sending.clear();
            releaseIfLarge(self->m_sending);
            if (self->m_isClosed) {
                return;
            }
            if (ec) {
                self->disconnect();
                return;
            }
            self->m_progressAt = now();
            self->send();
            self->updateHeldBytes();
            if (self->m_isClosed) {
                return;
            }
            if (self->m_isSendBufferFull && self->unsentBytes() <= self->maxUnsentBytes()) {
                self->m_isSendBufferFull = false;
                self->m_handler.onSessionDrained(self);
            }
            if (self->m_waitsForDrain && self->unsentBytes() <= MaxUnsentAheadBytes) {
                self->readRequest();
                self->read();
            }
            if (self->m_isClosing && self->m_sending.empty()) {
                self->closeGracefully();
            }
        });
}

void ClientSession::watchSending()
{
    if (m_isSendWatched) {
        return;
    }
    m_isSendWatched = true;
    runAfter(m_sendTimer, SendCheckInterval, *this, [](ClientSession &self) {
        self.m_isSendWatched = false;
        self.checkSending();
    });
}

void ClientSession::checkSending()
{
    if (m_isClosed) {
        return;
    }
    const auto state = m_sendProgress.update(now());
    m_progressAt = std::max(m_progressAt, m_sendProgress.advancedAt().value_or(m_progressAt));
    const bool isPending = state == SendState::Pending || unsentBytes() != 0;
    // Outside of requests, m_timer limits the time without progress.
    const bool isStalled = isPending && m_isAnswering && now() - m_progressAt >= m_handler.limits().idleTimeout;
    if (state == SendState::Unreachable || isStalled) {
        disconnect();
    } else if (isPending) {
        watchSending();
    }
}

void ClientSession::disconnect()
{
    if (std::exchange(m_isAnswering, false)) {
        m_handler.onClientDisconnected(shared_from_this());
    }
    close();
}

void ClientSession::finish(bool keepsAlive)
{
    if (m_isClosed) {
        return;
    }
    m_isAnswering = false;
    m_handler.reserveBodyBytes(m_reservedBodyBytes, 0);
    m_reservedBodyBytes = 0;
    m_headBytes = 0;
    m_heldSince = now();
    if (unsentBytes() == 0) {
        m_progressAt = m_heldSince;
    }
    // The client may not know that the proxy is stopping, if its response began before that.
    if (!keepsAlive || (m_in.empty() && !m_handler.keepsConnections())) {
        beginClose();
        return;
    }
    setTimer();
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->readRequest();
        self->read();
    });
}

void ClientSession::abortResponse(bool isCloseDelimited)
{
    if (m_isClosed) {
        return;
    }
    m_isAnswering = false;
    if (isCloseDelimited) {
        // After an ordinary close the response would look complete; a reset marks it as broken.
        boost::system::error_code ec;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        close();
        return;
    }
    beginClose();
}

void ClientSession::beginClose()
{
    m_isClosing = true;
    if (m_sending.empty()) {
        closeGracefully();
    } else {
        setTimer(std::max(m_progressAt + m_handler.limits().idleTimeout - now(), Duration::zero()));
    }
}

void ClientSession::closeIfIdle()
{
    if (isBusy()) {
        return;
    }
    if (m_sendProgress.update(now()) == SendState::Delivered) {
        close();
    } else {
        beginClose();
    }
}

void ClientSession::refuse(const RequestError &error)
{
    m_handler.onRequestError(error);
    releaseInput();
    m_isClosing = true;
    write(formatLocalResponse({error.status, {}, error.retryAfter, false}));
    finish(false);
}

void ClientSession::setTimer()
{
    const auto &limits = m_handler.limits();
    setTimer(m_reader.hasBegun() ? limits.headerTimeout : limits.idleTimeout);
}

void ClientSession::setTimer(Duration span)
{
    runAfter(m_timer, span, *this, [](ClientSession &self) {
        self.onTimeout();
    });
}

void ClientSession::onTimeout()
{
    // A client that sends a body or reads a response has the whole time again after each progress.
    const bool isMoving = unsentBytes() != 0 || m_sendProgress.state() == SendState::Pending || m_reader.hasHead();
    const auto &limits = m_handler.limits();
    const auto left = m_progressAt + (m_reader.hasBegun() ? limits.headerTimeout : limits.idleTimeout) - now();
    if (isMoving && left > Duration::zero()) {
        setTimer(left);
    } else if (m_isClosing || !m_reader.hasBegun()) {
        close();
    } else {
        refuse({StatusRequestTimeout, "request not received in time"});
    }
}

void ClientSession::closeGracefully()
{
    // Closing with unread bytes would send a reset, which may discard the response at the client. So the input is drained first.
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    linger();
    read();
}

void ClientSession::linger()
{
    runAfter(m_timer, LingerTimeout, *this, [](ClientSession &self) {
        self.checkSending();
        const bool isRead = self.m_sendProgress.state() == SendState::Delivered;
        if (self.m_isClosed) {
            return;
        }
        if (isRead || now() - self.m_progressAt >= self.m_handler.limits().idleTimeout) {
            self.close();
        } else {
            self.linger();
        }
    });
}

void ClientSession::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    releaseHeldBytes();
    stopTimer(m_timer);
    stopTimer(m_sendTimer);
    boost::system::error_code ec;
    m_socket.close(ec);
    m_handler.onSessionClosed(shared_from_this());
}

} // namespace Vanillahall::Forward
