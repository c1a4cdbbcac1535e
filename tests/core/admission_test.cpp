/** Decisions about overload, one table for each. */
#include "vanillahall/core/admission/program_admission_base.h"
#include "vanillahall/core/admission/request_order_base.h"
#include "vanillahall/core/admission/retry_delay_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

ProgramRequest newTurn(std::uint64_t program, Duration timeLeft = 6s)
{
    return {program, {1, 0}, "svc", "chat", true, true, timeLeft, timeLeft};
}

SaturationView fullView(double stretch = 1)
{
    SaturationView view;
    view.isSaturated = true;
    view.isBusy = true;
    view.stretch = stretch;
    return view;
}

/** @return Number of new programs that are admitted at once. */
std::uint64_t fillRoom(ProgramAdmission &admission, TimePoint now)
{
    std::uint64_t program = 1000;
    while (std::holds_alternative<ProgramAdmitted>(admission.decide(newTurn(program++), fullView(), now))) { }
    return program - 1001;
}

/** What a service has shown for a second. */
struct SaturationCase
{
    const char *name;
    int attempts;     ///< Attempts sent.
    int refusals;     ///< Among them, refused ones.
    Duration delay;   ///< Delay to the first event of the others; the objective is 200 ms.
    double slots;     ///< Share of the slots.
    bool isSaturated; ///< Expected state.
};

class Saturation : public ::testing::TestWithParam<SaturationCase>
{
};

} // namespace

