/** Calls to the store while its address changes. */
#include "proxy_world.h"
#include "store_caller.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr Duration Limit = std::chrono::seconds(5);

/** Makes a call and counts its answer. */
void callOnce(StoreCaller &caller, int &answers)
{
    caller.call(Platform::readConfigCall(), Limit, [&answers](const auto &reply, const Error &) {
        answers += reply ? 1 : 0;
    });
}

void runUntil(boost::asio::io_context &loop, const int &answers, int wanted)
{
    while (answers < wanted && loop.run_one_for(Limit) != 0) {
        loop.restart();
    }
}

} // namespace

TEST(StoreCaller, ACallUnderWayKeepsNoConnectionToTheOldStore)
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

} // namespace Vanillahall::Forward
