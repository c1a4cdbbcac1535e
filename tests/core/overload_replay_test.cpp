/** Bursts and surges against admission control, in simulated time. */
#include "overload_replay.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Customers = 8;
constexpr double FullLoad = 78;  // Programs per second that the engines can just serve.
constexpr double UsualLoad = 66; // 0.84 of it.
constexpr unsigned Seeds = 4;

/** Results of replays with and without admission control, over all seeds. */
struct Comparison
{
    int before = 0;
    int after = 0;
    int refusedInProgress = 0;
};

Comparison compare(double usualPerSecond)
{
    Comparison sum;
    for (unsigned seed = 1; seed <= Seeds; seed++) {
        ReplayLoad load{false, std::vector<double>(Customers, 2.4)};
        load.seed = seed;
        load.usualPerSecond = usualPerSecond;
        sum.before += OverloadReplay(load).run().sum(&ReplayCount::inTime);
        load.hasAdmission = true;
        const auto result = OverloadReplay(load).run();
        sum.after += result.sum(&ReplayCount::inTime);
        sum.refusedInProgress += result.refusedInProgress;
    }
    return sum;
}

} // namespace

// All programs of a burst at full engines delayed each other until few ended in time.
TEST(OverloadReplay, ABurstAtFullEnginesEndsMoreProgramsInTime)
{
    const auto result = compare(FullLoad);
    EXPECT_GT(result.after, result.before * 1.1);
    EXPECT_EQ(result.refusedInProgress, 0);
}

// An admission control that set in early cost programs that the engines would have served in time by their own order.
TEST(OverloadReplay, ABurstThatTheEnginesAbsorbLosesNothing)
{
    const auto result = compare(UsualLoad);
    EXPECT_GT(result.after, result.before * 0.98);
    EXPECT_EQ(result.refusedInProgress, 0);
}

// Clients that were refused together came back as one burst.
TEST(OverloadReplay, ClientsRefusedTogetherReturnApart)
{
    ReplayLoad load{true, std::vector<double>(Customers, 2.4)};
    load.usualPerSecond = FullLoad;
    int intervals = 0;
    for (const auto &[refusedAt, returns] : OverloadReplay(load).run().returns) {
        int all = 0;
        int most = 0;
        for (const auto &[at, n] : returns) {
            all += n;
            most = std::max(most, n);
        }
        if (all >= 10) {
            intervals++;
            EXPECT_LT(most * 4, all * 3) << all << " refused";
        }
    }
    EXPECT_GT(intervals, 10);
}

// The service of all customers was lost to the one with the surge.
TEST(OverloadReplay, ASurgeOfOneCustomerLeavesTheOthersTheirService)
{
    std::vector<double> burst(Customers, 1.0);
    burst[0] = 7.5;
    const auto result = OverloadReplay({true, burst, {}, 8s}).run();
    const auto served = [&result](std::size_t n) {
        return static_cast<double>(result.customers[n].inDouble) / result.customers[n].demand;
    };
    for (std::size_t n = 1; n < Customers; n++) {
        EXPECT_GT(served(n), 0.95);
        EXPECT_GT(served(0), served(n) / 2);
    }
}

// Customers of a lower rank got nothing while those of the first rank had a burst.
TEST(OverloadReplay, ALowerRankIsNotStarved)
{
    ReplayLoad load{true, std::vector<double>(Customers, 2.4), {0, 0, 0, 0, 1, 1, 1, 1}};
    load.usualPerSecond = FullLoad;
    std::array<ReplayCount, 2> ranks;
    for (load.seed = 1; load.seed <= Seeds; load.seed++) {
        const auto result = OverloadReplay(load).run();
        for (std::size_t n = 0; n < Customers; n++) {
            auto &it = ranks.at(load.ranks[n]);
            it.demand += result.customers[n].demand;
            it.inDouble += result.customers[n].inDouble;
        }
    }
    RecordProperty("first_rank", ranks[0].inDouble);
    RecordProperty("second_rank", ranks[1].inDouble);
    const double all = static_cast<double>(ranks[0].inDouble + ranks[1].inDouble) / (ranks[0].demand + ranks[1].demand);
    EXPECT_GT(ranks[1].inDouble, all / 4 * ranks[1].demand);
    EXPECT_GT(ranks[0].inDouble * 4, ranks[1].inDouble * 5);
}

} // namespace Vanillahall::Forward
