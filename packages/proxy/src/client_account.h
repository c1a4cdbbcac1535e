/**
 * Account of the memory that the process holds for clients, and the order in which connections are closed when it runs short.
 *
 * Load pattern: many clients send bodies or heads of permitted size that stop short of their end, send requests ahead, or don't read their
 * responses; closed ones return at once. Ordinary clients send small requests and read their responses within milliseconds.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace Vanillahall::Forward {

/** What memory is held for. */
enum class Holding : std::uint8_t {
    Connection, ///< Sessions and sockets.
    Head,       ///< Heads of requests, and bytes that are received and not parsed yet.
    Body,       ///< Bodies of requests, and conversations in progress.
    Copy,       ///< Requests while they are sent to a server.
    Response,   ///< Responses that the client hasn't received yet.
};
inline constexpr std::size_t HoldingCount = 5;
inline constexpr std::array<std::string_view, HoldingCount> HoldingNames{"connection", "head", "body", "copy", "response"};

/** Sums of the memory held for clients, by category. */
class ClientAccount
{
public:
    /** @param maxBytes Limit on all categories together, in bytes. */
    explicit ClientAccount(std::size_t maxBytes);

    // Commands.

    /** Replaces `oldBytes` of a category by `newBytes`. */
    void change(Holding holding, std::size_t oldBytes, std::size_t newBytes);

    // Queries.

    /** @return Bytes held in one category. */
    [[nodiscard]] std::size_t bytes(Holding holding) const;
    /** @return Bytes held in all categories. */
    [[nodiscard]] std::size_t total() const;
    /** @return True if `bytes` more stay within the limit. */
    [[nodiscard]] bool fits(std::size_t bytes) const;
    /** @return True if more is held than the limit allows. */
    [[nodiscard]] bool isOver() const;
    /** @return True if so much is held that buffers should stay small. */
    [[nodiscard]] bool isShort() const;
    /** @return Bytes to release so that further clients fit; 0 unless isOver(). */
    [[nodiscard]] std::size_t excess() const;

private:
    std::array<std::size_t, HoldingCount> m_bytes{};
    std::size_t m_total = 0;
    std::size_t m_maxBytes;
};

/** Bytes of one owner in a category; released with it. */
class HeldBytes
{
public:
    /** The account is shared, since handlers of sockets may outlive the proxy. */
    HeldBytes(std::shared_ptr<ClientAccount> account, Holding holding);
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /** Sets the number of bytes that the owner holds. */
    void set(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const;

private:
    std::shared_ptr<ClientAccount> m_account;
    Holding m_holding;
    std::size_t m_bytes = 0;
};

/** State of a connection that may be closed to release resources. */
struct ClosableClient
{
    std::uint64_t id = 0;       ///< Id of the session.
    std::size_t bytes = 0;      ///< Bytes held for it.
    TimePoint heldSince{};      ///< When its current request, idle time or unread response began.
    TimePoint progressAt{};     ///< When it last received or took bytes.
    bool isClosing = false;     ///< True if its last response was written already.
    bool hasBeenServed = false; ///< True if it has completed a request before.
};

/** Smallest holding for which a connection is closed: a quarter of a head of the usual limit. */
inline constexpr std::size_t MinClosedBytes = std::size_t{4} * 1024;

/**
 * Selects the connections to close so that memory is released. Those come first whose product of bytes and time, both since the request
 * began and since the last progress, is highest: stalled clients precede active ones, and a small new request comes last. Those
 * that hold less than MinClosedBytes are left alone, since closing them would release next to nothing.
 * @param excess Bytes to release.
 * @return Ids of the sessions to close.
 */
std::vector<std::uint64_t> selectForMemory(std::vector<ClosableClient> clients, std::size_t excess, TimePoint now);

/**
 * Selects the connections to close so that further ones can be accepted: those whose last response was written, then those that haven't
 * completed a request yet, then the others; within each group the longest without progress first.
 * @param count Number of connections to close.
 * @return Ids of the sessions to close.
 */
std::vector<std::uint64_t> selectForConnections(std::vector<ClosableClient> clients, std::size_t count);

} // namespace Vanillahall::Forward
