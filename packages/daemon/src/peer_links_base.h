/** Links of this process to gates and other entries, by name. */
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

/** What the links tell their owner. */
struct PeerLinksHandlers
{
    std::function<void(const ServerName &, GateToEntry &&)> onGate;  ///< A gate sent a message.
    std::function<void(const EntryName &, EntryToEntry &&)> onEntry; ///< Another entry sent a message.
    std::function<void(const ServerName &)> onGateLinkLost;          ///< The link to a gate is gone.
    std::function<void(const EntryName &)> onEntryLinkLost;          ///< The link to another entry is gone.
};

/** Opens links when something is to be sent, and finds them by the peer's name. */
class PeerLinks
{
public:
    /** @pre `loop` outlives the links. */
    PeerLinks(Loop &loop, const std::string &listenAddress, const LinkIdentity &self, const TlsFiles &tls, PeerLinksHandlers handlers);

    /** Starts listening for other entries. @return The port, or nothing; then `reason` says why. */
    std::optional<std::uint16_t> listen(Error &reason);

    /** Sends a message to a gate, opening a link first if there is none. */
    void sendToGate(const ServerName &gate, const std::string &address, const EntryToGate &message);

    /** Sends a message to an entry. With an empty address only a link that exists is used. */
    void sendToEntry(const EntryName &entry, const std::string &address, const EntryToEntry &message);

    /** Closes the link to a gate. It is not reported as lost. */
    void closeGateLink(const ServerName &gate);

    /** Closes all links with an entry. They are not reported as lost. */
    void closeEntryLink(const EntryName &entry);

private:
    using PeerName = std::variant<ServerName, EntryName>; ///< Whom an outgoing link leads to.

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
