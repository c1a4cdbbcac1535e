/** Calls to the store while its address changes or its rate limit is exceeded. */
#include "proxy_clock.h"
#include "proxy_world.h"
#include "store_caller.h"
#include "store_router.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(5);

/** Makes a call and counts its reply. */
void callOnce(StoreCaller &caller, int &answers)
{
    caller.call(Platform::readConfigCall(), CallTimeout, [&answers](const auto &reply, const Error &) {
        answers += reply ? 1 : 0;
    });
}

void runUntil(boost::asio::io_context &loop, const int &answers, int wanted)
{
    while (answers < wanted && loop.run_one_for(CallTimeout) != 0) {
        loop.restart();
    }
}

} // namespace

TEST(StoreCaller, ACallInProgressLeavesNoConnectionToTheOldStore)
{
    boost::asio::io_context loop;
    const auto answer = [](const std::string &) {
        return Script{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
    };
    ScriptedPeer oldStore(loop, answer);
    ScriptedPeer newStore(loop, answer);
    StoreCaller caller(loop, {"127.0.0.1", oldStore.port()});
    int answers = 0;
    callOnce(caller, answers);
    caller.setStore({"127.0.0.1", newStore.port()});
    runUntil(loop, answers, 1);
    callOnce(caller, answers);
    runUntil(loop, answers, 2);
    EXPECT_EQ(answers, 2);
    EXPECT_EQ(oldStore.requests.size(), 1U);
    EXPECT_EQ(newStore.requests.size(), 1U);
}

/** Replies of the store to this VM and to another one, and the number of calls that result. */
struct BusyCase
{
    const char *name;
    unsigned member;            ///< Status of calls through the other VM.
    std::size_t maxMemberCalls; ///< Most calls through the other VM for ten calls that the store answers with 429.
    int answers;                ///< Number of calls that get a status below 400.
};

class StoreRouterBusy : public ::testing::TestWithParam<BusyCase>
{
};

TEST_P(StoreRouterBusy, OtherRoutesAreTriedOnlyWhereTheyHelp)
{
    boost::asio::io_context loop;
    ScriptedPeer store(loop, [](const std::string &) {
        return Script{"HTTP/1.1 429 X\r\nContent-Length: 2\r\n\r\n{}"};
    });
    ScriptedPeer other(loop, [](const std::string &) {
        return Script{"HTTP/1.1 " + std::to_string(GetParam().member) + " X\r\nContent-Length: 2\r\n\r\n{}"};
    });
    ProxyMembership members("self");
    members.update({{"other", "127.0.0.1", other.port(), 1}}, now());
    StoreRouter router(loop, {"127.0.0.1", store.port()}, members);
    int ended = 0;
    int answers = 0;
    for (int n = 0; n < 10; n++) {
        router.call(Platform::readConfigCall(), CallTimeout, true, [&](const auto &reply, const Error &) {
            ended++;
            answers += reply && reply->status < 400 ? 1 : 0;
        });
        runUntil(loop, ended, n + 1);
    }
    EXPECT_EQ(answers, GetParam().answers);
    EXPECT_LE(other.requests.size(), GetParam().maxMemberCalls);
    EXPECT_EQ(store.requests.size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         StoreRouterBusy,
                         ::testing::Values(BusyCase{"rateLimitExceeded", 429, 1, 0}, BusyCase{"thisVmIsRateLimited", 200, 10, 10}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
