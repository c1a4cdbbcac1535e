/** Links between this entry and gates or other entries, by peer name. */
#pragma once

#include "vanillahall/core/id_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/net/link_base.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Vanillahall {

/** Handlers of link events. */
struct PeerLinksHandlers
{
    std::function<void(const ServerName &, GateToEntry &&)> onGate;  ///< A gate sent a message.
    std::function<void(const EntryName &, EntryToEntry &&)> onEntry; ///< Another entry sent a message.
    std::function<void(const ServerName &)> onGateLinkLost;          ///< The link to a gate closed.
    std::function<void(const EntryName &)> onEntryLinkLost;          ///< A link with another entry closed, or there was none to send on.
};

/** Opens links on demand when a message is sent, and looks them up by peer name. */
class PeerLinks
{
public:
    /** @pre `loop` outlives the links. */
    PeerLinks(Loop &loop, const std::string &listenAddress, const LinkIdentity &self, const TlsFiles &tls, PeerLinksHandlers handlers);

    /** Starts listening for other entries. @return The port, or nothing on error; then `reason` is set. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** Sends a message to a gate, opening a link first if none is open. */
    void sendToGate(const ServerName &gate, const std::string &address, const EntryToGate &message);

    /**
     * Sends a message to an entry over the outgoing link, opening it if needed.
     * With an empty address only existing links are used, an incoming one first; if there is none, onEntryLinkLost is called from the loop.
     */
    void sendToEntry(const EntryName &entry, const std::string &address, const EntryToEntry &message);

    /** Closes the link to a gate without calling onGateLinkLost. */
    void closeGateLink(const ServerName &gate);

    /** Closes all links with an entry without calling onEntryLinkLost. */
    void closeEntryLink(const EntryName &entry);

private:
    using PeerName = std::variant<ServerName, EntryName>; ///< Peer of an outgoing link.

    LinkHandlers outgoingHandlers();
    LinkHandlers incomingHandlers();
    LinkNumber openTo(const PeerName &peer, const std::string &address);
    void onOutgoing(LinkNumber link, LinkMessage &&message);
    void onOutgoingClosed(LinkNumber link);
    void onIncomingClosed(LinkNumber link);
    void closeOutgoing(const PeerName &peer);

    Loop &m_loop;
    PeerLinksHandlers m_handlers;
    LinkServer m_server;
    LinkClient m_client;
    std::map<PeerName, LinkNumber> m_outgoing;
    std::unordered_map<LinkNumber, PeerName> m_outgoingNames;
    std::map<EntryName, LinkNumber> m_incoming;
    std::unordered_map<LinkNumber, EntryName> m_incomingNames;
};

} // namespace Vanillahall
