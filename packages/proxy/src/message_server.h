/** Small HTTP server without streaming, for readiness checks, metrics and calls from other proxies. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/proxy/proxy_type.h"

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** A completely received request. */
struct MessageRequest
{
    std::string method; ///< HTTP method.
    std::string target; ///< Path and query.
    std::string body;
};

/** The response to it. */
struct MessageReply
{
    unsigned status = 200; ///< HTTP status.
    std::string type;      ///< Content type; empty for none.
    std::string body;
};

/** Serves requests on one address. */
class MessageServer
{
public:
    using Reply = std::function<void(MessageReply reply)>; ///< Sends the response; called once, immediately or later.
    using Handler = std::function<void(const MessageRequest &request, Reply answer)>; ///< Handles one request.

    MessageServer(boost::asio::io_context &loop, Handler handler);

    // Commands.

    /** Starts to listen. @return False if the address can't be bound; `reason` is set then. */
    bool listen(const ProxyAddress &address, Error &reason);
    /** Stops accepting connections. */
    void close();

    // Queries.

    /** @return Port that the server listens on. */
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

/** Binds an acceptor to an address and listens. @return False if the address can't be bound; `reason` is set then. */
bool openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const ProxyAddress &address, Error &reason);

} // namespace Vanillahall::Forward
