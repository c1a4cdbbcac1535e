/** Links between the system's processes: one bidirectional gRPC stream per pair of processes, carrying LinkMessage. */
#pragma once

#include "vanillahall/core/message_type.h"
#include "vanillahall/net/http_type.h"
#include "vanillahall/net/loop_base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Vanillahall {

using LinkNumber = Number<struct LinkNumberTag>; ///< One open link inside this process.

/** Identity of a process, sent to the peer when a link opens. */
struct LinkIdentity
{
    std::string name;        ///< Name of the entry or of the backend server.
    Incarnation incarnation; ///< Distinguishes runs of the process.
    std::string key;         ///< Shared secret of all processes; compared in constant time.
};

/** Callbacks of links, invoked on the loop. */
struct LinkHandlers
{
    std::function<void(LinkNumber, const LinkIdentity &peer)>
        onOpened; ///< A peer with a valid key has opened a link, or a link opened by this process is up.
    std::function<void(LinkNumber, LinkMessage &&)> onMessage; ///< A message has arrived.
    std::function<void(LinkNumber)> onClosed;                  ///< The link is closed, or could not be opened.
    std::function<void(LinkNumber, const Error &)>
        onDecodeError; ///< A message that this version can't decode was received and dropped. May be empty.
};

struct LinkServerState;

/** Accepts links. Must not be destroyed from one of its handlers. */
class LinkServer
{
public:
    /** @param address IP address and port; port 0 selects a free one. @pre `loop` outlives the server. */
    LinkServer(Loop &loop, std::string address, LinkIdentity self, TlsFiles tls, LinkHandlers handlers);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /** Starts listening. @return The port; std::nullopt on failure, with the cause in `reason`. */
    std::optional<std::uint16_t> listen(Error &reason);

    /**
     * Sends a message.
     * @return False if the message was not sent because the link is closed or the message exceeds the maximum size.
     */
    bool send(LinkNumber link, const LinkMessage &message);

    /** Closes a link. onClosed is called. */
    void close(LinkNumber link);

private:
    std::unique_ptr<LinkServerState> m_state;
};

struct LinkClientState;

/** Opens links. Must not be destroyed from one of its handlers. */
class LinkClient
{
public:
    /** @pre `loop` outlives the client. */
    LinkClient(Loop &loop, LinkIdentity self, TlsFiles tls, LinkHandlers handlers);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /** Opens a link; messages sent before it is up are queued. onOpened or onClosed is called later. @param address "ip:port". */
    LinkNumber open(const std::string &address);

    /**
     * Sends a message.
     * @return False if the message was not sent because the link is closed or the message exceeds the maximum size.
     */
    bool send(LinkNumber link, const LinkMessage &message);

    /** Closes a link. onClosed is called. */
    void close(LinkNumber link);

private:
    std::unique_ptr<LinkClientState> m_state;
};

} // namespace Vanillahall
