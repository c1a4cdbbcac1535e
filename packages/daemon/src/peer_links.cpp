#include "peer_links_base.h"

namespace Vanillahall {

PeerLinks::PeerLinks(
    Loop &loop, const std::string &listenAddress, const LinkIdentity &self, const TlsFiles &tls, PeerLinksHandlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
    , m_server(loop, listenAddress, self, tls, incomingHandlers())
    , m_client(loop, self, tls, outgoingHandlers())
{
}

std::optional<std::uint16_t> PeerLinks::listen(Error &reason)
{
    return m_server.listen(reason);
}

LinkHandlers PeerLinks::outgoingHandlers()
{
    LinkHandlers handlers;
    handlers.onOpened = [](LinkNumber, const LinkIdentity &) {};
    handlers.onMessage = [this](LinkNumber link, LinkMessage &&message) {
        onOutgoing(link, std::move(message));
    };
    handlers.onClosed = [this](LinkNumber link) {
        onOutgoingClosed(link);
    };
    return handlers;
}

LinkHandlers PeerLinks::incomingHandlers()
{
    LinkHandlers handlers;
    handlers.onOpened = [this](LinkNumber link, const LinkIdentity &peer) {
        const EntryName name{peer.name};
        m_incoming[name] = link;
        m_incomingNames[link] = name;
    };
    handlers.onMessage = [this](LinkNumber link, LinkMessage &&message) {
        const auto it = m_incomingNames.find(link);
        auto *body = std::get_if<EntryToEntry>(&message);
        if (it != m_incomingNames.end() && body != nullptr) {
            const EntryName name = it->second;
            m_handlers.onEntry(name, std::move(*body));
        }
    };
    handlers.onClosed = [this](LinkNumber link) {
        onIncomingClosed(link);
    };
    return handlers;
}

void PeerLinks::onOutgoing(LinkNumber link, LinkMessage &&message)
{
    const auto it = m_outgoingNames.find(link);
    if (it == m_outgoingNames.end()) {
        return;
    }
    const PeerName peer = it->second;
    if (const auto *gate = std::get_if<ServerName>(&peer)) {
        if (auto *body = std::get_if<GateToEntry>(&message)) {
            m_handlers.onGate(*gate, std::move(*body));
        }
        return;
    }
    if (auto *body = std::get_if<EntryToEntry>(&message)) {
        m_handlers.onEntry(std::get<EntryName>(peer), std::move(*body));
    }
}

void PeerLinks::onOutgoingClosed(LinkNumber link)
{
    const auto it = m_outgoingNames.find(link);
    if (it == m_outgoingNames.end()) {
        return;
    }
    const PeerName peer = it->second;
    m_outgoingNames.erase(it);
    m_outgoing.erase(peer);
    if (const auto *gate = std::get_if<ServerName>(&peer)) {
        m_handlers.onGateLinkLost(*gate);
    } else {
        m_handlers.onEntryLinkLost(std::get<EntryName>(peer));
    }
}

void PeerLinks::onIncomingClosed(LinkNumber link)
{
    const auto it = m_incomingNames.find(link);
    if (it == m_incomingNames.end()) {
        return;
    }
    const EntryName name = it->second;
    m_incomingNames.erase(it);
    const auto newest = m_incoming.find(name);
    if (newest == m_incoming.end() || newest->second != link) {
        return;
    }
    m_incoming.erase(newest);
    if (m_outgoing.count(name) == 0) {
        m_handlers.onEntryLinkLost(name);
    }
}

LinkNumber PeerLinks::openTo(const PeerName &peer, const std::string &address)
{
    const LinkNumber link = m_client.open(address);
    m_outgoing[peer] = link;
    m_outgoingNames[link] = peer;
    return link;
}

void PeerLinks::sendToGate(const ServerName &gate, const std::string &address, const EntryToGate &message)
{
    const auto it = m_outgoing.find(gate);
    const LinkNumber link = it != m_outgoing.end() ? it->second : openTo(gate, address);
    m_client.send(link, message);
}

void PeerLinks::sendToEntry(const EntryName &entry, const std::string &address, const EntryToEntry &message)
{
    const auto incoming = m_incoming.find(entry);
    const auto outgoing = m_outgoing.find(entry);
    if (address.empty() && incoming != m_incoming.end()) {
        m_server.send(incoming->second, message);
    } else if (outgoing != m_outgoing.end()) {
        m_client.send(outgoing->second, message);
    } else if (!address.empty()) {
        m_client.send(openTo(entry, address), message);
    } else {
        m_loop.post([this, entry] {
            m_handlers.onEntryLinkLost(entry);
        });
    }
}

void PeerLinks::closeOutgoing(const PeerName &peer)
{
    const auto it = m_outgoing.find(peer);
    if (it == m_outgoing.end()) {
        return;
    }
    const LinkNumber link = it->second;
    m_outgoingNames.erase(link);
    m_outgoing.erase(it);
    m_client.close(link);
}

void PeerLinks::closeGateLink(const ServerName &gate)
{
    closeOutgoing(gate);
}

void PeerLinks::closeEntryLink(const EntryName &entry)
{
    closeOutgoing(entry);
    const auto it = m_incoming.find(entry);
    if (it == m_incoming.end()) {
        return;
    }
    const LinkNumber link = it->second;
    m_incomingNames.erase(link);
    m_incoming.erase(it);
    m_server.close(link);
}

} // namespace Vanillahall
