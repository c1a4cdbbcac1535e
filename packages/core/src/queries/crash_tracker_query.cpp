#include "vanillahall/core/crash_tracker_base.h"

#include <xxhash.h>

namespace Vanillahall::Forward {

std::uint64_t
contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body, std::string_view owner)
{
    const auto path = target.substr(0, target.find('?'));
    // A seed of 0 gives the hash without a seed.
    const auto seed = owner.empty() ? 0 : XXH3_64bits(owner.data(), owner.size());
    auto hash = XXH3_64bits_withSeed(method.data(), method.size(), seed);
    hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
    // A body identifies a content by itself; requests without a body differ only by their program.
    const auto &content = body.empty() ? program : body;
    return XXH3_64bits_withSeed(content.data(), content.size(), hash);
}

bool CrashTracker::isRefused(std::uint64_t content) const
{
    return recordCount(content) >= CrashLimit;
}

std::size_t CrashTracker::unsharedCount() const
{
    return m_unshared.size();
}

std::size_t CrashTracker::recordCount(std::uint64_t content) const
{
    const auto own = m_own.find(content);
    const auto others = m_sharedCounts.find(content);
    return (own == m_own.end() ? 0 : own->second.serials.size()) + (others == m_sharedCounts.end() ? 0 : others->second);
}

} // namespace Vanillahall::Forward
