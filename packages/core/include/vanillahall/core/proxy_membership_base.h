/**
 * The other proxies, as their rows in the platform's store show them.
 * Load pattern: the connections that a server takes are shared by all proxies, however many there are; and a proxy that the store turns
 * away needs another one that still reaches it.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** One proxy. */
struct ProxyMember
{
    std::string name;        ///< Name of its VM.
    std::string address;     ///< IP number.
    std::uint16_t port{};    ///< Port for calls of other proxies.
    std::uint64_t version{}; ///< Version of its row; grows with each sign of life.
};

inline constexpr Duration MemberBeat = std::chrono::seconds(4); ///< Between two signs of life; 105 writes a second at 420 VMs.
inline constexpr Duration MemberSilence
    = std::chrono::seconds(10); ///< Without a sign of life for so long a proxy is gone; two beats may be lost.

inline constexpr Duration MemberLife
    = std::chrono::minutes(10); ///< Without a sign of life for so long its row is removed; longer than any outage to be borne.

/** Proxies that live. */
class ProxyMembership
{
public:
    /** @param self Name of this VM. */
    explicit ProxyMembership(std::string self);

    // Commands.

    /** Takes the rows of all proxies. */
    void update(const std::vector<ProxyMember> &rows, TimePoint now);
    /** A call to a member failed. */
    void recordFailure(const std::string &name, TimePoint now);

    // Queries.

    /** @return Number of proxies that live, this one included. */
    [[nodiscard]] std::uint32_t count(TimePoint now) const;
    /** @return Proxies whose rows may be removed. */
    [[nodiscard]] std::vector<ProxyMember> expired(TimePoint now) const;
    /** @return A proxy to call, another one at each `turn`, or null. Those that failed a moment ago come last, before them the silent ones.
     */
    [[nodiscard]] const ProxyMember *pick(std::uint64_t turn, TimePoint now) const;

private:
    /** One proxy and its signs of life. */
    struct Seen
    {
        ProxyMember member; ///< As last read.
        TimePoint alive{};  ///< When its row was last seen to change.
        TimePoint failed{}; ///< When a call to it last failed.
    };

    std::string m_self;
    std::map<std::string, Seen> m_members;
};

} // namespace Vanillahall::Forward
