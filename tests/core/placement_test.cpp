#include "vanillahall/core/server_registry_base.h"

#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

WorkFeatures features(std::uint64_t route, std::uint64_t customer = 0, std::uint32_t hint = 0)
{
    WorkFeatures result;
    result.kind = {route, customer};
    result.isModelTurn = hint != 0;
    result.hintedTokens = hint;
    result.tokensPerMs = StartingTokensPerMs;
    result.perEvent = Milliseconds(10);
    return result;
}

/** Observed work, and the estimate that follows for a request of route 1 and customer 7. */
struct EstimateCase
{
    const char *name;                                             ///< For the test's name.
    std::vector<std::pair<std::uint64_t, Milliseconds>> observed; ///< Customer and work.
    int repetitions;                                              ///< How often they are observed.
    Milliseconds least;                                           ///< Bounds of the estimate.
    Milliseconds most;
};

class WorkEstimatorCalls : public ::testing::TestWithParam<EstimateCase>
{
};

} // namespace

// Guards against estimates that don't follow the route or the customer, or that jump with one observation.
TEST_P(WorkEstimatorCalls, FollowWhatIsObserved)
{
    WorkEstimator estimator;
    auto now = Start;
    for (int n = 0; n < GetParam().repetitions; n++) {
        for (const auto &[customer, work] : GetParam().observed) {
            const auto kind = features(1, customer);
            estimator.record(kind, estimator.estimate(kind), work, 0, 1, now += 100ms);
        }
    }
    const auto hold = estimator.estimate(features(1, 7)).hold;
    EXPECT_GE(hold, GetParam().least);
    EXPECT_LE(hold, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(All,
                         WorkEstimatorCalls,
                         ::testing::Values(EstimateCase{"nothing", {}, 0, StartingHold, StartingHold},
                                           EstimateCase{"oneOfTheRoute", {{0, 40ms}}, 1, 200ms, StartingHold},
                                           EstimateCase{"manyOfTheRoute", {{0, 40ms}}, 100, 40ms, 60ms},
                                           EstimateCase{"anotherCustomer", {{8, 40ms}}, 100, 40ms, 60ms},
                                           EstimateCase{"cheapAmongExpensive", {{8, 400ms}, {7, 40ms}}, 100, 40ms, 60ms},
                                           EstimateCase{"expensiveAmongCheap", {{8, 40ms}, {7, 400ms}}, 100, 350ms, 400ms}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Guards against hints that are believed although answers are twice as long, and against estimates beyond the turn's limit.
TEST(WorkEstimatorTurns, HintsAreCorrectedAndLimited)
{
    WorkEstimator estimator;
    auto turn = features(1, 0, 50);
    for (int n = 0; n < 100; n++) {
        estimator.record(turn, estimator.estimate(turn), 1s, 100, 1, Start + n * 100ms);
    }
    turn.hintedTokens = 200;
    EXPECT_NEAR(estimator.estimate(turn).run.count(), 4000, 400);
    turn.maxTokens = 100;
    EXPECT_NEAR(estimator.estimate(turn).run.count(), 1000, 100);
    turn.uncachedTokens = 6000;
    EXPECT_NEAR((estimator.estimate(turn).hold - estimator.estimate(turn).run).count(), 100, 20);
}

TEST(WorkEstimatorError, IsMeasured)
{
    WorkEstimator estimator;
    for (int n = 0; n < 100; n++) {
        estimator.record(features(1), {Milliseconds(150), {}, {}}, 100ms, 0, 1, Start);
    }
    EXPECT_NEAR(estimator.error().relative, 0.5, 0.01);
    EXPECT_NEAR(estimator.error().bias, 1.5, 0.01);
}

TEST(PlacementMemory, IsBounded)
{
    WorkEstimator estimator;
    ObjectDirectory objects;
    for (std::uint64_t n = 1; n <= MaxObjects + 10; n++) {
        estimator.record(features(n % 100, n), {}, 1ms, 0, 1, Start);
        objects.record(n, n);
    }
    EXPECT_EQ(estimator.size(), MaxWorkKinds);
    EXPECT_EQ(objects.size(), MaxObjects);
    EXPECT_EQ(objects.holders(1).front(), 0U);
    EXPECT_EQ(objects.holders(MaxObjects).front(), MaxObjects);
}

// Guards against a report that counts for ever, and against the time of a queue that is forgotten.
TEST(ServerBacklogReports, ReturnToTheMeanWithAge)
{
    ServiceUsual usual;
    ServerBacklog full;
    ServerBacklog empty;
    for (int n = 0; n < 100; n++) {
        usual.recordHold(100ms, 1, Start);
        usual.recordOthers(4, Start);
    }
    full.recordLoad({8, 8, 8, 2}, Start);
    empty.recordLoad({0, 0, 8, 1}, Start);
    const auto loadOf = [&](const ServerBacklog &backlog, Duration age) {
        return backlog.view(usual, 8, 100ms, Start + age).load;
    };
    EXPECT_NEAR(loadOf(full, 0ms), 16, 0.5);
    EXPECT_NEAR(loadOf(empty, 0ms), 0, 0.5);
    EXPECT_NEAR(loadOf(empty, 10s), loadOf(empty, 11s), 0.1);
    EXPECT_GT(loadOf(empty, 10s), 2);
    EXPECT_GT(full.slowdown(10ms, Start), 1.9);
    EXPECT_LT(full.slowdown(10ms, Start + 1s), 1.05);
    EXPECT_LT(full.slowdown(10s, Start), 1.1);
    EXPECT_GT(full.view(usual, 8, 100ms, Start).wait, 150ms);
    for (int n = 0; n < 4; n++) {
        empty.recordPace(300ms, 100ms, Start);
    }
    EXPECT_GT(empty.pace(Start), 2);
    EXPECT_LT(empty.pace(Start + 1min), 1.3);
    empty.restart();
    EXPECT_EQ(empty.pace(Start), 1);
}

// Guards against differences of pace that come from the costs of single requests.
TEST(ServiceUsualPace, IsTrustedAsFarAsItForetells)
{
    ServiceUsual equal;
    ServiceUsual unequal;
    for (int n = 0; n < 2000; n++) {
        const double learned = n % 2 == 0 ? 0.7 : 1.3;
        const double cost = n % 4 < 2 ? 0.5 : 1.5;
        equal.recordForecast(learned, cost, Start);
        unequal.recordForecast(learned, cost * learned, Start);
    }
    EXPECT_LT(equal.paceTrust(), 0.1);
    EXPECT_GT(unequal.paceTrust(), 0.9);
}

// Guards against objects that are spread although a known server works faster, and against a wait that outweighs what is saved.
TEST(StickyObjects, PreferTheirServerUnlessItIsFull)
{
    ServerRegistry registry("z", {});
    std::vector<Server> list(3);
    for (std::size_t n = 0; n < list.size(); n++) {
        list[n].id = std::string(1, static_cast<char>('a' + n));
        list[n].service = "svc";
        list[n].slots = 2;
    }
    registry.update(list, false, Start);
    RequestAttributes attributes;
    attributes.object = "o";
    const std::set<std::string> none;
    ChoiceRequest request{"svc", &attributes, 1000, &none, {}};
    request.isSticky = true;
    const auto first = registry.choose(request, Start);
    registry.recordStart(*first, attributes, Start);
    EXPECT_EQ(registry.choose(request, Start)->server.id, first->server.id);
    for (int n = 0; n < 4; n++) {
        registry.recordStart(*first, attributes, Start);
    }
    EXPECT_NE(registry.choose(request, Start)->server.id, first->server.id);
}

RC_GTEST_PROP(PlacementProperty, TheChoiceIsTheFixedOneWhereNothingIsLearned, ())
{
    ChoiceSettings fixedSettings;
    fixedSettings.placement = Placement::Fixed;
    ServerRegistry learned("z1", {});
    ServerRegistry fixed("z1", fixedSettings);
    std::vector<Server> list(*rc::gen::inRange<std::size_t>(1, 12));
    for (std::size_t n = 0; n < list.size(); n++) {
        list[n].id = std::to_string(n);
        list[n].zone = n % 3 == 0 ? "z1" : "z2";
        list[n].slots = 1 + n % 4;
    }
    const std::set<std::string> none;
    for (auto *it : {&learned, &fixed}) {
        it->update(list, false, Start);
    }
    for (int n = 0; n < 40; n++) {
        const auto now = Start + n * 50ms;
        RequestAttributes attributes;
        attributes.program = std::to_string(*rc::gen::inRange(0, 5));
        attributes.promptParts = {{1, 400}, {*rc::gen::inRange<std::uint64_t>(2, 9), 900}};
        attributes.promptTokens = *rc::gen::element(0U, 1300U);
        const auto expected = fixed.choose({"", &attributes, 1000, &none, {}}, now);
        RC_ASSERT(learned.choose({"", &attributes, 1000, &none, {}}, now)->server.id == expected->server.id);
        const ServerLoad load{*rc::gen::inRange(0U, 9U), *rc::gen::inRange(0U, 9U), 0};
        const auto reporter = std::to_string(*rc::gen::inRange<std::size_t>(0, list.size()));
        for (auto *it : {&learned, &fixed}) {
            it->recordStart(*expected, attributes, now);
            it->recordLoad(reporter, load, now);
        }
    }
}

RC_GTEST_PROP(PlacementProperty, OnlyUsableServersAndFiniteTimes, ())
{
    ServerRegistry registry("z1", {});
    std::vector<Server> list(*rc::gen::inRange<std::size_t>(1, 100));
    for (std::size_t n = 0; n < list.size(); n++) {
        list[n].id = std::to_string(n);
        list[n].service = "svc";
        list[n].zone = n % 3 == 0 ? "z1" : "z2";
        list[n].slots = *rc::gen::inRange(0U, 9U);
        list[n].isDraining = *rc::gen::inRange(0, 4) == 0;
    }
    auto now = Start;
    registry.update(list, false, now);
    for (int n = 0; n < 60; n++) {
        const auto spanMs = *rc::gen::element(0, 1, 50, 5000, 10000000);
        RequestAttributes attributes;
        attributes.requestId = attributes.object = std::to_string(n);
        attributes.promptTokens = *rc::gen::element(0U, 300U, UINT32_MAX);
        attributes.lengthHint = *rc::gen::element(0U, 9U, UINT32_MAX);
        const std::set<std::string> avoided{std::to_string(n % 5)};
        ChoiceRequest request{"svc", &attributes, 1000, &avoided, {}};
        request.isSticky = true;
        request.tokensPerEvent = *rc::gen::inRange(0U, 3U);
        const auto choice = registry.choose(request, now);
        const auto isUsable = [&](const Server &it) {
            return !it.isDraining && !avoided.contains(it.id);
        };
        RC_ASSERT(choice.has_value() == std::any_of(list.begin(), list.end(), isUsable));
        if (!choice) {
            continue;
        }
        RC_ASSERT(isUsable(choice->server));
        RC_ASSERT(std::isfinite(choice->expectedMs) && std::isfinite(choice->plan.finish.count()));
        RC_ASSERT(choice->plan.estimate.hold.count() >= 0 && choice->plan.wait.count() >= 0);
        registry.recordStart(*choice, attributes, now);
        const auto sentAt = now;
        now += std::chrono::milliseconds(spanMs);
        const auto figure = [] {
            return *rc::gen::element(0U, 5U, UINT32_MAX);
        };
        registry.recordLoad(choice->server.id, {figure(), figure(), figure(), *rc::gen::element(0.1, 1.0, 100.0)}, now);
        registry.recordEventInterval(choice->server.id, std::chrono::milliseconds(spanMs), now);
        const auto events = figure();
        registry.recordEnd(*choice, {sentAt, events == 0 ? std::optional<TimePoint>() : sentAt, events, *rc::gen::arbitrary<bool>()}, now);
    }
}

} // namespace Vanillahall::Forward
