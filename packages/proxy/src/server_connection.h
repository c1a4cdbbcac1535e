/** One connection to a backend server; carries one request at a time. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

/** Head of a server's answer. */
struct ResponseHead
{
    unsigned status = 0;                 ///< HTTP status.
    std::string reason;                  ///< Reason phrase.
    std::string headers;                 ///< Headers that are passed on, each ended by CR LF.
    ResponseAttributes attributes;       ///< What the headers say.
    std::optional<std::uint64_t> length; ///< Length of the body, if told.
    bool endsWithConnection = false;     ///< True if only the end of the connection ends the body.
    bool hasBody = true;                 ///< False if the status or method has none.
};

/** How a connection ended before the answer was whole. */
struct ServerConnectionFailure
{
    bool wasSent = false; ///< True if any byte of the request may have reached the server.
    std::string message;  ///< For the log.
};

/** What to do after a piece of a body. */
enum class BodyAction {
    More,  ///< Read on.
    Pause, ///< Wait for ServerConnection::resume().
    Drop,  ///< End the connection; onConnectionFailure() follows.
};

/** Which connections a request may use. */
enum class ConnectionChoice {
    Any, ///< An idle one or a new one.
    New, ///< A new one only.
};

/** Who waits for an answer. */
class ServerConnectionListener
{
public:
    virtual ~ServerConnectionListener() = default;
    /** The head came. @return False to drop the connection. */
    virtual bool onResponseHead(const ResponseHead &head) = 0;
    /** A piece of the body came. */
    virtual BodyAction onResponseBody(std::string_view piece) = 0;
    /** The answer is whole. */
    virtual void onResponseComplete() = 0;
    /** The connection ended before that. */
    virtual void onConnectionFailure(const ServerConnectionFailure &failure) = 0;
};

/** One connection. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Called when the connection can take another request (true) or is closed (false). */
    using Released = std::function<void(const std::shared_ptr<ServerConnection> &connection, bool isReusable)>;

    ServerConnection(boost::asio::io_context &loop, Server server, Released released);

    // Commands.

    /**
     * Sends a request; connects first if needed.
     * @param user Gets the answer; must outlive the request or call abandon().
     * @param text Head and body.
     * @param requestId Answers to other requests are skipped.
     */
    void send(ServerConnectionListener *listener, std::string text, std::string requestId, bool isHead);
    /** Reads on after a pause. */
    void resume();
    /** Closes the connection; nobody is called back any more. */
    void abandon();

    // Queries.

    /** @return The server. */
    [[nodiscard]] const Server &server() const;
    /** @return True if the connection is open, idle, and the server will keep it for a while. */
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /** @return True if any byte of the present request may have reached the server. */
    [[nodiscard]] bool wasSent() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect();
    void write();
    void read();
    void haveRead(const boost::system::error_code &ec, std::size_t n);
    void parse();
    bool parseHead();
    bool parseBody();
    void beginAnswer();
    void finishAnswer();
    void fail(const std::string &message);
    void release(bool isReusable);
    void closeSocket();

    boost::asio::ip::tcp::socket m_socket;          ///< The connection.
    boost::asio::steady_timer m_connectTimer;       ///< Ends a connection that doesn't come about.
    Server m_server;                                ///< The server.
    Released m_released;                            ///< Told when the connection is free or closed.
    ServerConnectionListener *m_listener = nullptr; ///< Who waits for the present answer; null when idle.
    std::string m_out;                              ///< Request under way.
    std::string m_requestId;                        ///< Id of the present request.
    std::size_t m_skipped = 0;                      ///< Bytes of heads and of answers to other requests since the request was sent.
    std::string m_in;                               ///< Bytes that aren't parsed yet.
    std::array<char, 16384> m_buf{};                ///< Takes what is read.
    std::unique_ptr<Parser> m_parser;               ///< Parser of the present answer.
    ResponseHead m_head;                            ///< Head of the present answer.
    TimePoint m_idleSince{};                        ///< When the last answer ended.
    std::optional<Duration> m_keepAlive;            ///< For how long the server keeps it idle.
    bool m_isOpen = false;                          ///< True once connected.
    bool m_isClosed = false;                        ///< True after the end.
    bool m_isHead = false;                          ///< True if the answer has no body by its method.
    bool m_isWriting = false;                       ///< True while the request is sent.
    bool m_isReading = false;                       ///< True while a read is open.
    bool m_isPaused = false;                        ///< True while the user takes no more.
    bool m_wasSent = false;                         ///< True if any byte of the request may have left.
    bool m_isStale = false;                         ///< True while an answer to another request is skipped.
    bool m_isDone = false;                          ///< True between the end of an answer and the next request.
    bool m_isParsing = false;                       ///< True inside parse(), which callbacks may reach again.
};

} // namespace Vanillahall::Forward
