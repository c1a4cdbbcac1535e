/** Requests that crash servers, or servers that crash by themselves, beside harmless requests at many proxies; in made-up time. */
#include "vanillahall/core/crash_tracker_base.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Settled = 3s; ///< After the third crash all proxies refuse the requests by then.
constexpr std::size_t AllowedLater = 3;

/** What requests that crash servers have in common. */
enum class Shared : std::uint8_t {
    Nothing,   ///< There are no such requests.
    Content,   ///< All bytes.
    Beginning, ///< The beginning of the body.
    Caller,    ///< The program.
    Path,      ///< The path only, and harmless requests have other ones.
};

struct ReplayCase
{
    const char *name;              ///< For the test's name.
    Shared shared{};               ///< What the requests have in common.
    std::size_t proxies = 9;       ///< Number of proxies.
    Duration gap = 200ms;          ///< Interval between two of the requests.
    Duration readInterval = 100ms; ///< How often a proxy gets the records of the others.
    std::size_t rack = 0;          ///< Servers that end by themselves at once, every 1.3 s.
    Duration harmlessGap = 20ms;   ///< Interval between two harmless requests.
};

constexpr ReplayCase SameBytes{"sameBytes", Shared::Content};
constexpr ReplayCase Beginning{"beginning", Shared::Beginning};
constexpr ReplayCase Caller{"caller", Shared::Caller};
constexpr ReplayCase OnePath{"path", Shared::Path};
constexpr ReplayCase ManyProxies{"pathManyProxies", Shared::Path, 34};
constexpr ReplayCase PathSlowRecords{"pathSlowRecords", Shared::Path, 9, 200ms, 2s};
constexpr ReplayCase CallerBesideRacks{"callerBesideRacks", Shared::Caller, 9, 200ms, 100ms, 1};
constexpr ReplayCase ServersEnd{"serversEnd", Shared::Nothing, 9, 200ms, 100ms, 1};
constexpr ReplayCase RacksEnd{"racksEnd", Shared::Nothing, 9, 200ms, 100ms, 4};
constexpr ReplayCase RacksEndWithFewRequests{"racksEndWithFewRequests", Shared::Nothing, 9, 200ms, 100ms, 4, 200ms};

/** A request at a server. */
struct Running
{
    RequestFeatures features;
    std::size_t proxy{};
    std::size_t server{};
    TimePoint sentAt{};
    TimePoint endsAt{};
    bool isDeadly = false;
};

class CrashReplay : public ::testing::TestWithParam<std::tuple<ReplayCase, unsigned>>
{
protected:
    static constexpr std::size_t Servers = 10;
    static constexpr Duration Tick = 10ms;
    static constexpr Duration Down = 1500ms; ///< How long a server that has ended is down.
    static constexpr Duration Day = 18s;
    static constexpr std::uint64_t Paths = 1ULL << 40U;
    static constexpr std::uint64_t Callers = 2ULL << 40U;
    static constexpr std::uint64_t Beginnings = 3ULL << 40U;
    static constexpr std::uint64_t Contents = 4ULL << 40U;

    [[nodiscard]] const ReplayCase &param() const
    {
        return std::get<0>(GetParam());
    }

    std::size_t pick(std::size_t n)
    {
        return m_random() % n;
    }

    RequestFeatures features(std::uint64_t beginning, std::uint64_t caller, std::uint64_t path, bool isSameContent = false)
    {
        const auto content = isSameContent ? 0 : ++m_contents;
        return {{FeatureKind::Content, Contents + content},
                {FeatureKind::Beginning, Beginnings + beginning},
                {FeatureKind::Caller, Callers + caller},
                {FeatureKind::Path, Paths + path}};
    }

    RequestFeatures deadlyFeatures()
    {
        // Programs from 1000 on send harmless requests only; harmless requests use paths 1 to 3.
        switch (param().shared) {
        case Shared::Content:
            return features(1, pick(100), 1, true);
        case Shared::Beginning:
            return features(1, 1000 + pick(20), 1);
        case Shared::Caller:
            return features(100 + m_contents, 1, 1);
        default:
            return features(100 + m_contents, pick(100), 99);
        }
    }

