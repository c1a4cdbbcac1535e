/** Rate limits of customers, replayed with many proxies in made-up time: the rule holds, and customers within their limit are served. */
#include "vanillahall/core/customer/customer_permits_base.h"

#include "vanillahall/core/proxy_membership_base.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Proxies = 34;
constexpr Duration StoreDelay = 15ms;
constexpr double LostCalls = 0.02;  ///< Fraction of writes, of reads, and of calls between proxies that are lost.
constexpr Duration PeerDelay = 3ms; ///< Time of a call between proxies.
constexpr double UsualLoad = 0.625;
constexpr int ProgramSize = 10;
constexpr Duration ProgramGap = 500ms; ///< Mean time between two requests of a program.
constexpr Duration WarmUp = 10s;       ///< Refusals count from here on.
constexpr Duration Disturbed = 20s;    ///< The disturbance begins.
constexpr Duration End = 45s;
constexpr Duration PermitWait = 900ms;
constexpr Duration PermitCheck = 50ms;
constexpr std::array Rates = {5.0, 20.0, 116.0, 1000.0};

/** A disturbance at 20 s. */
struct ReplayCase
{
    const char *name;
    std::size_t surging = Rates.size(); ///< Customer whose load grows; none if out of range.
    double surge = 1;                   ///< Factor of its load.
    std::size_t added = 0;              ///< Proxies that are added.
    std::size_t restarted = 0;          ///< Proxies that restart.
    std::size_t frozen = 0;             ///< Proxies that freeze for 5 s.
    std::size_t cutOff = 0;             ///< Proxies that don't reach the store for 8 s.
    double limitFactor = 1;             ///< Change of all limits.
    std::size_t isolated = 0;           ///< Proxies that reach neither the store nor other proxies for 8 s.
    std::size_t lost = 0;               ///< Proxies that end and don't come back.
    bool hitsGrantors = false;          ///< True if the grantors of the customers come first in the counts above.
    bool hasTwoGrantors = false;        ///< True if half of the proxies don't see the grantors that the others ask.
    std::size_t proxies = Proxies;      ///< Proxies at the start.
};

void PrintTo(const ReplayCase &param, std::ostream *out) // NOLINT(readability-identifier-naming): named by GoogleTest
{
    *out << param.name;
}

class QuotaReplay : public ::testing::TestWithParam<std::tuple<ReplayCase, unsigned>>
{
protected:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct Process
    {
        Process(const std::string &name, const std::string &incarnation)
            : vm(name)
            , ledger(name, incarnation)
            , grantor(name)
            , permits(name, ledger, grantor)
        {
        }
        void apply(const std::vector<Customer> &customers, TimePoint now)
        {
            ledger.apply(customers, now);
            grantor.apply(customers, now);
        }
        std::string vm;
        QuotaLedger ledger;
        PermitGrantor grantor;
        CustomerPermits permits;
    };
    struct Traffic
    {
        std::vector<TimePoint> sent;
        double ideal = 0; ///< Level of an exact bucket that all requests reach at once.
        TimePoint idealAt{};
        std::size_t offered = 0;
        std::size_t refused = 0; ///< Requests refused that the exact bucket admits.
    };

