/**
 * Rate limit of a backend server, shared by all proxies.
 * Load pattern: a server in trouble names the requests per second that it accepts from all proxies together. No proxy knows what the others
 * send, and there may be more proxies than requests per second. Time is divided into slots of one request each, which belong to the proxies
 * in turn. A slot that isn't used expires soon, so that unused slots don't add up to a burst.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>

namespace Vanillahall::Forward {

/** Position of this proxy among the proxies that share the servers' rate limits. */
struct SharePosition
{
    std::uint32_t proxies = 1; ///< Number of proxies, at least 1.
    std::uint32_t rank = 0;    ///< Position of this proxy, less than `proxies`.
    Duration clockOffset{};    ///< Clock of the store minus the clock of this process; slots follow the clock of the store.
};

/** Tracks the rate limit of one server and tells when this proxy may send to it. */
class ServerRateLimit
{
public:
    /** @param serverHash Hash of the server's id; the same at all proxies. Different servers' slots of a proxy lie at different times. */
    explicit ServerRateLimit(std::uint64_t serverHash = 0);

    // Commands.

    /** Sets the limit. @param perSecond Requests per second of all proxies together; nothing if there is no limit. */
    void setRate(std::optional<double> perSecond);
    /** Records that this proxy has sent a request to the server. */
    void recordSend(TimePoint now);

    // Queries.

    /** @return Requests per second of all proxies together; nothing if there is no limit. */
    [[nodiscard]] std::optional<double> rate() const;
    /** @return Earliest time at which this proxy may send a request; `now` if it may do so at once. */
    [[nodiscard]] TimePoint nextSlot(const SharePosition &position, TimePoint now) const;

private:
    std::uint64_t m_serverHash;
    std::optional<double> m_rate;
    std::optional<TimePoint> m_sentAt; ///< When the last request was sent.
};

} // namespace Vanillahall::Forward
