#include "client_session.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "response_text_func.h"
#include "socket_option_func.h"
#include "timer_func.h"

#include <boost/asio/write.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxReadAheadBytes
    = std::size_t{64} * 1024; ///< Limit on bytes read ahead while a request is answered; more stay in the kernel's buffer.
constexpr std::size_t MaxUnsentBytes = std::size_t{128} * 1024; ///< Bytes buffered for a slow client before reading from the server pauses.
constexpr std::chrono::seconds LingerTimeout{1};                ///< Time for the client to close its side after the last response.

} // namespace

ClientSession::ClientSession(boost::asio::ip::tcp::socket socket, RequestHandler &handler, std::uint64_t number)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handler(handler)
    , m_number(number)
{
}

std::uint64_t ClientSession::number() const
{
    return m_number;
}

bool ClientSession::isBusy() const
{
    return m_isAnswering || m_reader.hasBegun() || !m_in.empty() || !m_sending.empty();
}

void ClientSession::start()
{
    setSocketOptions(m_socket);
    setTimer();
    read();
}

void ClientSession::read()
{
    if (m_isReading || m_isClosed || (m_isAnswering && m_in.size() >= MaxReadAheadBytes)) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_buf), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
        self->m_isReading = false;
        if (!self->m_isClosed) {
            self->onRead(ec, n);
        }
    });
}

void ClientSession::onRead(const boost::system::error_code &ec, std::size_t n)
{
    if (ec) {
        if (m_isAnswering) {
            m_isAnswering = false;
            m_handler.onClientDisconnected(shared_from_this());
        }
        close();
        return;
    }
    if (!m_isClosing) {
        m_in.append(m_buf.data(), n);
        readRequest();
    }
    read();
}

void ClientSession::readRequest()
{
    if (m_isAnswering || m_isClosing || m_isClosed) {
        return;
    }
    const bool hadBegun = m_reader.hasBegun();
    const auto progress = m_reader.read(m_in, m_handler.limits(), now());
    if (!m_handler.reserveBodyBytes(m_reservedBodyBytes, m_reader.bodySize())) {
        refuse({StatusUnavailable, "memory limit for request bodies exceeded", ShortRetryAfter});
        return;
    }
    m_reservedBodyBytes = m_reader.bodySize();
    switch (progress) {
    case RequestReader::Progress::Invalid:
        refuse(m_reader.error());
        return;
    case RequestReader::Progress::NeedMore:
        if (m_reader.takeExpectContinue()) {
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (m_reader.hasHead() || (!hadBegun && m_reader.hasBegun())) {
            setTimer();
        }
        return;
    case RequestReader::Progress::Complete:
        break;
    }
    m_isAnswering = true;
    stopTimer(m_timer);
    m_handler.onRequest(shared_from_this(), m_reader.takeRequest());
}

bool ClientSession::write(std::string_view bytes)
{
    if (m_isClosed) {
        return true;
    }
    m_out.append(bytes);
    send();
    m_isSendBufferFull = m_out.size() + m_sending.size() > MaxUnsentBytes;
    return !m_isSendBufferFull;
}

void ClientSession::send()
{
    if (!m_sending.empty() || m_out.empty() || m_isClosed) {
        return;
    }
    m_sending.swap(m_out);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_sending), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            self->m_sending.clear();
            if (self->m_isClosed) {
                return;
            }
            if (ec) {
                self->onRead(ec, 0);
                return;
            }
            self->send();
            if (self->m_isSendBufferFull && self->m_out.size() + self->m_sending.size() <= MaxUnsentBytes) {
                self->m_isSendBufferFull = false;
                self->m_handler.onSessionDrained(self);
            }
            if (self->m_isClosing && self->m_sending.empty()) {
                self->closeGracefully();
            }
        });
}

void ClientSession::finish(bool keepsAlive)
{
    if (m_isClosed) {
        return;
    }
    m_isAnswering = false;
    m_handler.reserveBodyBytes(m_reservedBodyBytes, 0);
    m_reservedBodyBytes = 0;
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
    }
}

void ClientSession::closeIfIdle()
{
    if (!isBusy()) {
        close();
    }
}

void ClientSession::refuse(const RequestError &error)
{
    m_handler.onRequestError(error);
    write(formatLocalResponse({error.status, {}, error.retryAfter, false}));
    finish(false);
}

void ClientSession::setTimer()
{
    const auto &limits = m_handler.limits();
    runAfter(m_timer, m_reader.hasBegun() ? limits.headerTimeout : limits.idleTimeout, *this, [](ClientSession &self) {
        self.onTimeout();
    });
}

void ClientSession::onTimeout()
{
    if (!m_reader.hasBegun()) {
        close();
        return;
    }
    refuse({StatusRequestTimeout, "request not received in time"});
}

void ClientSession::closeGracefully()
{
    // Closing with unread bytes would send a reset, which may discard the response at the client. So the input is drained first.
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    runAfter(m_timer, LingerTimeout, *this, [](ClientSession &self) {
        self.close();
    });
    read();
}

void ClientSession::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_handler.reserveBodyBytes(m_reservedBodyBytes, 0);
    m_reservedBodyBytes = 0;
    stopTimer(m_timer);
    boost::system::error_code ec;
    m_socket.close(ec);
    m_handler.onSessionClosed(shared_from_this());
}

} // namespace Vanillahall::Forward
