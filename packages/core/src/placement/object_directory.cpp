#include "vanillahall/core/placement/object_directory_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr double MaxSaving = 0.9; ///< Even a known object takes some work.

} // namespace

void ObjectDirectory::record(std::uint64_t object, std::uint64_t server)
{
    const auto [it, isNew] = m_objects.try_emplace(object);
    auto &entry = it->second;
    if (isNew) {
        entry.position = m_byUse.insert(m_byUse.end(), object);
    } else {
        m_byUse.splice(m_byUse.end(), m_byUse, entry.position);
    }
    const auto known = std::find(entry.holders.begin(), entry.holders.end(), server);
    const auto end = known == entry.holders.end() ? std::prev(entry.holders.end()) : known;
    std::rotate(entry.holders.begin(), end, std::next(end));
    entry.holders.front() = server;
    if (m_objects.size() > MaxObjects) {
        m_objects.erase(m_byUse.front());
        m_byUse.pop_front();
    }
}

void ObjectDirectory::recordWork(bool wasKnown, double ratio, TimePoint now)
{
    (wasKnown ? m_known : m_other).add(ratio, 1, now);
}

ObjectDirectory::Holders ObjectDirectory::holders(std::uint64_t object) const
{
    const auto it = m_objects.find(object);
    return it == m_objects.end() ? Holders{} : it->second.holders;
}

double ObjectDirectory::saving() const
{
    return m_other.mean() <= 0 ? 0 : std::clamp(1 - m_known.mean() / m_other.mean(), 0.0, MaxSaving);
}

std::size_t ObjectDirectory::size() const
{
    return m_objects.size();
}

} // namespace Vanillahall::Forward