    void schedule(TimePoint at, std::function<void()> run)
    {
        m_events.push({at, m_number++, std::move(run)});
    }
    Duration exponential(double mean)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<>(1 / mean)(m_random)));
    }
    /** @return True if a call between proxies is lost; leaves the random numbers of the traffic unchanged. */
    bool isPeerCallLost()
    {
        return std::uniform_real_distribution<>()(m_peerRandom) < LostCalls;
    }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }
    std::vector<Customer> customers(double factor) const
    {
        std::vector<Customer> all;
        all.reserve(Rates.size());
        for (const auto rate : Rates) {
            all.push_back({"c" + std::to_string(all.size()), {}, 0, {rate * factor, rate * factor}});
        }
        return all;
    }
    void addProxy(std::size_t at, const std::string &incarnation)
    {
        m_processes.resize(std::max(m_processes.size(), at + 1));
        m_processes[at] = std::make_shared<Process>("vm" + std::to_string(at), incarnation);
        m_processes[at]->apply(customers(m_now >= start() + Disturbed ? std::get<0>(GetParam()).limitFactor : 1), m_now);
        const auto process = m_processes[at];
        schedule(m_now + exponential(0.2), [this, at, process] {
            exchange(at, process);
        });
        schedule(m_now + PeerDelay, [this, at, process] {
            readMembers(at, process);
        });
    }
    /** Reads the proxies that are alive. */
    void readMembers(std::size_t at, const std::shared_ptr<Process> &process)
    {
        if (process != m_processes[at]) {
            return;
        }
        schedule(m_now + MemberHeartbeatInterval, [this, at, process] {
            readMembers(at, process);
        });
        const auto &param = std::get<0>(GetParam());
        if (!isWithin(at, param.frozen, 5s) && !isWithin(at, param.cutOff, 8s) && !isIsolated(at) && !isLost(at)) {
            process->grantor.onMembers(membersSeenBy(at), m_now, m_now);
        }
    }
    /** Calls another proxy. */
    void callGrantor(std::size_t from, const std::shared_ptr<Process> &process, const PermitCall &call)
    {
        schedule(m_now + PermitAskTimeout, [this, process, ask = call.ask] {
            process->permits.onAnswer(ask, std::nullopt, m_now);
        });
        if (isPeerCallLost() || isIsolated(from)) {
            return;
        }
        schedule(m_now + PeerDelay / 2, [this, process, call] {
            const auto at = static_cast<std::size_t>(std::stoul(call.grantor.substr(2)));
            if (isWithin(at, std::get<0>(GetParam()).frozen, 5s) || isIsolated(at) || isLost(at)) {
                return;
            }
            const auto answer = m_processes[at]->grantor.grant(call.ask, m_now);
            if (isPeerCallLost()) {
                return;
            }
            schedule(m_now + PeerDelay / 2, [this, process, ask = call.ask, answer] {
                process->permits.onAnswer(ask, answer, m_now);
            });
        });
    }
    static TimePoint start()
    {
        return TimePoint(1000s);
    }
    bool isWithin(std::size_t at, std::size_t count, Duration span) const
    {
        return isHit(at, count) && m_now >= start() + Disturbed && m_now < start() + Disturbed + span;
    }
    /** @return True if a proxy is among the first `count` ones, grantors first if the case says so. */
    bool isHit(std::size_t at, std::size_t count) const
    {
        if (!std::get<0>(GetParam()).hitsGrantors) {
            return at < count;
        }
        const auto found = std::find(m_grantors.begin(), m_grantors.end(), at);
        return found < m_grantors.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_grantors.size()));
    }
    bool isIsolated(std::size_t at) const
    {
        return isWithin(at, std::get<0>(GetParam()).isolated, 8s);
    }
    bool isLost(std::size_t at) const
    {
        return isWithin(at, std::get<0>(GetParam()).lost, End);
    }
    /** @return Proxies that one of them knows. */
    std::vector<std::string> membersSeenBy(std::size_t at) const
    {
        std::vector<std::string> alive;
        for (std::size_t it = 0; it < m_processes.size(); it++) {
            const bool isKnownLost = isLost(it) && m_now >= start() + Disturbed + MemberTimeout;
            const bool isHidden = std::get<0>(GetParam()).hasTwoGrantors && at % 2 == 1
                && std::find(m_grantors.begin(), m_grantors.end(), it) != m_grantors.end();
            if (!isKnownLost && !isHidden) {
                alive.push_back(m_processes[it]->vm);
            }
        }
        return alive;
    }
    void exchange(std::size_t at, const std::shared_ptr<Process> &process)
    {
        const auto &param = std::get<0>(GetParam());
        if (process != m_processes[at]) {
            return; // The process has ended.
        }
        const bool isFrozen = isWithin(at, param.frozen, 5s);
        schedule(isFrozen ? start() + Disturbed + 5s : m_now + process->ledger.reportInterval(), [this, at, process] {
            exchange(at, process);
        });
        if (isFrozen) {
            return;
        }
        const auto madeAt = m_now;
        const auto report = process->ledger.report(m_now);
        for (const auto &call : process->permits.keepAlive(m_now)) {
            callGrantor(at, process, call);
        }
        if (isWithin(at, param.cutOff, 8s) || isIsolated(at) || isLost(at)) {
            return;
        }
        if (!chance(LostCalls)) {
            schedule(m_now + StoreDelay / 2, [this, report] {
                m_rows[report.vm] = report;
            });
            schedule(m_now + StoreDelay, [process, madeAt] {
                process->ledger.onReportWritten(madeAt);
            });
        }
        if (!chance(LostCalls)) {
            schedule(m_now + StoreDelay / 2, [this, process, madeAt] {
                std::vector<UsageReport> rows;
                for (const auto &[vm, row] : m_rows) {
                    rows.push_back(row);
                }
                schedule(m_now + StoreDelay / 2, [this, process, madeAt, rows] {
                    process->ledger.onReports(rows, madeAt, m_now);
                    process->grantor.onReports(rows, m_now);
                });
            });
        }
    }
    void beginPrograms(std::size_t customer)
    {
        const auto &param = std::get<0>(GetParam());
        const bool isSurging = customer == param.surging && m_now >= start() + Disturbed;
        schedule(m_now + exponential(ProgramSize / (Rates[customer] * UsualLoad * (isSurging ? param.surge : 1))), [this, customer] {
            auto proxy = std::uniform_int_distribution<std::size_t>(0, m_processes.size() - 1)(m_random);
            while (isLost(proxy)) {
                proxy = (proxy + 1) % m_processes.size();
            }
            sendNext(customer, proxy, 0);
            beginPrograms(customer);
        });
    }
    void sendNext(std::size_t customer, std::size_t proxy, int position)
    {
        if (isLost(proxy)) {
            return; // The program ends with its proxy.
        }
        auto &traffic = m_traffic[customer];
        const double seconds = std::chrono::duration<double>(m_now - traffic.idealAt).count();
        traffic.ideal = std::min(Rates[customer], traffic.ideal + Rates[customer] * seconds);
        traffic.idealAt = m_now;
        const bool isWithinLimit = traffic.ideal >= 1;
        traffic.ideal -= isWithinLimit ? 1 : 0;
        traffic.offered += m_now >= start() + WarmUp ? 1 : 0;
        attempt(customer, proxy, position, isWithinLimit, m_now);
        if (position + 1 < ProgramSize) {
            schedule(m_now + exponential(std::chrono::duration<double>(ProgramGap).count()), [this, customer, proxy, position] {
                sendNext(customer, proxy, position + 1);
            });
        }
    }
    void attempt(std::size_t customer, std::size_t proxy, int position, bool isWithinLimit, TimePoint arrived)
    {
        const bool isFrozen = isWithin(proxy, std::get<0>(GetParam()).frozen, 5s);
        const auto retry = [this, customer, proxy, position, isWithinLimit, arrived] {
            attempt(customer, proxy, position, isWithinLimit, arrived);
        };
        if (isFrozen) {
            schedule(start() + Disturbed + 5s, retry);
            return;
        }
        auto &traffic = m_traffic[customer];
        const auto decision
            = m_processes[proxy]->permits.request({"c" + std::to_string(customer), position > 0, m_now != arrived, 0, 30s}, m_now);
        if (decision.call) {
            callGrantor(proxy, m_processes[proxy], *decision.call);
        }
        const auto &result = decision.answer;
        if (std::holds_alternative<QuotaGranted>(result)) {
            traffic.sent.push_back(m_now);
        } else if (std::holds_alternative<QuotaBusy>(result) && m_now + PermitCheck < arrived + PermitWait) {
            schedule(m_now + PermitCheck, retry);
        } else if (isWithinLimit && arrived >= start() + WarmUp) {
            traffic.refused++;
        }
    }
    /** @return Most requests in a window of 5 s between two times. */
    static std::size_t most(const std::vector<TimePoint> &sent, TimePoint from, TimePoint to)
    {
        std::deque<TimePoint> window;
        std::size_t result = 0;
        for (const auto it : sent) {
            if (it < from || it >= to) {
                continue;
            }
            window.push_back(it);
            while (window.front() <= it - 5s) {
                window.pop_front();
            }
            result = std::max(result, window.size());
        }
        return result;
    }

    std::mt19937_64 m_random;
    std::mt19937_64 m_peerRandom{3};
    /** Plays the whole case. */
    void replay();

    TimePoint m_now = start();
    std::uint64_t m_number = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::shared_ptr<Process>> m_processes;
    std::map<std::string, UsageReport> m_rows;
    std::array<Traffic, Rates.size()> m_traffic;
    std::vector<std::size_t> m_grantors; ///< Grantors of the customers.
};

