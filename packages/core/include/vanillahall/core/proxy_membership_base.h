/**
 * Membership of proxies, derived from their rows in the platform's store.
 * Load pattern: the connections that a server accepts are shared by all proxies, whatever their number; and a proxy that the store rejects
 * needs another proxy that still reaches it.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** Row of one proxy. */
struct ProxyMember
{
    std::string name;        ///< Name of its VM.
    std::string address;     ///< IP number.
    std::uint16_t port{};    ///< Port for calls from other proxies.
    std::uint64_t version{}; ///< Version of its row; grows with each heartbeat.
};

inline constexpr Duration MemberHeartbeatInterval = std::chrono::seconds(4); ///< 420 VMs then make 105 writes per second.
/** A proxy without a heartbeat for this long counts as failed; tolerates two lost heartbeats. */
inline constexpr Duration MemberTimeout = std::chrono::seconds(10);
/** A row without a heartbeat for this long is removed; longer than any outage that has to be survived. */
inline constexpr Duration MemberRowLifetime = std::chrono::minutes(10);

/** Tracks which proxies are alive. */
class ProxyMembership
{
public:
    /** @param self Name of this VM. */
    explicit ProxyMembership(std::string self);

    // Commands.

    /** Replaces the known proxies by the given rows, which are complete. */
    void update(const std::vector<ProxyMember> &rows, TimePoint now);
    /** Records a failed call to a proxy. */
    void recordFailure(const std::string &name, TimePoint now);

    // Queries.

    /** @return Number of proxies that are alive, this one included. */
    [[nodiscard]] std::uint32_t count(TimePoint now) const;
    /** @return Number of other proxies that are alive and come before this one in the order of names. */
    [[nodiscard]] std::uint32_t rank(TimePoint now) const;
    /** @return Names of the proxies whose rows show that they are alive, this one included only if its row does. */
    [[nodiscard]] std::vector<std::string> alive(TimePoint now) const;
    /** @return Proxies whose rows may be removed. */
    [[nodiscard]] std::vector<ProxyMember> expired(TimePoint now) const;
    /** @return A proxy by its name, or null if it isn't known. */
    [[nodiscard]] const ProxyMember *find(const std::string &name) const;
    /**
     * Picks a proxy to call; successive values of `turn` rotate through the proxies. Prefers proxies that are alive, then those without a
     * recent heartbeat, then those with a recent failed call.
     * @return The proxy, or null if none is known.
     */
    [[nodiscard]] const ProxyMember *pick(std::uint64_t turn, TimePoint now) const;

private:
    /** State of one proxy. */
    struct MemberState
    {
        ProxyMember member;        ///< As last read.
        TimePoint lastHeartbeat{}; ///< Time when its row was last seen to change.
        TimePoint countedUntil{};  ///< It counts as alive until this time.
        TimePoint lastFailure{};   ///< Time of the last failed call to it.
    };

    std::string m_self;
    std::map<std::string, MemberState> m_members;
    std::optional<TimePoint> m_updatedAt; ///< Time of the last update().
};

} // namespace Vanillahall::Forward