TEST_P(Saturation, FollowsFromRefusalsAndDelaysAndEnds)
{
    const auto &param = GetParam();
    SaturationMonitor monitor;
    for (int n = 0; n < param.attempts; n++) {
        monitor.recordStart("svc", true, Start);
        if (n < param.refusals) {
            monitor.recordRefusal("svc", Start);
            monitor.recordEnd("svc");
        } else {
            monitor.recordFirstEvent("svc", param.delay, 200ms, Start);
        }
    }
    EXPECT_EQ(monitor.update("svc", param.slots, Start), param.isSaturated);
    EXPECT_EQ(monitor.view("svc").isSaturated, param.isSaturated);
    monitor.update("svc", param.slots, Start + 100ms);
    EXPECT_EQ(monitor.view("svc").isSaturated, param.isSaturated);
    monitor.update("svc", param.slots, Start + 6s);
    EXPECT_FALSE(monitor.view("svc").isSaturated);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Saturation,
                         ::testing::Values(SaturationCase{"idle", 20, 0, 100ms, 20, false},
                                           SaturationCase{"twiceTheObjective", 20, 0, 400ms, 20, false},
                                           SaturationCase{"longDelays", 20, 0, 700ms, 20, true},
                                           SaturationCase{"longDelaysOfFewRequests", 20, 0, 700ms, 60, false},
                                           SaturationCase{"tooFewDelays", 3, 0, 700ms, 3, false},
                                           SaturationCase{"someRefusals", 20, 8, 100ms, 20, false},
                                           SaturationCase{"mostlyRefusals", 20, 16, 100ms, 20, true},
                                           SaturationCase{"oneRefusal", 1, 1, 100ms, 20, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A burst flickered between both states with each answer.
TEST(SaturationMonitor, StaysBetweenTheLimits)
{
    SaturationMonitor monitor;
    const auto record = [&monitor](Duration delay, TimePoint now) {
        for (int n = 0; n < 32; n++) {
            monitor.recordStart("svc", true, now);
            monitor.recordFirstEvent("svc", delay, 200ms, now);
        }
        monitor.update("svc", 1, now);
        return monitor.view("svc").isSaturated;
    };
    EXPECT_FALSE(record(500ms, Start));
    EXPECT_TRUE(record(700ms, Start + 1s));
    EXPECT_TRUE(record(400ms, Start + 2s));
    EXPECT_FALSE(record(150ms, Start + 3s));
}

/** A request that arrives while there is no room. */
struct AdmissionCase
{
    const char *name;
    ProgramRequest request;
    double stretch;
    bool isAdmitted;
    AdmissionRefusal refusal = AdmissionRefusal::Full;
};

class Admission : public ::testing::TestWithParam<AdmissionCase>
{
};

TEST_P(Admission, DependsOnTheProgram)
{
    const auto &param = GetParam();
    ProgramAdmission admission;
    fillRoom(admission, Start);
    const auto decision = admission.decide(param.request, fullView(param.stretch), Start);
    EXPECT_EQ(std::holds_alternative<ProgramAdmitted>(decision), param.isAdmitted);
    if (const auto *refused = std::get_if<ProgramRefused>(&decision)) {
        EXPECT_EQ(refused->reason, param.refusal);
        EXPECT_LE(refused->retryAfter, std::max(MinRetryDelay, param.request.timeLeft / 3));
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         Admission,
                         ::testing::Values(AdmissionCase{"newProgram", newTurn(1), 1, false},
                                           AdmissionCase{"mayBeInProgress", {1, {1, 0}, "svc", "chat", true, false, 6s, 6s}, 1, true},
                                           AdmissionCase{"plainCall", {1, {1, 0}, "svc", "chat", false, true, 6s, 6s}, 1, true},
                                           AdmissionCase{"noProgram", {0, {1, 0}, "svc", "chat", true, true, 6s, {}}, 1, true},
                                           AdmissionCase{"otherService", {1, {1, 0}, "other", "chat", true, true, 6s, 6s}, 1, true},
                                           AdmissionCase{"chanceGone", newTurn(1), 4, false, AdmissionRefusal::ChanceGone}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ProgramAdmission, ARefusedProgramIsAdmittedOnItsReturnBeforeOthers)
{
    ProgramAdmission admission;
    fillRoom(admission, Start);
    const auto refused = std::get<ProgramRefused>(admission.decide(newTurn(1), fullView(), Start));
    const auto now = Start + refused.retryAfter;
    EXPECT_TRUE(std::holds_alternative<ProgramRefused>(admission.decide(newTurn(2), fullView(), now)));
    const auto decision = admission.decide(newTurn(1, 6s - refused.retryAfter), fullView(), now);
    ASSERT_TRUE(std::holds_alternative<ProgramAdmitted>(decision));
    EXPECT_EQ(std::get<ProgramAdmitted>(decision).basis, AdmissionBasis::Returned);
    // From now on it is in progress.
    EXPECT_TRUE(std::holds_alternative<ProgramAdmitted>(admission.decide(newTurn(1), fullView(), now + 1s)));
}

// A program in an endless loop took the slots of others.
TEST(ProgramAdmission, ALoopLosesItsPrecedence)
{
    ProgramAdmission admission;
    for (std::uint64_t n = 0; n < 50; n++) {
        admission.decide(newTurn(100 + n), {}, Start);
        admission.decide(newTurn(1), {}, Start);
        // A turn that no server ran is repeated, which is no loop.
        admission.decide(newTurn(2), {}, Start);
        admission.withdrawTurn(2);
    }
    EXPECT_TRUE(admission.isLooping(1, "chat"));
    EXPECT_FALSE(admission.isLooping(2, "chat"));
    EXPECT_FALSE(admission.isLooping(100, "chat"));
    EXPECT_TRUE(std::holds_alternative<ProgramAdmitted>(admission.decide(newTurn(1), {}, Start)));
    fillRoom(admission, Start);
    const auto decision = admission.decide(newTurn(1), fullView(), Start);
    ASSERT_TRUE(std::holds_alternative<ProgramRefused>(decision));
    EXPECT_EQ(std::get<ProgramRefused>(decision).reason, AdmissionRefusal::Looping);
}

TEST(ProgramAdmission, IsBounded)
{
    ProgramAdmission admission;
    for (std::uint64_t n = 1; n <= MaxAdmissionPrograms + 100; n++) {
        admission.decide(newTurn(n), {}, Start);
    }
    EXPECT_EQ(admission.size(), MaxAdmissionPrograms);
}

TEST(RetryDelay, IsSpreadWithinAThirdOfTheTime)
{
    std::map<int, int> intervals;
    for (std::uint64_t n = 1; n <= 300; n++) {
        const auto delay = retryDelay(300ms, 6s, n);
        EXPECT_LE(delay, 2s);
        intervals[static_cast<int>(delay / 100ms)]++;
        EXPECT_LE(retryDelay(10s, 6s, n), 2s);
        EXPECT_EQ(retryDelay(10s, 100ms, n), MinRetryDelay);
    }
    EXPECT_GE(intervals.size(), 4U);
}

/** Two waiting requests of which the first one is expected to come first. */
struct OrderCase
{
    const char *name;
    WaitingRequest first;
    WaitingRequest second;
};

class Order : public ::testing::TestWithParam<OrderCase>
{
};

TEST_P(Order, PutsFirst)
{
    RequestOrder order;
    for (int n = 0; n < 4; n++) {
        order.recordServed(9, Start);
    }
    order.add(GetParam().second);
    order.add(GetParam().first);
    EXPECT_EQ(order.first(2, Start), (std::vector<std::uint64_t>{GetParam().first.id, GetParam().second.id}));
    order.remove(GetParam().first.id);
    EXPECT_EQ(order.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    Order,
    ::testing::Values(OrderCase{"rankOfCustomerBeforeRoute", {2, 1, 0, 5, false, Start + 9s}, {1, 2, 1, 0, false, Start + 1s}},
                      OrderCase{"rankOfRouteBeforeSlack", {2, 1, 0, 0, false, Start + 9s}, {1, 2, 0, 1, false, Start + 1s}},
                      OrderCase{"slack", {2, 1, 0, 0, false, Start + 1s}, {1, 2, 0, 0, false, Start + 9s}},
                      OrderCase{"lateLast", {2, 1, 0, 0, false, Start + 1s}, {1, 2, 0, 0, false, Start - 1s}},
                      OrderCase{"overItsShare", {2, 1, 0, 0, false, Start + 9s}, {1, 9, 0, 0, false, Start + 1s}},
                      OrderCase{"loopLast", {2, 1, 3, 0, false, Start + 9s}, {1, 2, 0, 0, true, Start + 1s}}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(RequestOrder, ServesTheOldestOneInFourTimes)
{
    RequestOrder order;
    order.add({1, 1, 3, 0, false, Start});
    for (std::uint64_t n = 2; n < 20; n++) {
        order.add({n, 2, 0, 0, false, Start});
    }
    int served = 0;
    while (order.first(1, Start).front() != 1) {
        order.remove(order.first(1, Start).front());
        order.recordServed(2, Start);
        served++;
    }
    EXPECT_LT(served, 4);
}

/** Priority of a turn where the configuration names customers. */
struct CustomerPriorityCase
{
    const char *name;
    std::uint32_t rank;
    std::optional<Duration> timeLeft;
    bool isLooping;
    std::uint32_t priority;
};

class CustomerPriority : public ::testing::TestWithParam<CustomerPriorityCase>
{
};

TEST_P(CustomerPriority, PutsTheRankFirst)
{
    EXPECT_EQ(enginePriority(GetParam().rank, GetParam().timeLeft, GetParam().isLooping), GetParam().priority);
}

INSTANTIATE_TEST_SUITE_P(All,
                         CustomerPriority,
                         ::testing::Values(CustomerPriorityCase{"urgent", 0, 1s, false, 3},
                                           CustomerPriorityCase{"normal", 0, 9s, false, 4},
                                           CustomerPriorityCase{"noProgram", 1, {}, false, 5},
                                           CustomerPriorityCase{"urgentOfTheLastRank", 7, 1s, false, 5},
                                           CustomerPriorityCase{"late", 0, -1s, false, 8},
                                           CustomerPriorityCase{"loop", 0, 1s, true, 9}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
