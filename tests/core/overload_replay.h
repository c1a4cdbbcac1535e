/** Replay of overloaded engines behind several proxies, in simulated time and without a network. */
#pragma once

#include "vanillahall/core/admission/program_admission_base.h"
#include "vanillahall/core/urgency_func.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <utility>

namespace Vanillahall::Forward {

/** Load of one replay. Times count from the start; the burst begins after a warm-up. */
struct ReplayLoad
{
    bool hasAdmission = true;              ///< False for the behavior without admission control.
    std::vector<double> burst;             ///< Demand of each customer during the burst, relative to its usual one.
    std::vector<std::uint32_t> ranks = {}; ///< Rank of each customer; empty for equal ones.
    Duration length = std::chrono::seconds(6);
    SaturationSettings saturation = {};
    unsigned seed = 7;
    double usualPerSecond = 66; ///< Programs; 0.84 of what the engines can do.
};

/** Programs of one customer, from the begin of the burst on. */
struct ReplayCount
{
    int demand = 0;   ///< Arrived.
    int inTime = 0;   ///< Ended within their time.
    int inDouble = 0; ///< Ended within twice their time.
};

/** Result of a replay. */
struct ReplayResult
{
    std::vector<ReplayCount> customers;        ///< Programs that arrived during the burst.
    ReplayCount later;                         ///< Programs that arrived in the 20 s after it, which find the queues that it has left.
    int refusedInProgress = 0;                 ///< Refusals of programs in progress by the admission control.
    int refused = 0;                           ///< Refusals by the admission control.
    int refusedAgain = 0;                      ///< Among them, programs that were refused before.
    std::map<int, std::map<int, int>> returns; ///< Returns by the 100 ms interval of the refusal and that of the return.
    int sum(int ReplayCount::*field) const
    {
        int n = later.*field;
        for (const auto &it : customers) {
            n += it.*field;
        }
        return n;
    }
};

/** Engines, proxies and clients of one replay. */
class OverloadReplay
{
public:
    explicit OverloadReplay(ReplayLoad load);
    ReplayResult run();

private:
    static constexpr int Engines = 20;
    static constexpr int Slots = 6;
    static constexpr int QueueLength = 18;
    static constexpr int Proxies = 4;

    struct Program
    {
        std::uint64_t id = 0;
        std::size_t customer = 0;
        std::vector<Duration> turns; ///< Work of each turn.
        std::size_t done = 0;        ///< Turns that have ended.
        Duration time{};             ///< Its time.
        TimePoint begun{};
        ReplayCount *count = nullptr; ///< Null during the warm-up.
        bool wasRefused = false;
    };
    struct Engine
    {
        int running = 0;
        std::multimap<std::uint32_t, std::function<void()>> queue; ///< By priority.
    };
    struct Proxy
    {
        SaturationMonitor saturation;
        ProgramAdmission admission;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void after(Duration span, std::function<void()> act);
    void arrive(std::size_t customer, TimePoint until, bool isBurst, ReplayCount *count);
    void begin(std::size_t customer, ReplayCount *count);
    void ask(Program &program);
    void send(Program &program);
    void runTurn(Engine &engine, Program &program, TimePoint sentAt);
    void startNext(Engine &engine);
    bool isGivenUp(const Program &program) const;
    Proxy &proxyOf(const Program &program);

    ReplayLoad m_load;
    ReplayResult m_result;
    std::mt19937 m_random;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::uint64_t m_events = 0;
    std::priority_queue<Event> m_queue;
    std::vector<Engine> m_engines{Engines};
    std::vector<Proxy> m_proxies{Proxies};
    std::map<std::uint64_t, Program> m_programs;
};

} // namespace Vanillahall::Forward
