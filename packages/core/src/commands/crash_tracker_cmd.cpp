#include "vanillahall/core/crash_tracker_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Vanillahall::Forward {

void CrashTracker::setHold(Duration hold)
{
    m_hold = hold;
}

void CrashTracker::setEntries(std::size_t count)
{
    m_entries = std::max<std::size_t>(count, 1);
}

void CrashTracker::add(CrashEvidence evidence)
{
    if (m_unshared.size() >= MaxUnsharedCrashes) {
        m_unshared.erase(m_unshared.begin() + static_cast<std::ptrdiff_t>(m_sharing));
    }
    m_unshared.push_back({evidence});
    m_own.push_back(std::move(evidence));
    if (m_own.size() > MaxUnsharedCrashes) {
        m_own.pop_front();
    }
}

std::vector<AttributedFeature> CrashTracker::recordCrash(const CrashedAttempt &attempt, TimePoint now)
{
    const auto content = attempt.features.empty() ? 0 : attempt.features.front().hash;
    add({{content, ++m_serial}, attempt.features, attempt.server, std::max(attempt.sentAt, now - attempt.endUncertainty), now});
    return attribute(now);
}

std::vector<CrashEvidence> CrashTracker::beginShare(TimePoint now)
{
    std::vector<CrashEvidence> batch;
    if (m_unshared.empty() || m_sharing != 0 || now < m_nextShareAt) {
        return batch;
    }
    m_sharing = std::min(m_unshared.size(), MaxSharedCrashes);
    batch.reserve(m_sharing);
    for (std::size_t n = 0; n < m_sharing; n++) {
        batch.push_back(m_unshared[n].evidence);
    }
    return batch;
}

std::vector<CrashRecord> CrashTracker::endShare(bool isStored, TimePoint now)
{
    std::vector<CrashRecord> obsolete;
    const auto end = m_unshared.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_sharing, 0));
    const auto rest = std::remove_if(m_unshared.begin(), end, [&obsolete, isStored](const UnsharedRecord &it) {
        if (it.isObsolete) {
            obsolete.push_back(it.evidence.record);
        }
        return isStored || it.isObsolete;
    });
    m_unshared.erase(rest, end);
    if (!isStored) {
        m_nextShareAt = now + CrashRetryInterval;
    }
    return obsolete;
}

void CrashTracker::onStoreBack(TimePoint now)
{
    m_nextShareAt = now;
}

template<typename Predicate>
std::vector<CrashRecord> CrashTracker::removeOwn(const Predicate &isRemoved)
{
    std::vector<CrashRecord> records;
    for (const auto &it : m_own) {
        if (!isRemoved(it)) {
            continue;
        }
        const auto unshared = std::find_if(m_unshared.begin(), m_unshared.end(), [&it](const UnsharedRecord &waiting) {
            return waiting.evidence.record == it.record;
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
        records.push_back(it.record);
    }
    m_own.erase(std::remove_if(m_own.begin(), m_own.end(), isRemoved), m_own.end());
    return records;
}

std::vector<CrashRecord> CrashTracker::recordSuccess(const RequestFeatures &features, TimePoint sentAt, TimePoint now)
{
    RequestFeatures cleared;
    bool isNearRefusal = false;
    for (const auto &it : features) {
        const auto suspect = m_sharedSuspects.find(it.hash);
        if (it.kind != FeatureKind::Content && suspect != m_sharedSuspects.end() && suspect->second != 0) {
            cleared.push_back(it);
            isNearRefusal = isNearRefusal || suspect->second + 1 >= CrashLimit;
        }
    }
    bool isNew = false;
    for (const auto &it : cleared) {
        m_cleared[it.hash] = now;
        isNew = isNew || m_suspects[it.hash] != 0;
    }
    // The hash of the content selects the entry at random.
    isNearRefusal = isNearRefusal && (isNew || features.front().hash % m_entries < SuccessSharers);
    const auto isOfContent = [content = features.empty() ? 0 : features.front().hash](const CrashEvidence &it) {
        return !it.isHarmless && it.record.content == content;
    };
    const bool isLate = std::any_of(m_own.begin(), m_own.end(), [&isOfContent, sentAt](const CrashEvidence &it) {
        return isOfContent(it) && it.latest > sentAt;
    });
    auto removed = isLate ? std::vector<CrashRecord>() : removeOwn(isOfContent);
    if (isNearRefusal) {
        add({{0, ++m_serial}, cleared, 0, now, now, true});
    }
    if (isNew || isNearRefusal || !removed.empty()) {
        attribute(now);
    }
    return removed;
}

std::vector<AttributedFeature> CrashTracker::updateShared(std::vector<CrashEvidence> records, TimePoint now)
{
    m_shared = std::move(records);
    return attribute(now);
}

std::vector<AttributedFeature> CrashTracker::attribute(TimePoint now)
{
    std::vector<const CrashEvidence *> crashes;
    ClearedFeatures cleared;
    const auto add = [&crashes, &cleared, now](const CrashEvidence &it) {
        if (it.isHarmless) {
            for (const auto &feature : it.features) {
                auto &clearedAt = cleared[feature.hash];
                clearedAt = std::max(clearedAt, it.latest);
            }
        } else if (it.latest + CrashRecordLifetime > now) {
            crashes.push_back(&it);
        }
    };
    std::for_each(m_own.begin(), m_own.end(), add);
    std::for_each(m_shared.begin(), m_shared.end(), add);
    if (crashes.size() > MaxAttributedCrashes) {
        // What is refused stays refused while other servers end.
        std::unordered_map<const CrashEvidence *, bool> isKnown;
        for (const auto *it : crashes) {
            isKnown[it] = std::any_of(it->features.begin(), it->features.end(), [this](const RequestFeature &feature) {
                return m_refused.count(feature.hash) != 0;
            });
        }
        std::nth_element(crashes.begin(), crashes.begin() + MaxAttributedCrashes, crashes.end(), [&isKnown](const auto *a, const auto *b) {
            return std::make_pair(isKnown[a], a->latest) > std::make_pair(isKnown[b], b->latest);
        });
        crashes.resize(MaxAttributedCrashes);
    }
    auto result = attributeCrashes(crashes, cleared);
    m_sharedSuspects = result.suspects;
    if (!m_cleared.empty()) {
        for (const auto &[feature, clearedAt] : m_cleared) {
            cleared[feature] = std::max(cleared[feature], clearedAt);
        }
        result = attributeCrashes(std::move(crashes), cleared);
    }
    m_suspects = std::move(result.suspects);
    std::erase_if(m_cleared, [this](const auto &it) {
        return m_suspects.count(it.first) == 0;
    });
    std::vector<AttributedFeature> added;
    std::unordered_map<std::uint64_t, AttributedFeature> refused;
    for (const auto &it : result.refused) {
        if (m_refused.count(it.feature.hash) == 0) {
            added.push_back(it);
        }
        refused.insert({it.feature.hash, it});
    }
    m_refused = std::move(refused);
    return added;
}

std::vector<CrashRecord> CrashTracker::removeExpired(TimePoint now)
{
    return removeOwn([now](const CrashEvidence &it) {
        return now - it.latest >= CrashRecordLifetime;
    });
}

} // namespace Vanillahall::Forward