void QuotaReplay::replay()
{
    const auto &[param, seed] = GetParam();
    m_random.seed(seed);
    for (std::size_t at = 0; at < param.proxies; at++) {
        addProxy(at, "i1");
    }
    PermitGrantor choice("");
    choice.onMembers(membersSeenBy(0), m_now, m_now);
    for (const auto &it : customers(1)) {
        m_grantors.push_back(std::stoul(choice.grantorOf(customerHash(it.name)).substr(2)));
    }
    for (std::size_t it = 0; it < Rates.size(); it++) {
        beginPrograms(it);
    }
    schedule(start() + Disturbed, [this, &param = param] {
        for (std::size_t at = 0; at < param.restarted; at++) {
            addProxy(at, "i2");
        }
        for (std::size_t it = 0; it < param.added; it++) {
            addProxy(m_processes.size(), "i1");
        }
        for (const auto &it : m_processes) {
            it->apply(customers(param.limitFactor), m_now);
        }
    });
    while (m_events.top().at < start() + End) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
}

} // namespace

// More requests than a limit allows were sent over all proxies.
TEST_P(QuotaReplay, KeepsLimits)
{
    replay();
    const auto &param = std::get<0>(GetParam());
    for (std::size_t it = 0; it < Rates.size(); it++) {
        const auto bound = [rate = Rates[it]](double factor) {
            return (rate * 5 + rate) * factor * 1.1 + 20;
        };
        const auto &traffic = m_traffic[it];
        const auto lowered = param.limitFactor < 1 ? start() + Disturbed : start() + End;
        EXPECT_LE(most(traffic.sent, start(), lowered), bound(1)) << "rate " << Rates[it];
        EXPECT_LE(most(traffic.sent, lowered + 5s, start() + End), bound(param.limitFactor)) << "rate " << Rates[it];
    }
}

