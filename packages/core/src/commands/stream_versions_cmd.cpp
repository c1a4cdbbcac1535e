#include "vanillahall/core/stream_versions_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/** @return Key that differs between versions. */
std::string versionKey(const SoftwareVersion &software)
{
    return software.service + '\0' + software.version;
}

} // namespace

void StreamVersions::onListed(const std::vector<SoftwareVersion> &listed, TimePoint now)
{
    m_listed = listed;
    std::erase_if(m_missingSince, [this](const auto &it) {
        return std::none_of(m_row.versions.begin(), m_row.versions.end(), [&it](const RecordedVersion &known) {
            return versionKey(known.software) == it.first;
        });
    });
    for (const auto &it : m_row.versions) {
        if (isListed(it.software)) {
            m_missingSince.erase(versionKey(it.software));
        } else {
            m_missingSince.try_emplace(versionKey(it.software), now);
        }
    }
}

void StreamVersions::onRowRead(const StreamVersionsRow &row, TimePoint requestedAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(requestedAt), requestedAt);
    // A read that started before the last write may end after it.
    if (row.version > m_row.version) {
        m_row = row;
    }
}

std::optional<StreamVersionsRow> StreamVersions::beginWrite(std::chrono::milliseconds storeTime, bool removesOld, TimePoint now)
{
    if (m_written || !m_confirmedAt) {
        return std::nullopt;
    }
    auto row = m_row;
    bool hasChanged = false;
    for (auto &it : row.versions) {
        if (isListed(it.software)) {
            hasChanged = hasChanged || it.leftAt;
            it.leftAt.reset();
            continue;
        }
        const auto missing = m_missingSince.find(versionKey(it.software));
        if (removesOld && !it.leftAt && missing != m_missingSince.end() && now - missing->second >= StreamVersionLeaveDelay) {
            it.leftAt = storeTime;
            hasChanged = true;
        }
    }
    if (removesOld) {
        hasChanged |= std::erase_if(row.versions,
                                    [storeTime](const RecordedVersion &it) {
                                        return it.leftAt && storeTime - *it.leftAt >= 2 * StreamVersionLifetime;
                                    })
            != 0;
    }
    for (const auto &it : m_listed) {
        const bool isNamed = std::any_of(row.versions.begin(), row.versions.end(), [&it](const RecordedVersion &known) {
            return known.software == it;
        });
        if (!isNamed && row.versions.size() < MaxRecordedVersions) {
            row.versions.push_back({it, {}, row.version == 0 ? std::nullopt : std::optional(storeTime)});
            hasChanged = true;
        }
    }
    if (!hasChanged) {
        return std::nullopt;
    }
    m_written = row;
    return row;
}

void StreamVersions::onWritten(std::uint64_t version)
{
    if (auto row = std::exchange(m_written, std::nullopt); row && version > m_row.version) {
        m_row = std::move(*row);
        m_row.version = version;
    }
}

void StreamVersions::onConflict(const StreamVersionsRow &row)
{
    m_written.reset();
    if (row.version > m_row.version || row.version == 0) {
        m_row = row;
    }
}

void StreamVersions::onWriteFailed()
{
    m_written.reset();
}

} // namespace Vanillahall::Forward
