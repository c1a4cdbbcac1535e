#include "vanillahall/core/member_book_base.h"

namespace Vanillahall::Forward {

namespace {

constexpr Duration FailureRemembered = std::chrono::seconds(2); ///< A proxy that didn't answer is called last for so long.

} // namespace

std::uint32_t MemberBook::count(TimePoint now) const
{
    std::uint32_t n = 1;
    for (const auto &[name, seen] : m_members) {
        n += name != m_self && now - seen.alive < MemberSilence ? 1 : 0;
    }
    return n;
}

std::vector<Member> MemberBook::gone(TimePoint now) const
{
    std::vector<Member> list;
    for (const auto &[name, seen] : m_members) {
        if (name != m_self && now - seen.alive >= MemberLife) {
            list.push_back(seen.member);
        }
    }
    return list;
}

const Member *MemberBook::pick(std::uint64_t turn, TimePoint now) const
{
    std::vector<const Member *> living;
    std::vector<const Member *> silent;
    std::vector<const Member *> failing;
    for (const auto &[name, seen] : m_members) {
        if (name == m_self) {
            continue;
        }
        const bool isFailing = now - seen.failed < FailureRemembered;
        // While the store is away nobody's signs of life are seen.
        const bool isSilent = now - seen.alive >= MemberSilence;
        (isFailing ? failing : (isSilent ? silent : living)).push_back(&seen.member);
    }
    const auto &members = !living.empty() ? living : (!silent.empty() ? silent : failing);
    return members.empty() ? nullptr : members[turn % members.size()];
}

} // namespace Vanillahall::Forward
