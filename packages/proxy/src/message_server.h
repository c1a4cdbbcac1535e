/** A small HTTP server for whole messages: readiness, metrics, and calls of other proxies. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/proxy/proxy_type.h"

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Vanillahall::Forward {

/** A request, read whole. */
struct MessageRequest
{
    std::string method; ///< Method.
    std::string target; ///< Path and query.
    std::string body;   ///< Body.
};

/** The answer to it. */
struct MessageReply
{
    unsigned status = 200; ///< HTTP status.
    std::string type;      ///< Content type; empty for none.
    std::string body;      ///< Body.
};

/** Serves one address. */
class MessageServer
{
public:
    using Reply = std::function<void(MessageReply reply)>;                            ///< Answers one request; called once, now or later.
    using Handler = std::function<void(const MessageRequest &request, Reply answer)>; ///< Takes one request.

    MessageServer(boost::asio::io_context &loop, Handler handler);

    // Commands.

    /** Starts to listen. @return False if the address can't be had; then `reason` says why. */
    bool listen(const ProxyAddress &address, Error &reason);
    /** Takes no further connections. */
    void close();

    // Queries.

    /** @return Port on which it listens. */
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

/** Binds an acceptor to an address and listens. @return False if the address can't be had; then `reason` says why. */
bool openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const ProxyAddress &address, Error &reason);

} // namespace Vanillahall::Forward
