/** HTTP connection to a backend server; carries one request at a time. */
#pragma once

#include "send_progress.h"

#include "vanillahall/core/abandoned_attempts_base.h"
#include "vanillahall/core/forward_type.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

/** Head of a server's response. */
struct ResponseHead
{
    unsigned status = 0;                 ///< HTTP status.
    std::string reason;                  ///< Reason phrase.
    std::string headers;                 ///< Headers to forward, each ended by CR LF.
    ResponseAttributes attributes;       ///< Attributes parsed from the headers.
    std::optional<std::uint64_t> length; ///< Value of Content-Length, if any.
    bool endsWithConnection = false;     ///< True if the end of the connection marks the end of the body.
    bool hasBody = true;                 ///< False if the status or the method excludes a body.
};

/** Describes a connection that ended before the response was complete. */
struct ServerConnectionFailure
{
    bool wasSent = false;           ///< True if any byte of the request may have reached the server.
    bool wasRefused = false;        ///< True if no process listens at the server's port.
    std::string message;            ///< Error text for the log.
    bool isResponseInvalid = false; ///< True if the server sent what is no response, and the proxy closed the connection.
};

/** How to proceed after a piece of a body. */
enum class BodyAction {
    More,  ///< Continue reading.
    Pause, ///< Stop reading until ServerConnection::resume().
    Drop,  ///< Close the connection; onConnectionFailure() follows.
};

/** Which connections a request may use. */
enum class ConnectionChoice {
    Any, ///< An idle or a new connection.
    New, ///< Only a new connection.
};

/** Receives the response to a request. */
class ServerConnectionListener
{
public:
    virtual ~ServerConnectionListener() = default;
    /** Called when a new connection is open, before the request is written. @return False to write nothing; no other call follows then. */
    virtual bool onConnected() = 0;
    /** Called with the head of the response. @return False to close the connection; onConnectionFailure() follows. */
    virtual bool onResponseHead(const ResponseHead &head) = 0;
    /** Called with each piece of the body. */
    virtual BodyAction onResponseBody(std::string_view piece) = 0;
    /** Called when the response is complete. */
    virtual void onResponseComplete() = 0;
    /** Called when the connection ends before the response is complete. */
    virtual void onConnectionFailure(const ServerConnectionFailure &failure) = 0;
};

/** A connection to a backend server. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Called when the connection is idle and can be reused (true) or closed (false). */
    using ReleasedHandler = std::function<void(const std::shared_ptr<ServerConnection> &connection, bool isReusable)>;

    ServerConnection(boost::asio::io_context &loop, Server server, ReleasedHandler released);

    // Commands.

    /**
     * Sends a request; connects first if necessary.
     * @param listener Receives the response; must outlive the request or call abandon().
     * @param text Head and body.
     * @param requestId Id of the request; responses to other requests are skipped.
     * @param isHead True for the method HEAD, whose responses have no body.
     */
    void send(ServerConnectionListener *listener, std::string text, std::string requestId, bool isHead);
    /** Called with the result of open(). */
    using OpenedHandler = std::function<void(ConnectResult result)>;

    /** Connects without a request. An established connection becomes idle, before the handler is called. */
    void open(OpenedHandler opened);
    /** Continues reading after BodyAction::Pause. */
    void resume();
    /** Closes the connection; the listener isn't called after this. */
    void abandon();

    // Queries.

    [[nodiscard]] const Server &server() const;
    /** @return True if the connection is idle and the server won't close it as idle before the next request reaches it. */
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /** @return True if any byte of the current request may have reached the server. */
    [[nodiscard]] bool wasSent() const;
    /** @return True if the connection has carried another request before the current one. */
    [[nodiscard]] bool isReused() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect();
    void write();
    /** Checks at intervals whether the server takes the request, until it has. */
    void watchSending();
    void read();
    void onReadable(boost::system::error_code ec);
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parse();
    bool parseHead();
    bool parseBody();
    void beginAnswer();
    void finishAnswer();
    /** Ends the connection because the server sends what is no response to the request. */
    void rejectResponse(const std::string &why);
    void fail(const std::string &message);
    void release(bool isReusable);
    void closeSocket();

    boost::asio::ip::tcp::socket m_socket;          ///< Socket of the connection.
    boost::asio::steady_timer m_connectTimer;       ///< Limits the time for connecting.
    boost::asio::steady_timer m_sendTimer;          ///< Next check of the bytes that were sent.
    SendProgress m_sendProgress;                    ///< Whether the server has taken the request.
    Server m_server;                                ///< Server as listed when the connection was created.
    ReleasedHandler m_releasedHandler;              ///< Called when the connection becomes idle or closed.
    OpenedHandler m_openedHandler;                  ///< Receives the result of open(); null once called.
    ServerConnectionListener *m_listener = nullptr; ///< Receiver of the current response; null when idle.
    std::string m_out;                              ///< Request that is being sent.
    std::string m_requestId;                        ///< Id of the current request.
    std::size_t m_skippedBytes = 0;                 ///< Bytes of heads, and of responses to other requests, received since send().
    std::string m_in;                               ///< Received bytes that aren't parsed yet.
    std::unique_ptr<Parser> m_parser;               ///< Parser of the current response.
    ResponseHead m_head;                            ///< Head of the current response.
    TimePoint m_idleSince{};                        ///< When the last response ended.
    std::optional<Duration> m_keepAlive;            ///< Time for which the server keeps an idle connection open, if announced.
    bool m_isOpen = false;                          ///< True once connected.
    bool m_isClosed = false;                        ///< True once closed.
    bool m_isHead = false;                          ///< True if the current request's method is HEAD.
    bool m_isWriting = false;                       ///< True while the request is being sent.
    bool m_isReading = false;                       ///< True while a read is pending.
    bool m_isPaused = false;                        ///< True from BodyAction::Pause to resume().
    std::size_t m_requests = 0;                     ///< Requests sent so far.
    bool m_wasSent = false;                         ///< True if any byte of the request may have been sent.
    bool m_wasRefused = false;                      ///< True if the server has refused the connection.
    bool m_isResponseInvalid = false;               ///< True if rejectResponse() has ended the connection.
    bool m_isStale = false;                         ///< True while a response to another request is skipped.
    bool m_isDone = false;                          ///< True between the end of a response and the next request.
    bool m_isParsing = false;                       ///< True inside parse(); guards against recursion from callbacks.
};

} // namespace Vanillahall::Forward
