#include "vanillahall/core/crash/crash_attribution_func.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace Vanillahall::Forward {

namespace {

constexpr Duration TogetherSpan = std::chrono::milliseconds(60); ///< Servers of a rack that fails end within this time.
constexpr std::size_t DoubtfulCrashes = 3;                       ///< That many crashes with another likely cause count as one.

using Crashes = std::vector<const CrashEvidence *>;

/** A feature and the crashes that speak against it. */
struct Suspect
{
    RequestFeature feature;
    std::vector<std::size_t> crashes; ///< Indices of the records, by time.
};

/** Attribution in progress. */
class Attributor
{
public:
    Attributor(Crashes crashes, const ClearedFeatures &cleared)
        : m_crashes(std::move(crashes))
        , m_isExplained(m_crashes.size())
    {
        std::sort(m_crashes.begin(), m_crashes.end(), [](const auto *a, const auto *b) {
            return std::tie(a->latest, a->record.content, a->record.serial) < std::tie(b->latest, b->record.content, b->record.serial);
        });
        std::vector<std::size_t> all(m_crashes.size());
        std::iota(all.begin(), all.end(), 0);
        m_endedTogether = endedTogether(all);
        for (std::size_t n = 0; n < m_crashes.size(); n++) {
            for (const auto &it : m_crashes[n]->features) {
                auto &suspect = m_suspects[it.hash];
                suspect.feature = it;
                const auto clearedAt = cleared.find(it.hash);
                if (it.kind == FeatureKind::Content || clearedAt == cleared.end() || clearedAt->second < m_crashes[n]->latest) {
                    suspect.crashes.push_back(n);
                }
            }
        }
    }

    CrashAttribution attribute()
    {
        CrashAttribution result;
        std::vector<const Suspect *> candidates;
        for (const auto &[hash, suspect] : m_suspects) {
            const auto n = unexplained(suspect).count;
            result.suspects[hash] = n;
            if (n >= CrashLimit) {
                candidates.push_back(&suspect);
            }
        }
        while (const auto *culprit = strongest(candidates)) {
            result.refused.push_back(describe(*culprit));
            explain(*culprit);
        }
        return result;
    }

private:
    /** @return For each crash the number of servers that ended at about the same time, in these crashes. */
    [[nodiscard]] std::vector<std::size_t> endedTogether(const std::vector<std::size_t> &crashes) const
    {
        std::vector<std::size_t> counts;
        counts.reserve(crashes.size());
        std::unordered_map<std::uint64_t, std::size_t> servers;
        auto begin = crashes.begin();
        auto end = crashes.begin();
        for (const auto n : crashes) {
            const auto at = m_crashes[n]->latest;
            for (; end != crashes.end() && m_crashes[*end]->latest <= at + TogetherSpan; ++end) {
                servers[m_crashes[*end]->server]++;
            }
            for (; m_crashes[*begin]->latest + TogetherSpan < at; ++begin) {
                const auto left = servers.find(m_crashes[*begin]->server);
                if (--left->second == 0) {
                    servers.erase(left);
                }
            }
            counts.push_back(servers.size());
        }
        return counts;
    }

    /** Crashes that can't have had a common cause. */
    struct Independent
    {
        std::size_t count = 0;
        TimePoint first{}; ///< Time of the first one.
        TimePoint last{};  ///< Time of the last one.
    };

    /** @return The independent crashes of a feature, without those that are explained. */
    [[nodiscard]] Independent unexplained(const Suspect &suspect) const
    {
        // If half of the servers that ended with this one didn't run such a request, they probably had another cause.
        const auto together = endedTogether(suspect.crashes);
        Independent result{0, TimePoint::max(), TimePoint::min()};
        std::size_t doubtful = 0;
        for (std::size_t at = 0; at < suspect.crashes.size(); at++) {
            const auto it = suspect.crashes[at];
            if (m_isExplained[it] || m_crashes[it]->earliest < result.last) {
                continue;
            }
            (2 * together[at] > m_endedTogether[it] ? result.count : doubtful)++;
            result.last = m_crashes[it]->latest;
            result.first = std::min(result.first, result.last);
        }
        result.count += doubtful / DoubtfulCrashes;
        return result;
    }

    /** @return True if there are enough crashes to refuse a feature. */
    [[nodiscard]] bool isEnough(const Suspect &suspect, const Independent &found) const
    {
        if (found.count < CrashLimit) {
            return false;
        }
        if (suspect.feature.kind == FeatureKind::Content || found.count >= CrashLimitBesideOthers) {
            return true;
        }
        // While servers end for other reasons too, a feature that many requests share is among their crashes by chance.
        std::size_t all = 0;
        TimePoint last = TimePoint::min();
        for (std::size_t n = 0; n < m_crashes.size(); n++) {
            const auto &it = *m_crashes[n];
            if (!m_isExplained[n] && it.latest >= found.first && it.latest <= found.last && it.earliest >= last) {
                all++;
                last = it.latest;
            }
        }
        return 2 * found.count >= all;
    }

    [[nodiscard]] const Suspect *strongest(const std::vector<const Suspect *> &candidates) const
    {
        const Suspect *best = nullptr;
        std::size_t most = 0;
        for (const auto *it : candidates) {
            const auto found = unexplained(*it);
            if (found.count < most || !isEnough(*it, found)) {
                continue;
            }
            const bool isNarrower
                = best == nullptr || std::tie(it->feature.kind, it->feature.hash) < std::tie(best->feature.kind, best->feature.hash);
            if (found.count > most || isNarrower) {
                best = it;
                most = found.count;
            }
        }
        return best;
    }

    [[nodiscard]] AttributedFeature describe(const Suspect &suspect) const
    {
        std::set<std::uint64_t> contents;
        for (const auto it : suspect.crashes) {
            contents.insert(m_crashes[it]->record.content);
        }
        return {suspect.feature, unexplained(suspect).count, contents.size(), m_crashes[suspect.crashes.back()]->latest};
    }

    /** Marks the crashes of a feature, and those of other requests at the same servers and times. */
    void explain(const Suspect &suspect)
    {
        for (const auto n : suspect.crashes) {
            m_isExplained[n] = true;
            const auto &crash = *m_crashes[n];
            if (crash.server == 0) {
                continue;
            }
            for (std::size_t other = 0; other < m_crashes.size(); other++) {
                const auto &it = *m_crashes[other];
                if (it.server == crash.server && it.earliest <= crash.latest + SameCrashSpan
                    && it.latest + SameCrashSpan >= crash.earliest) {
                    m_isExplained[other] = true;
                }
            }
        }
    }

    Crashes m_crashes;                                     ///< By time.
    std::vector<std::size_t> m_endedTogether;              ///< For each crash, servers that ended at about the same time.
    std::vector<bool> m_isExplained;                       ///< True for crashes that are attributed already.
    std::unordered_map<std::uint64_t, Suspect> m_suspects; ///< By hash of the feature.
};

} // namespace

CrashAttribution attributeCrashes(std::vector<const CrashEvidence *> crashes, const ClearedFeatures &cleared)
{
    return Attributor(std::move(crashes), cleared).attribute();
}

} // namespace Vanillahall::Forward
