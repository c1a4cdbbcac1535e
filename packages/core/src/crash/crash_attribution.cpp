#include "vanillahall/core/crash/crash_attribution_func.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <tuple>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t DoubtfulCrashes = 3; ///< That many crashes with another likely cause count as one.

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
        , m_events(m_crashes.size())
        , m_isExplained(m_crashes.size())
    {
        std::sort(m_crashes.begin(), m_crashes.end(), [](const auto *a, const auto *b) {
            return std::tie(a->latest, a->record.content, a->record.serial) < std::tie(b->latest, b->record.content, b->record.serial);
        });
        assignEvents();
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
        const auto all = unexplainedTimes();
        for (const auto &[hash, suspect] : m_suspects) {
            if (suspect.crashes.size() <= 1) {
                // Most features are those of single requests.
                result.suspects[hash] = suspect.crashes.size();
                continue;
            }
            const auto found = unexplained(suspect, all);
            result.suspects[hash] = found.count;
            if (found.areEnough) {
                candidates.push_back(&suspect);
            }
        }
        removeAmbiguous(candidates);
        while (const auto *culprit = strongest(candidates)) {
            result.refused.push_back(describe(*culprit));
            explain(*culprit);
        }
        return result;
    }

private:
    /** Numbers the ends of servers. Attempts that a server ran when it ended have the same number. */
    void assignEvents()
    {
        struct LastEnd
        {
            std::size_t event;
            TimePoint latest;
        };
        std::unordered_map<std::uint64_t, LastEnd> ends;
        for (std::size_t n = 0; n < m_crashes.size(); n++) {
            const auto &it = *m_crashes[n];
            const auto known = ends.find(it.server);
            const bool isSame = it.server != 0 && known != ends.end() && it.earliest <= known->second.latest + SameCrashSpan;
            m_events[n] = isSame ? known->second.event : n;
            ends[it.server] = {m_events[n], it.latest};
        }
    }

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
            for (; end != crashes.end() && m_crashes[*end]->latest <= at + CommonCauseSpan; ++end) {
                servers[m_crashes[*end]->server]++;
            }
            for (; m_crashes[*begin]->latest + CommonCauseSpan < at; ++begin) {
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
        bool areEnough = false; ///< True if there were enough of them to refuse the feature when one of them happened.
    };

    /** @return Times of all independent crashes, without those that are explained. */
    [[nodiscard]] std::vector<TimePoint> unexplainedTimes() const
    {
        std::vector<TimePoint> times;
        for (std::size_t n = 0; n < m_crashes.size(); n++) {
            if (!m_isExplained[n] && (times.empty() || m_crashes[n]->earliest >= times.back())) {
                times.push_back(m_crashes[n]->latest);
            }
        }
        return times;
    }

    /** @return Independent crashes of a feature, without those that are explained. @param all Result of unexplainedTimes(). */
    [[nodiscard]] Independent unexplained(const Suspect &suspect, const std::vector<TimePoint> &all) const
    {
        // If half of the servers that ended with this one didn't run such a request, they probably had another cause.
        const auto together = endedTogether(suspect.crashes);
        Independent result;
        std::size_t certain = 0;
        std::size_t doubtful = 0;
        TimePoint last = TimePoint::min();
        for (std::size_t at = 0; at < suspect.crashes.size(); at++) {
            const auto it = suspect.crashes[at];
            if (m_isExplained[it] || m_crashes[it]->earliest < last) {
                continue;
            }
            (2 * together[at] > m_endedTogether[it] ? certain : doubtful)++;
            last = m_crashes[it]->latest;
            result.count = certain + doubtful / DoubtfulCrashes;
            // While servers end for other reasons too, a feature that many requests share is among their crashes by chance.
            const auto until = static_cast<std::size_t>(std::upper_bound(all.begin(), all.end(), last) - all.begin());
            const bool hasOtherCauses = suspect.feature.kind != FeatureKind::Content && 2 * result.count < until;
            result.areEnough = result.areEnough || result.count >= (hasOtherCauses ? CrashLimitBesideOthers : CrashLimit);
        }
        return result;
    }

    /** @return The ends of servers at which such requests ran, without those that are explained. */
    [[nodiscard]] std::set<std::size_t> unexplainedEvents(const Suspect &suspect) const
    {
        std::set<std::size_t> events;
        for (const auto it : suspect.crashes) {
            if (!m_isExplained[it]) {
                events.insert(m_events[it]);
            }
        }
        return events;
    }

    /** @return True if no attempt has both features. */
    static bool areDifferentRequests(const Suspect &a, const Suspect &b)
    {
        return std::find_first_of(a.crashes.begin(), a.crashes.end(), b.crashes.begin(), b.crashes.end()) == a.crashes.end();
    }

    /**
     * Removes features whose requests always ran beside others that explain more, even if these aren't refused yet, or as much as long as
     * there are no more ends of servers than the limit. The next crash decides.
     */
    void removeAmbiguous(std::vector<const Suspect *> &candidates) const
    {
        std::vector<std::pair<const Suspect *, std::set<std::size_t>>> suspects;
        for (const auto &[hash, suspect] : m_suspects) {
            if (suspect.crashes.size() >= CrashLimit) {
                suspects.emplace_back(&suspect, unexplainedEvents(suspect));
            }
        }
        std::erase_if(candidates, [this, &suspects](const Suspect *it) {
            const auto events = unexplainedEvents(*it);
            return std::any_of(suspects.begin(), suspects.end(), [it, &events](const auto &other) {
                const auto &others = other.second;
                const bool mayExplain = others.size() > events.size() || (others.size() == events.size() && events.size() <= CrashLimit);
                return mayExplain && std::includes(others.begin(), others.end(), events.begin(), events.end())
                    && areDifferentRequests(*it, *other.first);
            });
        });
    }

    /** @return The feature that explains most of what isn't explained; of several the rarest one, then the narrowest. */
    [[nodiscard]] const Suspect *strongest(const std::vector<const Suspect *> &candidates) const
    {
        const auto all = unexplainedTimes();
        const auto rank = [this](const Suspect &it) {
            // What many requests share is at the ends of servers by chance.
            return std::tuple(
                -static_cast<std::ptrdiff_t>(unexplainedEvents(it).size()), it.crashes.size(), it.feature.kind, it.feature.hash);
        };
        const Suspect *best = nullptr;
        for (const auto *it : candidates) {
            if (unexplained(*it, all).areEnough && (best == nullptr || rank(*it) < rank(*best))) {
                best = it;
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
        return {
            suspect.feature, unexplained(suspect, unexplainedTimes()).count, contents.size(), m_crashes[suspect.crashes.back()]->latest};
    }

    /** Marks the crashes of a feature, and those of other requests at the same servers and times. */
    void explain(const Suspect &suspect)
    {
        const auto events = unexplainedEvents(suspect);
        for (std::size_t n = 0; n < m_crashes.size(); n++) {
            if (events.count(m_events[n]) != 0) {
                m_isExplained[n] = true;
            }
        }
    }

    Crashes m_crashes;                                     ///< By time.
    std::vector<std::size_t> m_endedTogether;              ///< For each crash, servers that ended at about the same time.
    std::vector<std::size_t> m_events;                     ///< For each crash, number of its server's end.
    std::vector<bool> m_isExplained;                       ///< True for crashes that are attributed already.
    std::unordered_map<std::uint64_t, Suspect> m_suspects; ///< By hash of the feature.
};

} // namespace

CrashAttribution attributeCrashes(std::vector<const CrashEvidence *> crashes, const ClearedFeatures &cleared)
{
    return Attributor(std::move(crashes), cleared).attribute();
}

} // namespace Vanillahall::Forward
