/**
 * Replays the load of many choosers at unequal servers, without a network: costs with heavy tails, servers that are slowed down for a
 * while, reports that arrive late. Prints waiting times and the imbalance of work of several ways to choose.
 */
#include "vanillahall/core/server_registry_base.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <queue>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Servers = 59;
constexpr std::uint32_t Slots = 6;
constexpr std::size_t Choosers = 34;
constexpr int Requests = 60000;
constexpr int Warmup = 6000;      ///< First requests, which aren't counted.
constexpr double LoadShare = 0.8; ///< Load relative to the mean capacity.

enum class Way { LeastLoaded, TwoChoices, Fixed, Learned };

/** Result of one replay, in milliseconds. */
struct Result
{
    double p50 = 0;
    double p99 = 0;
    double mean = 0;
    double finish = 0;    ///< Mean time from arrival to end.
    double imbalance = 0; ///< Highest work of a server relative to its speed, over the mean.
};

/** One simulated server. */
struct SimServer
{
    double speed = 1;
    double slowUntil = 0;
    double nextSlow = 0;
    std::uint32_t running = 0;
    std::deque<std::size_t> waiting;
    double work = 0;
};

struct Job
{
    std::size_t chooser = 0;
    std::size_t server = 0;
    double arrived = 0;
    double work = 0;
    double started = 0;
    double ended = 0;
    RequestAttributes attributes;
    Choice choice;
};

enum class Step { Arrival, End, Report };

struct Event
{
    double at;
    Step step;
    std::size_t job;
    ServerLoad load;

    bool operator<(const Event &other) const
    {
        return at > other.at;
    }
};

TimePoint time(double ms)
{
    return TimePoint(1000s) + std::chrono::duration_cast<Duration>(Milliseconds(ms));
}

class Replay
{
public:
    Replay(Way way, unsigned seed, bool areEqual)
        : m_way(way)
        , m_random(seed)
    {
        std::vector<Server> list;
        for (std::size_t n = 0; n < Servers; n++) {
            m_servers[n].speed = areEqual ? 1.0 : (n % 3 == 2 ? 1.7 : 0.7);
            m_servers[n].nextSlow = areEqual ? 1e12 : exponential(3400);
            Server server;
            server.id = std::to_string(n);
            server.service = "svc";
            server.slots = Slots;
            server.zone = "z";
            list.push_back(server);
        }
        ChoiceSettings settings;
        settings.placement = way == Way::Fixed ? Placement::Fixed : Placement::Learned;
        for (std::size_t n = 0; n < Choosers; n++) {
            m_choosers.push_back(std::make_unique<ServerRegistry>("z", settings));
            m_choosers.back()->setProxies(Choosers, static_cast<std::uint32_t>(n));
            m_choosers.back()->update(list, false, time(0));
        }
    }

