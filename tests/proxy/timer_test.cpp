#include "timer_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

/** Owner of two timers that expire at the same time. */
struct Owner : std::enable_shared_from_this<Owner>
{
    explicit Owner(boost::asio::io_context &loop)
        : first(loop)
        , second(loop)
    {
    }

    boost::asio::steady_timer first;
    boost::asio::steady_timer second;
    int calls = 0;
};

} // namespace

TEST(Timer, StoppedTimerDoesNotFireEvenIfExpired)
{
    boost::asio::io_context loop;
    const auto owner = std::make_shared<Owner>(loop);
    runAfter(owner->first, 0ms, *owner, [](Owner &it) {
        stopTimer(it.second);
    });
    runAfter(owner->second, 0ms, *owner, [](Owner &it) {
        it.calls++;
    });
    loop.run();
    EXPECT_EQ(owner->calls, 0);
}

TEST(Timer, TimerThatIsSetAgainFiresOnce)
{
    boost::asio::io_context loop;
    const auto owner = std::make_shared<Owner>(loop);
    runAfter(owner->first, 0ms, *owner, [](Owner &it) {
        runAfter(it.second, 1ms, it, [](Owner &same) {
            same.calls += 10;
        });
    });
    runAfter(owner->second, 0ms, *owner, [](Owner &it) {
        it.calls++;
    });
    loop.run();
    EXPECT_EQ(owner->calls, 10);
}

// The action that was replaced ran as well, and the new one twice.
TEST(Timer, TimerThatIsSetAgainWithoutDelayFiresOnce)
{
    boost::asio::io_context loop;
    const auto owner = std::make_shared<Owner>(loop);
    runAfter(owner->first, 0ms, *owner, [](Owner &it) {
        runAfter(it.second, 0ms, it, [](Owner &same) {
            same.calls += 10;
        });
    });
    runAfter(owner->second, 0ms, *owner, [](Owner &it) {
        it.calls++;
    });
    loop.run();
    EXPECT_EQ(owner->calls, 10);
}

TEST(Timer, DestroyedOwnerIsNotCalled)
{
    boost::asio::io_context loop;
    boost::asio::steady_timer timer(loop);
    int calls = 0;
    auto owner = std::make_shared<Owner>(loop);
    runAfter(timer, 0ms, *owner, [&calls](Owner &) {
        calls++;
    });
    owner.reset();
    loop.run();
    EXPECT_EQ(calls, 0);
}

} // namespace Vanillahall::Forward
