#include "vanillahall/core/abandoned_attempts_base.h"

#include "crash_records.h"

#include <functional>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Deadline = 3s;
constexpr std::uint64_t Content = 7;

Server server(std::uint64_t startedMs = 1000, bool isDraining = false, const char *id = "s1")
{
    Server it;
    it.id = id;
    it.address = "10.0.0.1";
    it.startedMs = startedMs;
    it.isDraining = isDraining;
    return it;
}

/** Signs of a server's end after an attempt was abandoned there at Start, with a deadline of 3 s. */
struct EndCase
{
    const char *name;                                                     ///< For the test's name.
    std::function<std::vector<EndedServer>(AbandonedAttempts &)> observe; ///< Handles the signs. @return Result of the last one.
    std::size_t counted;                                                  ///< Attempts that count.
};

class AbandonedEnd : public ::testing::TestWithParam<EndCase>
{
};

} // namespace

TEST_P(AbandonedEnd, CountsForAttemptsThatMayHaveBeenRunning)
{
    AbandonedAttempts attempts;
    attempts.record(server(), crashOf(Content, Start), Start + Deadline);
    std::size_t counted = 0;
    for (const auto &it : GetParam().observe(attempts)) {
        EXPECT_EQ(it.server, "s1");
        counted += it.attempts.size();
    }
    EXPECT_EQ(counted, GetParam().counted);
}

INSTANTIATE_TEST_SUITE_P(All,
                         AbandonedEnd,
                         ::testing::Values(EndCase{"refused",
                                                   [](auto &it) {
                                                       return it.onConnectResult("s1", ConnectResult::Refused, Start + 1s);
                                                   },
                                                   1},
                                           EndCase{"refusedLongAfterTheDeadline",
                                                   [](auto &it) {
                                                       return it.onConnectResult(
                                                           "s1", ConnectResult::Refused, Start + Deadline + RefusalDelay + 1ms);
                                                   },
                                                   0},
                                           EndCase{"otherServerRefuses",
                                                   [](auto &it) {
                                                       return it.onConnectResult("s2", ConnectResult::Refused, Start + 1s);
                                                   },
                                                   0},
                                           EndCase{"noResponseWhileListed",
                                                   [](auto &it) {
                                                       return it.onConnectResult("s1", ConnectResult::Failed, Start + 1s);
                                                   },
                                                   0},
                                           EndCase{"restarted",
                                                   [](auto &it) {
                                                       return it.onServerList({server(2000)}, Start + Deadline + ListDelay);
                                                   },
                                                   1},
                                           EndCase{"restartedLongAfterTheDeadline",
                                                   [](auto &it) {
                                                       return it.onServerList({server(2000)}, Start + Deadline + ListDelay + 1ms);
                                                   },
                                                   0},
                                           EndCase{"restartedAfterDraining",
                                                   [](auto &it) {
                                                       it.onServerList({server(1000, true)}, Start + 1s);
                                                       return it.onServerList({server(2000)}, Start + 2s);
                                                   },
                                                   0},
                                           EndCase{"restartedWithAnotherId",
                                                   [](auto &it) {
                                                       return it.onServerList({server(2000, false, "s2")}, Start + 2s);
                                                   },
                                                   1},
                                           // Its address is used again before its own row is removed.
                                           EndCase{"bothRowsAreListed",
                                                   [](auto &it) {
                                                       return it.onServerList({server(), server(2000, false, "s2")}, Start + 2s);
                                                   },
                                                   1},
                                           EndCase{"anotherIdAtItsAddressAfterDraining",
                                                   [](auto &it) {
                                                       it.onServerList({server(1000, true)}, Start + 1s);
                                                       return it.onServerList({server(2000, false, "s2")}, Start + 2s);
                                                   },
                                                   0},
                                           EndCase{"formerServerOfItsAddressIsStillListed",
                                                   [](auto &it) {
                                                       return it.onServerList({server(500, false, "s0"), server()}, Start + 2s);
                                                   },
                                                   0},
                                           EndCase{"olderRowComesLate",
                                                   [](auto &it) {
                                                       return it.onServerList({server(500)}, Start + 1s);
                                                   },
                                                   0},
                                           // A server that lost its power closes no connection; its row is removed after some heartbeats.
                                           EndCase{"goneAndUnreachable",
                                                   [](auto &it) {
                                                       it.onServerList({}, Start + 4s);
                                                       return it.onConnectResult("s1", ConnectResult::Failed, Start + 5s);
                                                   },
                                                   1},
                                           // Some servers leave without being listed as draining, and keep serving for a while.
                                           EndCase{"goneAndStillRunning",
                                                   [](auto &it) {
                                                       it.onServerList({}, Start + 1s);
                                                       it.onConnectResult("s1", ConnectResult::Connected, Start + 1s);
                                                       it.onServerList({}, Start + 2s);
                                                       return it.onConnectResult("s1", ConnectResult::Refused, Start + 3s);
                                                   },
                                                   0},
                                           EndCase{"listedAgain",
                                                   [](auto &it) {
                                                       it.onServerList({}, Start + 1s);
                                                       it.onServerList({server()}, Start + 2s);
                                                       return it.onConnectResult("s1", ConnectResult::Failed, Start + 2s);
                                                   },
                                                   0}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(AbandonedAttempts, AnEndCountsOnce)
{
    AbandonedAttempts attempts;
    attempts.record(server(), crashOf(Content, Start), Start + Deadline);
    EXPECT_EQ(attempts.onConnectResult("s1", ConnectResult::Refused, Start).size(), 1U);
    EXPECT_TRUE(attempts.onConnectResult("s1", ConnectResult::Refused, Start).empty());
    EXPECT_TRUE(attempts.onServerList({server(2000)}, Start).empty());
}

TEST(AbandonedAttempts, ServersAreWatchedAsLongAsTheyMayRunAnAttempt)
{
    AbandonedAttempts attempts;
    attempts.record(server(), crashOf(Content, Start), Start + Deadline);
    attempts.removeExpired(Start + Deadline + ListDelay);
    EXPECT_EQ(attempts.serversToWatch(false).size(), 1U);
    attempts.onServerList({}, Start + 1s);
    EXPECT_TRUE(attempts.serversToWatch(false).empty());
    EXPECT_EQ(attempts.serversToWatch(true).size(), 1U);
    attempts.removeExpired(Start + Deadline + ListDelay + 1ms);
    EXPECT_TRUE(attempts.serversToWatch(true).empty());
    EXPECT_EQ(attempts.size(), 0U);
}

TEST(AbandonedAttempts, AreBounded)
{
    AbandonedAttempts attempts;
    for (std::uint64_t n = 0; n < MaxAbandonedPerServer + 5; n++) {
        attempts.record(server(), crashOf(n, Start), Start + Deadline);
    }
    EXPECT_EQ(attempts.size(), MaxAbandonedPerServer);
    const auto ended = attempts.onConnectResult("s1", ConnectResult::Refused, Start);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().attempts.front().features.front().hash, 5U);
}

} // namespace Vanillahall::Forward
