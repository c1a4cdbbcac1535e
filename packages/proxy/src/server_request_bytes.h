/**
 * Bytes of the requests that each server holds for this proxy.
 *
 * Load pattern: clients send many requests of the largest permitted size at once. A server that holds more than its memory allows crashes,
 * and with it all requests that it runs.
 */
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Sums by server; only servers with requests have an entry. */
class ServerRequestBytes
{
public:
    /** @param maxBytes Limit for one server, in bytes. */
    explicit ServerRequestBytes(std::size_t maxBytes);

    // Commands.

    void add(const std::string &server, std::size_t bytes);
    void remove(const std::string &server, std::size_t bytes);

    // Queries.

    /** @return True if a request may be sent to the server; the first one always may. */
    [[nodiscard]] bool fits(const std::string &server, std::size_t bytes) const;

private:
    std::size_t m_maxBytes;
    std::unordered_map<std::string, std::size_t> m_bytes;
};

} // namespace Vanillahall::Forward
