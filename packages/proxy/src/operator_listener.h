/**
 * Listener for operators, which explains what would happen to a request.
 * Load pattern: a person or a script asks a few times a minute; anything else on the network may connect, too.
 */
#pragma once

#include "message_server.h"
#include "request_explanation_type.h"

#include <optional>
#include <string_view>

namespace Vanillahall::Forward {

class ProxyState;

/** Path of the explanation. */
inline constexpr std::string_view WherePath = "/where";

/** Checks the token of an operator, see ProxySettings::isOperatorToken. */
using OperatorTokenCheck = std::function<bool(const std::string &token, Error &reason)>;

/**
 * @param check Checks tokens; empty if there are none.
 * @param reason Set if a request isn't allowed, or if the tokens can't be read.
 * @return True if a request comes from this VM or from an operator.
 */
bool isOperatorRequest(const MessageRequest &request, const OperatorTokenCheck &check, std::string &reason);

/** Serves operators on one address. */
class OperatorListener
{
public:
    explicit OperatorListener(ProxyState &proxy);

    // Commands.

    /** Starts to listen, if the settings name an address. @return False if it can't be bound; `reason` is set then. */
    bool listen(Error &reason);
    /** Stops accepting connections. */
    void close();

    // Queries.

    /** @return Port that is listened on. */
    [[nodiscard]] std::uint16_t port() const;
    /** @return Number of connections that were closed to accept others. */
    [[nodiscard]] std::size_t closedConnections() const;

private:
    void answer(const MessageRequest &request, const MessageServer::Reply &reply);
    /** Logs why a request isn't allowed. @return True if it is. */
    bool isAllowed(const MessageRequest &request);
    MessageReply explain(const std::string &body);
    MessageReply reject(unsigned status, std::string_view code, std::string_view message);
    /** Logs why a request isn't allowed, or a fault of the tokens file. */
    void logFault(EventNumber event, const std::string &reason);

    ProxyState &m_proxy;
    MessageServer m_server;
    std::optional<TimePoint> m_loggedAt; ///< When a line was last logged.
    std::size_t m_omitted = 0;           ///< Number of lines that were left out since.
};

} // namespace Vanillahall::Forward
