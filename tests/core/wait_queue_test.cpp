#include "vanillahall/core/wait_queue_base.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

using namespace std::chrono_literals;

namespace {

constexpr Now Start{TimePoint(1000s), WallTime(1'800'000'000s)};
constexpr std::size_t AgeBound = 8; ///< A call with n older ones is among the first AgeBound * (n + 1) calls to start.

Now later(Duration span)
{
    return Now{Start.steady + span, Start.wall + std::chrono::duration_cast<std::chrono::milliseconds>(span)};
}

/** @param slack Time from Start to the latest start. */
WaitingCall waitingCall(std::uint64_t serial, std::chrono::milliseconds slack, const char *customer = "klokwerk", Duration age = 0s)
{
    WaitingCall call;
    call.key = CallKey{ProgramId{ShardId{1}, serial}, Turn{1}};
    call.customer = CustomerName{customer};
    call.urgency = Urgency{Start.wall + slack + 1s, 1s, true};
    call.acceptedAt = Start.steady - age;
    call.expectedWork = 1s;
    return call;
}

std::vector<std::uint64_t> popAll(WaitQueue &queue, Now now)
{
    std::vector<std::uint64_t> order;
    while (const auto call = queue.pop(now)) {
        order.push_back(call->key.program.serial);
    }
    return order;
}

} // namespace

/** Waiting calls and the order in which they start. */
struct OrderCase
{
    const char *name;                 ///< For the test's name.
    std::vector<WaitingCall> calls;   ///< Waiting calls.
    Duration after;                   ///< Time from Start to the pops.
    std::vector<std::uint64_t> order; ///< Expected serials.
};

class WaitOrder : public ::testing::TestWithParam<OrderCase>
{
};

TEST_P(WaitOrder, FollowsTheUrgencyOfTheProgram)
{
    WaitQueue queue;
    for (const WaitingCall &call : GetParam().calls) {
        queue.push(call);
    }
    EXPECT_EQ(queue.totalWork(), 1s * GetParam().calls.size());
    EXPECT_EQ(popAll(queue, later(GetParam().after)), GetParam().order);
    EXPECT_EQ(queue.totalWork(), 0s);
}

WaitingCall withoutTarget(std::uint64_t serial)
{
    WaitingCall call = waitingCall(serial, 0s);
    call.urgency = Urgency{};
    call.urgency.hasTarget = false;
    return call;
}

INSTANTIATE_TEST_SUITE_P(
    Calls,
    WaitOrder,
    ::testing::Values(
        OrderCase{"EarlierLatestStartFirst", {waitingCall(1, 9s), waitingCall(2, 3s), waitingCall(3, 6s)}, 0s, {2, 3, 1}},
        OrderCase{"LateAfterTimely", {waitingCall(1, -5s), waitingCall(2, 9s), waitingCall(3, 3s)}, 0s, {3, 2, 1}},
        OrderCase{"BecomesLateWhileWaiting", {waitingCall(1, 2s), waitingCall(2, 9s)}, 4s, {2, 1}},
        OrderCase{"LateOnesByAge", {waitingCall(1, -9s, "a", 1s), waitingCall(2, -1s, "a", 5s)}, 0s, {2, 1}},
        OrderCase{"WithoutTargetLast", {withoutTarget(1), waitingCall(2, 9s)}, 0s, {2, 1}},
        OrderCase{
            "CustomersAlternate",
            {waitingCall(1, 5s, "a"), waitingCall(2, 5s, "a"), waitingCall(3, 5s, "a"), waitingCall(4, 5s, "b"), waitingCall(5, 5s, "b")},
            0s,
            {1, 4, 2, 5, 3}}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

TEST(WaitRemove, RemovesOnlyWaitingCalls)
{
    WaitQueue queue;
    queue.push(waitingCall(1, 5s));
    queue.push(waitingCall(2, -5s));
    EXPECT_TRUE(queue.remove(waitingCall(2, 0s).key));
    EXPECT_FALSE(queue.remove(waitingCall(2, 0s).key));
    EXPECT_EQ(queue.totalWork(), 1s);
    EXPECT_EQ(popAll(queue, Start), std::vector<std::uint64_t>{1});
}

RC_GTEST_PROP(WaitQueueProperty, OrderDoesNotDependOnInsertion, (const std::vector<std::uint16_t> &slacks))
{
    std::vector<WaitingCall> calls;
    for (std::size_t n = 0; n < slacks.size(); n++) {
        constexpr int Spread = 40;
        calls.push_back(waitingCall(n, std::chrono::milliseconds(50 * (slacks[n] % Spread) - 500), slacks[n] % 3 == 0 ? "a" : "b"));
    }
    const auto shuffled = *rc::gen::map(rc::gen::container<std::vector<std::uint16_t>>(calls.size(), rc::gen::arbitrary<std::uint16_t>()),
                                        [&calls](const std::vector<std::uint16_t> &ranks) {
                                            std::vector<WaitingCall> mixed = calls;
                                            std::sort(mixed.begin(), mixed.end(), [&ranks](const auto &left, const auto &right) {
                                                return ranks[left.key.program.serial] < ranks[right.key.program.serial];
                                            });
                                            return mixed;
                                        });
    WaitQueue first;
    WaitQueue second;
    for (const WaitingCall &call : calls) {
        first.push(call);
    }
    for (const WaitingCall &call : shuffled) {
        second.push(call);
    }
    const auto order = popAll(first, Start);
    RC_ASSERT(order.size() == calls.size());
    RC_ASSERT(popAll(second, Start) == order);
}

RC_GTEST_PROP(WaitQueueProperty, NoCallStarves, (std::uint8_t older, bool late, bool target))
{
    WaitQueue queue;
    WaitingCall victim = waitingCall(1'000'000, late ? -9s : 3600s, "b", 1s);
    victim.urgency.hasTarget = target;
    std::uint64_t serial = 0;
    for (std::uint8_t n = 0; n < older; n++) {
        queue.push(waitingCall(serial++, 5s, "a", 2s));
    }
    queue.push(victim);
    for (std::size_t pops = 0; pops < AgeBound * (older + 1U); pops++) {
        const Now now = later(std::chrono::milliseconds(pops));
        queue.push(waitingCall(serial++, std::chrono::milliseconds(pops) + 1s, "a", -std::chrono::milliseconds(pops)));
        if (queue.pop(now)->key == victim.key) {
            return;
        }
    }
    RC_FAIL("the call did not start in time");
}

} // namespace Vanillahall