    Result run()
    {
        double capacity = 0;
        for (const auto &it : m_servers) {
            capacity += it.speed * Slots / (it.nextSlow < 1e12 ? 1.225 : 1); // Mean slowdown: 15 % of the time 2.5 times as long.
        }
        constexpr double MeanWork = 180.0;
        m_jobs.resize(Requests);
        double at = 0;
        for (std::size_t n = 0; n < Requests; n++) {
            m_events.push({at += exponential(MeanWork / (capacity * LoadShare)), Step::Arrival, n, {}});
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        return result();
    }

private:
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    double slowdown(SimServer &server)
    {
        while (m_now >= server.nextSlow) {
            server.slowUntil = server.nextSlow + 600;
            server.nextSlow = server.slowUntil + exponential(3400);
        }
        return m_now < server.slowUntil ? 2.5 : 1;
    }

    std::size_t choose(Job &job, std::size_t kind)
    {
        auto &known = m_known[job.chooser];
        if (m_way == Way::LeastLoaded) {
            return static_cast<std::size_t>(std::min_element(known.begin(), known.end()) - known.begin());
        }
        if (m_way == Way::TwoChoices) {
            const auto a = m_random() % Servers;
            const auto b = m_random() % Servers;
            return known[a] <= known[b] ? a : b;
        }
        const std::set<std::string> none;
        ChoiceRequest request{"svc", &job.attributes, 10000, &none, {}};
        const auto route = "r" + std::to_string(kind);
        request.route = route;
        job.choice = *m_choosers[job.chooser]->choose(request, time(m_now));
        return std::stoul(job.choice.server.id);
    }

    void start(std::size_t n)
    {
        auto &job = m_jobs[n];
        auto &server = m_servers[job.server];
        server.running++;
        job.started = m_now;
        m_events.push({m_now + job.work * slowdown(server) / server.speed, Step::End, n, {}});
    }

    void handle(const Event &event)
    {
        auto &job = m_jobs[event.job];
        if (event.step == Step::Arrival) {
            const std::size_t kind = m_random() % 4;
            job.chooser = std::min(m_random() % Choosers, m_random() % Choosers); // Some choosers have more clients.
            job.arrived = m_now;
            // Four kinds, each with a heavy tail.
            constexpr std::array Means{40.0, 90.0, 180.0, 410.0};
            constexpr double Sigma = 0.9;
            job.work = Means.at(kind) * std::exp(Sigma * std::normal_distribution<double>()(m_random) - Sigma * Sigma / 2);
            job.attributes.program = "p" + std::to_string(event.job / 4);
            job.attributes.requestId = std::to_string(event.job);
            job.server = choose(job, kind);
            m_known[job.chooser][job.server] += 1;
            if (!job.choice.server.id.empty()) {
                m_choosers[job.chooser]->recordStart(job.choice, job.attributes, time(m_now));
            }
            auto &server = m_servers[job.server];
            server.work += job.work / server.speed;
            if (server.running < Slots) {
                start(event.job);
            } else {
                server.waiting.push_back(event.job);
            }
            return;
        }
        if (event.step == Step::End) {
            job.ended = m_now;
            auto &server = m_servers[job.server];
            server.running--;
            if (!server.waiting.empty()) {
                const auto next = server.waiting.front();
                server.waiting.pop_front();
                start(next);
            }
            const ServerLoad load{server.running, static_cast<std::uint32_t>(server.waiting.size()), Slots, slowdown(server)};
            m_events.push({m_now + 100 + static_cast<double>(m_random() % 300), Step::Report, event.job, load});
            return;
        }
        m_known[job.chooser][job.server] = event.load.running + event.load.waiting;
        if (!job.choice.server.id.empty()) {
            m_choosers[job.chooser]->recordLoad(job.choice.server.id, event.load, time(m_now));
            m_choosers[job.chooser]->recordEnd(job.choice, {time(job.arrived), std::nullopt, 0, true}, time(m_now));
        }
    }

    Result result()
    {
        std::vector<double> waits;
        Result result;
        for (std::size_t n = Warmup; n < m_jobs.size(); n++) {
            waits.push_back(m_jobs[n].started - m_jobs[n].arrived);
            result.mean += waits.back() / static_cast<double>(m_jobs.size() - Warmup);
            result.finish += (m_jobs[n].ended - m_jobs[n].arrived) / static_cast<double>(m_jobs.size() - Warmup);
        }
        std::sort(waits.begin(), waits.end());
        result.p50 = waits[waits.size() / 2];
        result.p99 = waits[waits.size() * 99 / 100];
        double sum = 0;
        for (const auto &it : m_servers) {
            sum += it.work;
            result.imbalance = std::max(result.imbalance, it.work * Servers);
        }
        result.imbalance /= sum;
        return result;
    }

    Way m_way;
    std::mt19937 m_random;
    double m_now = 0;
    std::array<SimServer, Servers> m_servers;
    std::vector<std::unique_ptr<ServerRegistry>> m_choosers;
    std::array<std::array<double, Servers>, Choosers> m_known{}; ///< Load of each server as each chooser knows it.
    std::vector<Job> m_jobs;
    std::priority_queue<Event> m_events;
};

} // namespace

/** Whether all servers have the same speed and are never slowed down. */
class PlacementReplay : public ::testing::TestWithParam<bool>
{
};

// Guards against a choice that serves later than the one by fixed figures, or that takes random differences of equal servers for their
// pace.
TEST_P(PlacementReplay, ServesNoLaterThanFixedFigures)
{
    constexpr unsigned Seed = 20261206;
    std::array<Result, 4> results;
    const std::array names{"least loaded", "two choices", "fixed", "learned"};
    std::printf("%-14s %8s %8s %8s %8s %10s\n", "waits in ms", "p50", "p99", "mean", "end", "imbalance");
    for (std::size_t n = 0; n < results.size(); n++) {
        results.at(n) = Replay(static_cast<Way>(n), Seed, GetParam()).run();
        const auto &it = results.at(n);
        std::printf("%-14s %8.1f %8.1f %8.1f %8.1f %10.2f\n", names.at(n), it.p50, it.p99, it.mean, it.finish, it.imbalance);
    }
    const auto &fixed = results.at(static_cast<std::size_t>(Way::Fixed));
    const auto &learned = results.at(static_cast<std::size_t>(Way::Learned));
    EXPECT_LE(learned.p99, fixed.p99);
    EXPECT_LE(learned.mean, fixed.mean);
    EXPECT_LE(learned.finish, fixed.finish);
}

INSTANTIATE_TEST_SUITE_P(EqualServers, PlacementReplay, ::testing::Bool());

} // namespace Vanillahall::Forward