// Customers within their limit were refused.
TEST_P(QuotaReplay, ServesCustomersWithinTheirLimits)
{
    replay();
    const auto &param = std::get<0>(GetParam());
    for (std::size_t it = 0; it < Rates.size(); it++) {
        const auto &traffic = m_traffic[it];
        if (it != param.surging && param.limitFactor == 1) {
            EXPECT_LT(static_cast<double>(traffic.refused), 0.02 * static_cast<double>(traffic.offered))
                << "rate " << Rates[it] << ", refused " << traffic.refused << " of " << traffic.offered;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         QuotaReplay,
                         ::testing::Combine(::testing::Values(ReplayCase{"usual"},
                                                              ReplayCase{"surge5of5", 0, 5},
                                                              ReplayCase{"surge5of20", 1, 5},
                                                              ReplayCase{"surge5of1000", 3, 5},
                                                              ReplayCase{"surge7of5", 0, 7.5},
                                                              ReplayCase{"surge7of20", 1, 7.5},
                                                              ReplayCase{"surge7of116", 2, 7.5},
                                                              ReplayCase{"surge7of1000", 3, 7.5},
                                                              ReplayCase{"doubled", 1, 7.5, Proxies},
                                                              ReplayCase{"restarted", 1, 7.5, 0, Proxies / 3},
                                                              ReplayCase{"frozen", 1, 7.5, 0, 0, 5},
                                                              ReplayCase{"cutOffOne", 1, 7.5, 0, 0, 0, 1},
                                                              ReplayCase{"cutOffThird", 1, 7.5, 0, 0, 0, Proxies / 3},
                                                              ReplayCase{"cutOffAll", 1, 7.5, 0, 0, 0, Proxies},
                                                              ReplayCase{"lowered", 3, 7.5, 0, 0, 0, 0, 0.1}),
                                            ::testing::Values(1U, 2U)),
                         [](const auto &it) {
                             return std::get<0>(it.param).name + std::string("Seed") + std::to_string(std::get<1>(it.param));
                         });

// Grantors that fail, or two at once, let more requests through than a limit allows.
INSTANTIATE_TEST_SUITE_P(Grantors,
                         QuotaReplay,
                         ::testing::Combine(::testing::Values(ReplayCase{"lostGrantors", 1, 7.5, 0, 0, 0, 0, 1, 0, 4, true},
                                                              ReplayCase{"frozenGrantors", 1, 7.5, 0, 0, 4, 0, 1, 0, 0, true},
                                                              ReplayCase{"isolatedGrantors", 1, 7.5, 0, 0, 0, 0, 1, 4, 0, true},
                                                              ReplayCase{"isolatedThird", 1, 7.5, 0, 0, 0, 0, 1, Proxies / 3},
                                                              ReplayCase{"isolatedAll", 1, 7.5, 0, 0, 0, 0, 1, Proxies},
                                                              ReplayCase{"twoGrantors", 1, 7.5, 0, 0, 0, 0, 1, 0, 0, false, true},
                                                              ReplayCase{"twoGrantorsSurge1000", 3, 7.5, 0, 0, 0, 0, 1, 0, 0, false, true},
                                                              ReplayCase{"proxies300", 1, 7.5, 0, 0, 0, 0, 1, 0, 0, false, false, 300}),
                                            ::testing::Values(1U, 2U)),
                         [](const auto &it) {
                             return std::get<0>(it.param).name + std::string("Seed") + std::to_string(std::get<1>(it.param));
                         });

} // namespace Vanillahall::Forward
