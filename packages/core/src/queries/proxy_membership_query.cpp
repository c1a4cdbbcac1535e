#include "vanillahall/core/proxy_membership_base.h"

namespace Vanillahall::Forward {

namespace {

constexpr Duration FailureBackoff = std::chrono::seconds(2); ///< A proxy is picked last for this long after a failed call.

} // namespace

std::uint32_t ProxyMembership::count(TimePoint now) const
{
    std::uint32_t n = 1;
    for (const auto &[name, state] : m_members) {
        n += name != m_self && now < state.countedUntil ? 1 : 0;
    }
    return n;
}

std::uint32_t ProxyMembership::rank(TimePoint now) const
{
    std::uint32_t n = 0;
    for (auto it = m_members.begin(); it != m_members.lower_bound(m_self); ++it) {
        n += now < it->second.countedUntil ? 1 : 0;
    }
    return n;
}

std::vector<std::string> ProxyMembership::alive(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_members) {
        if (now < state.countedUntil) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<ProxyMember> ProxyMembership::expired(TimePoint now) const
{
    std::vector<ProxyMember> list;
    for (const auto &[name, state] : m_members) {
        if (name != m_self && now - state.lastHeartbeat >= MemberRowLifetime) {
            list.push_back(state.member);
        }
    }
    return list;
}

const ProxyMember *ProxyMembership::find(const std::string &name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second.member;
}

const ProxyMember *ProxyMembership::pick(std::uint64_t turn, TimePoint now) const
{
    std::vector<const ProxyMember *> alive;
    std::vector<const ProxyMember *> silent;
    std::vector<const ProxyMember *> failing;
    for (const auto &[name, state] : m_members) {
        if (name == m_self) {
            continue;
        }
        const bool isFailing = now - state.lastFailure < FailureBackoff;
        // Silent proxies are used if there is no other: while the store is unavailable, no heartbeats are seen at all.
        const bool isSilent = now - state.lastHeartbeat >= MemberTimeout;
        (isFailing ? failing : (isSilent ? silent : alive)).push_back(&state.member);
    }
    const auto &members = !alive.empty() ? alive : (!silent.empty() ? silent : failing);
    return members.empty() ? nullptr : members[turn % members.size()];
}

} // namespace Vanillahall::Forward