    void send(RequestFeatures features, bool isDeadly, TimePoint now)
    {
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < Servers; n++) {
            if (m_downUntil[n] <= now) {
                up.push_back(n);
            }
        }
        const auto proxy = pick(param().proxies);
        if (m_trackers[proxy].refusedFeature(features, now) != nullptr) {
            m_harmlessRefused += isDeadly ? 0 : 1;
            return;
        }
        if (up.empty()) {
            return;
        }
        m_deadlyLater += isDeadly && m_thirdCrashAt && now > *m_thirdCrashAt + Settled ? 1 : 0;
        const Duration span = isDeadly ? 160ms : 200ms + std::chrono::milliseconds(pick(300));
        m_running.push_back({std::move(features), proxy, up[pick(up.size())], now, now + span, isDeadly});
    }

    void endServer(std::size_t server, TimePoint now)
    {
        m_downUntil[server] = now + Down;
        for (const auto &it : m_running) {
            if (it.server == server) {
                m_trackers[it.proxy].recordCrash({it.features, server + 1, it.sentAt}, now);
            }
        }
        std::erase_if(m_running, [server](const Running &it) {
            return it.server == server;
        });
    }

    void step(TimePoint now)
    {
        const auto isDue = [now](const Running &it) {
            return it.endsAt <= now;
        };
        for (auto it = std::find_if(m_running.begin(), m_running.end(), isDue); it != m_running.end();
             it = std::find_if(m_running.begin(), m_running.end(), isDue)) {
            const auto ended = *it;
            if (ended.isDeadly) {
                endServer(ended.server, now);
                if (++m_crashes == CrashLimit) {
                    m_thirdCrashAt = now;
                }
                continue;
            }
            m_running.erase(it);
            for (const auto &record : m_trackers[ended.proxy].recordSuccess(ended.features, ended.sentAt, now)) {
                m_store.erase({ended.proxy, record.serial});
            }
        }
        for (auto &[n, tracker] : m_trackers) {
            for (const auto &it : tracker.beginShare(now)) {
                m_store[{n, it.record.serial}] = it;
            }
            tracker.endShare(true, now);
            if (now >= m_nextReadAt[n]) {
                m_nextReadAt[n] = now + param().readInterval;
                std::vector<CrashEvidence> records;
                for (const auto &[key, record] : m_store) {
                    if (key.first != n) {
                        records.push_back(record);
                    }
                }
                tracker.updateShared(std::move(records), now);
            }
        }
    }

    std::mt19937 m_random{std::get<1>(GetParam())};
    std::map<std::size_t, CrashTracker> m_trackers;
    std::map<std::size_t, TimePoint> m_nextReadAt;
    std::map<std::pair<std::size_t, std::uint64_t>, CrashEvidence> m_store;
    std::map<std::size_t, TimePoint> m_downUntil;
    std::deque<Running> m_running;
    std::optional<TimePoint> m_thirdCrashAt;
    std::uint64_t m_contents = 0;
    std::size_t m_crashes = 0;
    std::size_t m_deadlyLater = 0;
    std::size_t m_harmlessRefused = 0;
};

} // namespace

// Requests were recognized by their bytes alone, so that those that differed in other ways crashed servers without end.
TEST_P(CrashReplay, FewServersAreLostAndHarmlessRequestsGoOn)
{
    for (std::size_t n = 0; n < param().proxies; n++) {
        m_trackers[n].setEntries(param().proxies);
        m_nextReadAt[n] = Start + std::chrono::milliseconds(pick(100));
    }
    auto nextDeadly = Start + 1s;
    auto nextHarmless = Start;
    auto nextRack = Start + 1s;
    for (auto now = Start; now < Start + Day; now += Tick) {
        step(now);
        // First, since no attempt is sent and ends at the same moment.
        if (param().rack != 0 && now >= nextRack) {
            nextRack = now + 1300ms;
            for (std::size_t n = 0; n < param().rack; n++) {
                endServer((pick(2) * 5 + n) % Servers, now);
            }
        }
        if (param().shared != Shared::Nothing && now >= nextDeadly) {
            nextDeadly = now + param().gap;
            send(deadlyFeatures(), true, now);
        }
        if (now >= nextHarmless) {
            nextHarmless = now + param().harmlessGap;
            send(features(200 + pick(2), 1000 + pick(20), 1 + pick(3)), false, now);
        }
    }
    EXPECT_LE(m_deadlyLater, AllowedLater);
    EXPECT_EQ(m_harmlessRefused, 0U);
    // A server that ends by itself may add to the evidence.
    EXPECT_TRUE(param().shared == Shared::Nothing || m_crashes >= CrashLimit || param().rack != 0);
}

std::string nameOf(const ::testing::TestParamInfo<std::tuple<ReplayCase, unsigned>> &it)
{
    return std::string(std::get<0>(it.param).name) + "Seed" + std::to_string(std::get<1>(it.param));
}

INSTANTIATE_TEST_SUITE_P(All,
                         CrashReplay,
                         ::testing::Combine(::testing::Values(SameBytes,
                                                              Beginning,
                                                              Caller,
                                                              OnePath,
                                                              ReplayCase{"pathOneProxy", Shared::Path, 1},
                                                              ManyProxies,
                                                              ReplayCase{"pathSeldom", Shared::Path, 9, 1200ms},
                                                              PathSlowRecords,
                                                              ReplayCase{"callerManyProxies", Shared::Caller, 34},
                                                              CallerBesideRacks,
                                                              ServersEnd,
                                                              RacksEnd,
                                                              RacksEndWithFewRequests),
                                            ::testing::Range(1U, 6U)),
                         nameOf);

// Seeds of longer runs at which harmless requests were refused.
INSTANTIATE_TEST_SUITE_P(Found,
                         CrashReplay,
                         ::testing::Values(std::tuple(SameBytes, 70U),
                                           std::tuple(Beginning, 70U),
                                           std::tuple(Caller, 146U),
                                           std::tuple(Caller, 153U),
                                           std::tuple(OnePath, 70U),
                                           std::tuple(PathSlowRecords, 59U),
                                           std::tuple(PathSlowRecords, 187U),
                                           std::tuple(ManyProxies, 60U),
                                           std::tuple(CallerBesideRacks, 181U),
                                           std::tuple(CallerBesideRacks, 193U),
                                           std::tuple(ServersEnd, 158U),
                                           std::tuple(RacksEnd, 119U),
                                           std::tuple(RacksEndWithFewRequests, 8U),
                                           std::tuple(RacksEndWithFewRequests, 59U)),
                         nameOf);

} // namespace Vanillahall::Forward
