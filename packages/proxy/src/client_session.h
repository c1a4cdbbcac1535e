/** Server side of a client connection. */
#pragma once

#include "client_account.h"
#include "request_reader.h"
#include "send_progress.h"

#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class ClientSession;

/** Handles the requests and events of sessions. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /** Called with each complete request. The handler responds by ClientSession::write(), then finish() or abortResponse(). */
    virtual void onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest request) = 0;
    /** Called when the client closes the connection while its request is in progress. */
    virtual void onClientDisconnected(const std::shared_ptr<ClientSession> &session) = 0;
    /** Called when the send buffer has drained after write() returned false. */
    virtual void onSessionDrained(const std::shared_ptr<ClientSession> &session) = 0;
    /** Called when a request is rejected while it is read. */
    virtual void onRequestError(const RequestError &error) = 0;
    /** Called when the connection has been closed. */
    virtual void onSessionClosed(const std::shared_ptr<ClientSession> &session) = 0;
    /** @return Limits on clients. */
    [[nodiscard]] virtual const ClientLimits &limits() const = 0;
    /** Changes the memory reserved for a body from `oldSize` to `newSize` bytes. @return False if that would exceed the limit; nothing
     * changes then. */
    virtual bool reserveBodyBytes(std::size_t oldSize, std::size_t newSize) = 0;
    /** Refuses requests that are being received, possibly that of the caller, to make room for a body. @param bytes Bytes needed. */
    virtual void makeRoomForBody(std::size_t bytes) = 0;
    /** @return Account of the memory held for clients. */
    [[nodiscard]] virtual const std::shared_ptr<ClientAccount> &account() const = 0;
    /** Called when more memory is held for a client than before. May refuse or close any session without a request in progress. */
    virtual void onMemoryHeld() = 0;
    /** @return False if connections have to be closed once they are idle. */
    [[nodiscard]] virtual bool keepsConnections() const = 0;
};

/** Reads requests one at a time and writes the responses. */
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(boost::asio::ip::tcp::socket socket, RequestHandler &handler, std::uint64_t number);

    // Commands.

    /** Starts to read requests. */
    void start();
    /** Sends bytes. @return False if the send buffer is full; the caller should pause until onSessionDrained(). */
    bool write(std::string_view bytes);
    /** Marks the response as complete. @param keepsAlive True if another request may follow. */
    void finish(bool keepsAlive);
    /**
     * Closes the connection in the middle of a response, such that the client can't take it for complete.
     * @param isCloseDelimited True if the end of the connection marks the end of the body.
     */
    void abortResponse(bool isCloseDelimited);
    /** Closes the connection if no request is in progress, once the client has read its responses. */
    void closeIfIdle();
    /** Closes the connection at once. */
    void close();
    /** Refuses the request that is being received, or closes the connection, and releases what is held for it. */
    void evict();

    // Queries.

    /** @return Id of this session, unique in the process. */
    [[nodiscard]] std::uint64_t number() const;
    /** @return True while a request is being read or answered. */
    [[nodiscard]] bool isBusy() const;
    /** @return State of the connection if it can be closed without breaking off a request in progress. */
    [[nodiscard]] std::optional<ClosableClient> closableState() const;
    /** @return State of the connection while its request waits; nothing if its response has begun or no request is complete. */
    [[nodiscard]] std::optional<ClosableClient> waitingState() const;
    /** @return State of the connection while its request is answered and the client doesn't read the response. */
    [[nodiscard]] std::optional<ClosableClient> unreadState() const;

private:
    void read();
    void onReadable(boost::system::error_code ec);
    /** @return True while received bytes stay in the kernel's buffer. */
    [[nodiscard]] bool isReadPaused() const;
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void readRequest();
    /** Reserves memory for the body received so far. @return False if the request was refused for lack of it. */
    bool reserveBody();
    void send();
    [[nodiscard]] ClosableClient state() const;
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] std::size_t maxUnsentBytes() const;
    void updateHeldBytes();
    void releaseInput();
    void releaseHeldBytes();
    /** Checks at intervals whether the client takes the bytes sent, until it has. */
    void watchSending();
    void checkSending();
    /** Closes the connection because the client can't be reached. */
    void disconnect();
    void setTimer();
    void setTimer(Duration span);
    void onTimeout();
    void refuse(const RequestError &error);
    void beginClose();
    void closeGracefully();
    /** Waits for the client to read the last response and to close its side. */
    void linger();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_sendTimer; ///< Next check of the bytes that were sent.
    SendProgress m_sendProgress;
    RequestHandler &m_handler;
    std::uint64_t m_number;
    RequestReader m_reader;
    std::string m_in;
    std::string m_out;
    std::string m_sending;
    HeldBytes m_heldConnection;
    HeldBytes m_heldHead;
    HeldBytes m_heldResponse;
    std::size_t m_reservedBodyBytes = 0;
    std::size_t m_headBytes = 0; ///< Size of the head of the current request.
    TimePoint m_heldSince{};     ///< When the current request, idle time or unread response began.
    TimePoint m_progressAt{};    ///< When bytes were last received or sent.
    bool m_hasBeenServed = false;
    bool m_waitsForDrain = false; ///< True while the next request isn't read because responses are unread.
    bool m_isAnswering = false;
    bool m_isReading = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    bool m_isSendBufferFull = false;
    bool m_isSendWatched = false; ///< True while m_sendTimer is set.
};

} // namespace Vanillahall::Forward
