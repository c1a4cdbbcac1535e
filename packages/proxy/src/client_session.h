/** One connection of a client. */
#pragma once

#include "request_reader.h"

#include <array>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class ClientSession;

/** Who answers the requests of a session. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /** A request is whole. The answer is given by ClientSession::write() and finish() or breakOff(). */
    virtual void onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest request) = 0;
    /** The client has closed the connection while its request was in progress. */
    virtual void onClientDisconnected(const std::shared_ptr<ClientSession> &session) = 0;
    /** What was written has been sent; more may be written. */
    virtual void onSessionDrained(const std::shared_ptr<ClientSession> &session) = 0;
    /** A request was refused while it was read. */
    virtual void onRequestError(const RequestError &error) = 0;
    /** The connection is closed. */
    virtual void onSessionClosed(const std::shared_ptr<ClientSession> &session) = 0;
    /** @return Limits on clients. */
    [[nodiscard]] virtual const ClientLimits &limits() const = 0;
    /** @return True if bodies of this size can be held now. */
    virtual bool takesBody(std::size_t oldSize, std::size_t newSize) = 0;
    /** @return True if connections are to be closed after their answer. */
    [[nodiscard]] virtual bool isStopping() const = 0;
};

/** Reads requests, one at a time, and writes answers. */
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(boost::asio::ip::tcp::socket socket, RequestHandler &handler, std::uint64_t number);

    // Commands.

    /** Begins to read. */
    void start();
    /** Sends bytes. @return False if so much waits that the writer should pause until onSessionDrained(). */
    bool write(std::string_view bytes);
    /** The answer is whole. @param keepsAlive True if another request may follow. */
    void finish(bool keepsAlive);
    /** Closes in the middle of an answer so that it doesn't look whole. @param endsByClose True if only the close ends its body. */
    void breakOff(bool endsByClose);
    /** Closes if no request is in progress. */
    void closeIdle();

    // Queries.

    /** @return Number of this session, unique in the process. */
    [[nodiscard]] std::uint64_t number() const;
    /** @return True while a request is read or answered. */
    [[nodiscard]] bool isBusy() const;

private:
    void read();
    void haveRead(const boost::system::error_code &ec, std::size_t n);
    void readRequest();
    void send();
    void setTimer();
    void timeOut();
    void refuse(const RequestError &error);
    void beginClose();
    void closeGently();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    RequestHandler &m_handler;
    std::uint64_t m_number;
    RequestReader m_reader;
    std::string m_in;
    std::string m_out;
    std::string m_sending;
    std::array<char, 8192> m_buf{};
    std::size_t m_bodyHeld = 0;
    bool m_isAnswering = false;
    bool m_isReading = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    bool m_isFull = false;
};

} // namespace Vanillahall::Forward
