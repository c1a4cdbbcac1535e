#include "vanillahall/core/stream_versions_base.h"

#include <algorithm>
#include <iterator>

namespace Vanillahall::Forward {

bool StreamVersions::isListed(const SoftwareVersion &software) const
{
    return std::find(m_listed.begin(), m_listed.end(), software) != m_listed.end();
}

bool StreamVersions::isRecorded(const SoftwareVersion &software) const
{
    return std::any_of(m_row.versions.begin(), m_row.versions.end(), [&software](const RecordedVersion &it) {
        return it.software == software && !it.leftAt;
    });
}

std::vector<SoftwareVersion> StreamVersions::recorded() const
{
    std::vector<SoftwareVersion> list;
    for (const auto &it : m_row.versions) {
        if (!it.leftAt) {
            list.push_back(it.software);
        }
    }
    return list;
}

bool StreamVersions::hasSeveral() const
{
    return m_row.versions.size() > 1;
}

std::optional<SoftwareVersion> StreamVersions::unnamed(std::chrono::milliseconds storeTime) const
{
    // Streams are named since the second version joined the first one.
    if (m_row.versions.size() < 2) {
        return std::nullopt;
    }
    const auto &joinedAt = m_row.versions[1].joinedAt;
    const bool wasAlone = joinedAt && storeTime - *joinedAt < StreamVersionLifetime;
    return wasAlone ? std::optional(m_row.versions.front().software) : std::nullopt;
}

bool StreamVersions::isConfirmedSince(TimePoint since) const
{
    return m_confirmedAt && *m_confirmedAt >= since;
}

std::vector<SoftwareVersion> StreamVersions::possible(std::chrono::milliseconds storeTime) const
{
    std::vector<SoftwareVersion> list;
    for (const auto &it : m_row.versions) {
        if (!it.leftAt || storeTime - *it.leftAt < StreamVersionLifetime) {
            list.push_back(it.software);
        }
    }
    return list;
}

StreamOrigin findStreamOrigin(const OriginKnowledge &known)
{
    if (!known.recorded) {
        return OriginNeedsRecord{};
    }
    if (known.hasRow && !known.row) {
        return OriginNeedsRow{};
    }
    auto versions = known.hasRow ? *known.row : std::vector<SoftwareVersion>();
    const auto &recorded = *known.recorded;
    // A row may name a version before the record does. What an owner grants is recorded before.
    const bool isOnlyOne = recorded.size() == 1 && std::all_of(versions.begin(), versions.end(), [&recorded](const auto &it) {
                               return it == recorded.front();
                           });
    if (isOnlyOne) {
        return OriginKnown{recorded.front()};
    }
    if (!known.hasRow) {
        return OriginAmbiguous{};
    }
    if (known.hasOwner && !known.owner) {
        return OriginNeedsOwner{};
    }
    if (known.owner) {
        std::copy_if(known.owner->begin(), known.owner->end(), std::back_inserter(versions), [&versions](const auto &it) {
            return std::find(versions.begin(), versions.end(), it) == versions.end();
        });
    }
    if (known.unnamed && std::find(versions.begin(), versions.end(), *known.unnamed) == versions.end()) {
        versions.push_back(*known.unnamed);
    }
    if (versions.size() != 1 || versions.front().isUnknown()) {
        return OriginAmbiguous{};
    }
    return OriginKnown{versions.front()};
}

} // namespace Vanillahall::Forward
