#include "vanillahall/core/proxy_membership_base.h"

#include <set>

namespace Vanillahall::Forward {

ProxyMembership::ProxyMembership(std::string self)
    : m_self(std::move(self))
{
}

void ProxyMembership::update(const std::vector<ProxyMember> &rows, TimePoint now)
{
    constexpr Duration MaxUpdateGap = 2 * MemberHeartbeatInterval; ///< After a longer gap, heartbeats may have been impossible.
    const Duration gap = m_updatedAt ? now - *m_updatedAt : Duration::zero();
    const Duration outage = gap > MaxUpdateGap ? gap : Duration::zero();
    m_updatedAt = now;
    std::set<std::string> listed;
    for (const auto &it : rows) {
        listed.insert(it.name);
        auto &state = m_members[it.name];
        state.countedUntil += outage;
        if (state.member.version != it.version) {
            state.lastHeartbeat = now;
            state.countedUntil = now + MemberTimeout;
        }
        state.member = it;
    }
    for (auto it = m_members.begin(); it != m_members.end();) {
        it = listed.count(it->first) == 0 ? m_members.erase(it) : std::next(it);
    }
}

void ProxyMembership::recordFailure(const std::string &name, TimePoint now)
{
    const auto it = m_members.find(name);
    if (it != m_members.end()) {
        it->second.lastFailure = now;
    }
}

} // namespace Vanillahall::Forward
