#include "vanillahall/core/crash_tracker_base.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Vanillahall::Forward {

CrashRecord CrashTracker::recordCrash(std::uint64_t content, TimePoint now)
{
    auto &own = m_own[content];
    own.serials.push_back(++m_serial);
    own.lastCrash = now;
    const CrashRecord record{content, m_serial};
    if (m_unshared.size() >= MaxUnsharedCrashes) {
        m_unshared.erase(m_unshared.begin() + static_cast<std::ptrdiff_t>(m_sharing));
    }
    m_unshared.push_back({record, now});
    return record;
}

std::optional<CrashBatch> CrashTracker::beginShare(TimePoint now)
{
    if (m_unshared.empty() || m_sharing != 0 || now < m_nextShareAt) {
        return std::nullopt;
    }
    m_sharing = std::min(m_unshared.size(), MaxSharedCrashes);
    CrashBatch batch;
    batch.records.reserve(m_sharing);
    for (std::size_t n = 0; n < m_sharing; n++) {
        batch.records.push_back(m_unshared[n].record);
    }
    batch.newestAt = m_unshared[m_sharing - 1].madeAt;
    return batch;
}

std::vector<CrashRecord> CrashTracker::endShare(bool isStored, TimePoint now)
{
    std::vector<CrashRecord> obsolete;
    const auto end = m_unshared.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_sharing, 0));
    const auto rest = std::remove_if(m_unshared.begin(), end, [&obsolete, isStored](const UnsharedRecord &it) {
        if (it.isObsolete) {
            obsolete.push_back(it.record);
        }
        return isStored || it.isObsolete;
    });
    m_unshared.erase(rest, end);
    if (!isStored) {
        m_nextShareAt = now + CrashRetryInterval;
    }
    return obsolete;
}

bool CrashTracker::beginRead(TimePoint now)
{
    if (now < m_nextReadAt) {
        return false;
    }
    m_nextReadAt = now + CrashReadInterval;
    return true;
}

void CrashTracker::onReadFailed(TimePoint now)
{
    m_nextReadAt = std::min(m_nextReadAt, now + CrashRetryInterval);
}

void CrashTracker::onStoreBack(TimePoint now)
{
    m_nextShareAt = now;
    m_nextReadAt = std::min(m_nextReadAt, now + CrashRetryInterval);
}

std::vector<CrashRecord> CrashTracker::removeRecords(std::unordered_map<std::uint64_t, OwnRecords>::iterator own)
{
    std::vector<CrashRecord> records;
    records.reserve(own->second.serials.size());
    for (const auto it : own->second.serials) {
        const auto unshared = std::find_if(m_unshared.begin(), m_unshared.end(), [it](const UnsharedRecord &record) {
            return record.record.serial == it;
        });
        if (unshared != m_unshared.end() && unshared - m_unshared.begin() < static_cast<std::ptrdiff_t>(m_sharing)) {
            // Its write could come after the removal.
            unshared->isObsolete = true;
            continue;
        }
        if (unshared != m_unshared.end()) {
            m_unshared.erase(unshared);
        }
        // An earlier write with an unknown outcome may have stored it.
        records.push_back({own->first, it});
    }
    m_own.erase(own);
    return records;
}

std::vector<CrashRecord> CrashTracker::recordSuccess(std::uint64_t content, TimePoint sentAt)
{
    const auto own = m_own.find(content);
    return own == m_own.end() || own->second.lastCrash > sentAt ? std::vector<CrashRecord>() : removeRecords(own);
}

std::vector<std::uint64_t> CrashTracker::updateShared(const std::vector<std::uint64_t> &contents)
{
    std::set<std::uint64_t> refusedBefore;
    for (const auto it : contents) {
        if (isRefused(it)) {
            refusedBefore.insert(it);
        }
    }
    m_sharedCounts.clear();
    for (const auto it : contents) {
        m_sharedCounts[it]++;
    }
    std::set<std::uint64_t> refused;
    for (const auto it : contents) {
        if (isRefused(it) && refusedBefore.count(it) == 0) {
            refused.insert(it);
        }
    }
    return {refused.begin(), refused.end()};
}

std::vector<CrashRecord> CrashTracker::removeExpired(TimePoint now)
{
    std::vector<CrashRecord> old;
    for (auto it = m_own.begin(); it != m_own.end();) {
        const auto own = it++;
        if (now - own->second.lastCrash >= CrashRecordLifetime) {
            const auto records = removeRecords(own);
            old.insert(old.end(), records.begin(), records.end());
        }
    }
    return old;
}

} // namespace Vanillahall::Forward
