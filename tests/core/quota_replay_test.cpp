#include "vanillahall/core/customer/quota_ledger_base.h"

#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ProxyCount = 34;
constexpr std::size_t CustomerCount = 82;
constexpr double ZipfExponent = 1.2;
constexpr double TotalPerSecond = 280;
constexpr double LimitFactor = 1.6; ///< Limit of a customer relative to its usual load.
constexpr Duration CallTime = 9ms;  ///< Reply time of the store: 6 ms for a transaction, and two ways between zones.
constexpr Duration MaxWait = 50ms;  ///< A quarter of an objective of 200 ms.
constexpr TimePoint Start{1000s};
constexpr Duration RunTime = 60s;
constexpr Duration CountedFrom = 10s; ///< Demand is unknown at the start.

/** A customer of the replay. */
struct ReplayCustomer
{
    std::string name;
    CustomerLimit limit;
    std::vector<std::size_t> proxies; ///< Proxies that its clients are connected to.
    QuotaRow row;
    std::size_t asked = 0;
    std::size_t granted = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t inProgress = 0;        ///< Requests of programs in progress during a surge.
    std::size_t inProgressRefused = 0; ///< Those of them that were refused.
};

/** Load of the replay. */
struct ReplayCase
{
    const char *name;
    double burstSeconds;  ///< Burst of a limit, in seconds of its rate.
    std::size_t proxies;  ///< Proxies of one customer.
    double surge;         ///< Load of the first customer relative to its usual one, from the middle of the run on.
    double maxWritesPerS; ///< Writes per second that the store may see, refused ones included.
};

/** Event of the simulation. */
struct Event
{
    TimePoint at;
    std::uint64_t serial;
    std::function<void()> run;

    bool operator<(const Event &other) const
    {
        return std::make_pair(other.at, other.serial) < std::make_pair(at, serial);
    }
};

/** A request that waits for a permit. */
struct Waiting
{
    TimePoint arrived{};
    bool isInProgress = true;
};

class Replay
{
public:
    explicit Replay(const ReplayCase &load)
        : m_load(load)
    {
        double sum = 0;
        for (std::size_t n = 1; n <= CustomerCount; n++) {
            sum += std::pow(n, -ZipfExponent);
        }
        for (std::size_t n = 0; n < ProxyCount; n++) {
            m_ledgers.emplace_back("vm" + std::to_string(n), "1");
        }
        for (std::size_t n = 0; n < CustomerCount; n++) {
            const double usual = TotalPerSecond * std::pow(n + 1, -ZipfExponent) / sum;
            ReplayCustomer customer{"c" + std::to_string(n), {usual * LimitFactor, usual * LimitFactor * load.burstSeconds}, {}, {}};
            for (std::size_t i = 0; i < load.proxies; i++) {
                customer.proxies.push_back(m_random() % ProxyCount);
            }
            customers.push_back(std::move(customer));
        }
        for (std::size_t n = 0; n < CustomerCount; n++) {
            scheduleArrival(n);
        }
    }

