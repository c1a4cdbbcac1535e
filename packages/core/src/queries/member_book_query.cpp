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

const Member *MemberBook::pick(std::uint64_t turn, TimePoint now) const
{
    std::vector<const Member *> good;
    std::vector<const Member *> doubtful;
    for (const auto &[name, seen] : m_members) {
        if (name != m_self) {
            (now - seen.failed < FailureRemembered ? doubtful : good).push_back(&seen.member);
        }
    }
    const auto &members = good.empty() ? doubtful : good;
    return members.empty() ? nullptr : members[turn % members.size()];
}

} // namespace Vanillahall::Forward
