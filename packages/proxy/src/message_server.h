/** Small HTTP server without streaming, for readiness checks, metrics and calls from other proxies. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/proxy/proxy_type.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

/** A completely received request. */
struct MessageRequest
{
    std::string method; ///< HTTP method.
    std::string target; ///< Path and query.
    std::string body;
    std::string authorization = {}; ///< Value of the field Authorization; empty if there is none. Secret: never logged.
    bool isFromLoopback = false;    ///< True if the sender has a loopback address.
};

/** The response to it. */
struct MessageReply
{
    unsigned status = 200; ///< HTTP status.
    std::string type;      ///< Content type; empty for none.
    std::string body;
};

/** Limits of one MessageServer. */
struct MessageLimits
{
    std::size_t maxConnections = 64; ///< When a further client connects, the connection that has waited longest for its request is closed.
    std::size_t maxBodyBytes = std::size_t{2} * 1024 * 1024; ///< Limit on the body of a request.
    std::size_t maxHeldBytes = std::size_t{4} * 1024 * 1024; ///< Limit on all bodies that are received at the same time.
};

class MessageConnection;

/** Serves requests on one address. */
class MessageServer
{
public:
    using Reply = std::function<void(MessageReply reply)>; ///< Sends the response; called once, immediately or later.
    using Handler = std::function<void(const MessageRequest &request, Reply answer)>; ///< Handles one request.

    MessageServer(boost::asio::io_context &loop, Handler handler, MessageLimits limits = {});
    ~MessageServer();
    MessageServer(const MessageServer &) = delete;
    MessageServer &operator=(const MessageServer &) = delete;

    // Commands.

    /** Starts to listen. @return False if the address can't be bound; `reason` is set then. */
    bool listen(const ProxyAddress &address, Error &reason);
    /** Stops accepting connections. */
    void close();

    // Queries.

    /** @return Port that the server listens on. */
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const MessageLimits &limits() const;
    /** @return Number of connections that were closed to accept others. */
    [[nodiscard]] std::size_t closedConnections() const;

private:
    friend class MessageConnection;

    void accept();
    /** Closes a connection if there are as many as allowed. */
    void makeRoom();
    void handle(const MessageRequest &request, const Reply &answer);
    /** @return False if the body doesn't fit into the limit. */
    bool reserveBody(std::size_t bytes);
    void releaseBody(std::size_t bytes);
    void remove(const MessageConnection &connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer; ///< Delay after a failed accept.
    MessageLimits m_limits;
    Handler m_handler;
    std::list<std::shared_ptr<MessageConnection>> m_connections; ///< Open connections, the oldest first.
    std::size_t m_bodyBytes = 0;                                 ///< Memory reserved for bodies.
    std::size_t m_closedConnections = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< Expires with this object.
};

/** Binds an acceptor to an address and listens. @return False if the address can't be bound; `reason` is set then. */
bool openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const ProxyAddress &address, Error &reason);

} // namespace Vanillahall::Forward
