#include "vanillahall/core/crash_tracker_base.h"

#include <set>

namespace Vanillahall::Forward {

CrashRecord CrashTracker::recordCrash(std::uint64_t content, TimePoint now)
{
    auto &own = m_own[content];
    own.serials.push_back(++m_serial);
    own.lastCrash = now;
    return {content, m_serial};
}

std::vector<CrashRecord> CrashTracker::removeRecords(std::unordered_map<std::uint64_t, OwnRecords>::iterator own)
{
    std::vector<CrashRecord> records;
    records.reserve(own->second.serials.size());
    for (const auto it : own->second.serials) {
        records.push_back({own->first, it});
    }
    m_own.erase(own);
    return records;
}

std::vector<CrashRecord> CrashTracker::recordSuccess(std::uint64_t content)
{
    m_sharedCounts.erase(content);
    const auto own = m_own.find(content);
    return own == m_own.end() ? std::vector<CrashRecord>() : removeRecords(own);
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