    void run()
    {
        while (!m_events.empty() && m_events.top().at < Start + RunTime) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    std::vector<ReplayCustomer> customers;
    std::size_t writes = 0;
    std::size_t conflicts = 0;
    std::size_t reads = 0;
    std::size_t surgeCalls = 0; ///< Calls for the first customer in the second half of the run.

private:
    void at(TimePoint when, std::function<void()> act)
    {
        m_events.push({when, m_serial++, std::move(act)});
    }

    [[nodiscard]] bool isCounted() const
    {
        return m_now >= Start + CountedFrom;
    }

    void scheduleArrival(std::size_t n)
    {
        const double surge = n == 0 && m_now >= Start + RunTime / 2 ? m_load.surge : 1;
        std::exponential_distribution<double> gap(customers[n].limit.perSecond / LimitFactor * surge);
        at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random))), [this, n] {
            auto &customer = customers[n];
            customer.asked += isCounted() ? 1 : 0;
            // What a surge adds are new programs.
            const bool isSurging = n == 0 && m_load.surge > 1 && m_now >= Start + RunTime / 2;
            const bool isInProgress = !isSurging || static_cast<double>(m_random() % 1000) < 1000 / m_load.surge;
            customer.inProgress += isSurging && isInProgress ? 1 : 0;
            ask(n, customer.proxies[m_random() % customer.proxies.size()], {m_now, isInProgress}, false);
            scheduleArrival(n);
        });
    }

    void ask(std::size_t n, std::size_t proxy, const Waiting &waiting, bool isRepeated)
    {
        auto &customer = customers[n];
        const auto storeMs = static_cast<std::uint64_t>(m_now.time_since_epoch() / 1ms);
        const auto answer
            = m_ledgers[proxy].request({customer.name, customer.limit, waiting.isInProgress, isRepeated, m_random(), 2s}, m_now, storeMs);
        const auto *granted = std::get_if<QuotaGranted>(&answer);
        const auto *write = std::get_if<QuotaNeedsWrite>(&answer);
        if (granted != nullptr) {
            customer.granted += isCounted() ? 1 : 0;
        } else if (std::holds_alternative<QuotaRefused>(answer)) {
            customer.refused += isCounted() ? 1 : 0;
            customer.inProgressRefused += waiting.isInProgress && m_now >= Start + RunTime / 2 ? 1 : 0;
        } else if (m_now - waiting.arrived >= MaxWait) {
            customer.late += isCounted() ? 1 : 0;
        } else {
            m_waiting[{n, proxy}].push_back(waiting);
        }
        if (write != nullptr || (granted != nullptr && granted->renewal)) {
            commit(n, proxy, write != nullptr ? write->write : *granted->renewal);
        } else if (std::holds_alternative<QuotaNeedsRead>(answer)) {
            countCall(n, reads);
            at(m_now + CallTime / 2, [this, n, proxy] {
                at(m_now + CallTime / 2, [this, n, proxy, row = customers[n].row] {
                    m_ledgers[proxy].onRowRead(customers[n].name, row, m_now);
                    wake(n, proxy);
                });
            });
        } else if (std::holds_alternative<QuotaBusy>(answer)) {
            at(m_now + 25ms, [this, n, proxy] {
                wake(n, proxy);
            });
        }
    }

    void countCall(std::size_t n, std::size_t &kind)
    {
        kind += isCounted() ? 1 : 0;
        surgeCalls += n == 0 && m_now >= Start + RunTime / 2 ? 1 : 0;
    }

    void commit(std::size_t n, std::size_t proxy, const QuotaWrite &write)
    {
        countCall(n, writes);
        at(m_now + CallTime / 2, [this, n, proxy, write] {
            auto &row = customers[n].row;
            const bool isDone = write.row.version == row.version;
            if (isDone) {
                row = write.row;
                row.version++;
            }
            conflicts += isDone || !isCounted() ? 0 : 1;
            at(m_now + CallTime / 2, [this, n, proxy, row, isDone] {
                if (isDone) {
                    m_ledgers[proxy].onWritten(customers[n].name, row.version, m_now);
                } else {
                    m_ledgers[proxy].onConflict(customers[n].name, row, m_now);
                }
                wake(n, proxy);
            });
        });
    }

    void wake(std::size_t n, std::size_t proxy)
    {
        const auto waiting = std::exchange(m_waiting[{n, proxy}], {});
        for (const auto &it : waiting) {
            ask(n, proxy, it, true);
        }
    }

    ReplayCase m_load;
    std::mt19937_64 m_random{20261206};
    std::priority_queue<Event> m_events;
    std::uint64_t m_serial = 0;
    TimePoint m_now = Start;
    std::vector<QuotaLedger> m_ledgers;
    std::map<std::pair<std::size_t, std::size_t>, std::vector<Waiting>> m_waiting;
};

} // namespace

class QuotaReplay : public ::testing::TestWithParam<ReplayCase>
{
};

TEST_P(QuotaReplay, CustomersWithinTheirLimitAreServedWithFewCalls)
{
    const auto &load = GetParam();
    Replay replay(load);
    replay.run();
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    double worst = 0;
    for (std::size_t n = load.surge > 1 ? 1 : 0; n < CustomerCount; n++) {
        const auto &it = replay.customers[n];
        asked += it.asked;
        refused += it.refused;
        late += it.late;
        worst = std::max(worst, static_cast<double>(it.refused + it.late) / static_cast<double>(std::max<std::size_t>(it.asked, 100)));
    }
    const double seconds = std::chrono::duration<double>(RunTime - CountedFrom).count();
    std::cout << load.name << ": refused " << refused << " and late " << late << " of " << asked << ", worst customer " << worst
              << ", per second: " << static_cast<double>(replay.writes) / seconds << " writes, "
              << static_cast<double>(replay.conflicts) / seconds << " of them refused, " << static_cast<double>(replay.reads) / seconds
              << " reads; calls for the first customer in the second half " << static_cast<double>(replay.surgeCalls) / 30 << '\n';
    EXPECT_LT((refused + late) * 100, asked);
    EXPECT_LT(worst, 0.05);
    EXPECT_LT(static_cast<double>(replay.writes) / seconds, load.maxWritesPerS);
    if (load.surge > 1) {
        const auto &first = replay.customers.front();
        std::cout << "first customer, programs in progress: refused " << first.inProgressRefused << " of " << first.inProgress << '\n';
        EXPECT_GT(static_cast<double>(first.granted), first.limit.perSecond * 0.85 * 30);
        EXPECT_LT(first.inProgressRefused * 20, first.inProgress);
        // Each proxy makes four calls per second and repeats one after a conflict.
        EXPECT_LT(replay.surgeCalls, load.proxies * 30 * 12);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         QuotaReplay,
                         ::testing::Values(ReplayCase{"usual", 1, 3, 1, 150},
                                           ReplayCase{"no_burst", 0, 3, 1, 150},
                                           ReplayCase{"more_proxies", 1, 8, 1, 250},
                                           ReplayCase{"surge", 1, 3, 5, 150}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
