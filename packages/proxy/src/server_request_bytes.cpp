#include "server_request_bytes.h"

namespace Vanillahall::Forward {

ServerRequestBytes::ServerRequestBytes(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void ServerRequestBytes::add(const std::string &server, std::size_t bytes)
{
    if (bytes != 0) {
        m_bytes[server] += bytes;
    }
}

void ServerRequestBytes::remove(const std::string &server, std::size_t bytes)
{
    const auto it = m_bytes.find(server);
    if (it == m_bytes.end()) {
        return;
    }
    if (it->second <= bytes) {
        m_bytes.erase(it);
    } else {
        it->second -= bytes;
    }
}

bool ServerRequestBytes::fits(const std::string &server, std::size_t bytes) const
{
    const auto it = m_bytes.find(server);
    return it == m_bytes.end() || it->second + bytes <= m_maxBytes;
}

} // namespace Vanillahall::Forward
