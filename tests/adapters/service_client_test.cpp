#include "vanillahall/adapters/service_client_base.h"

#include "adapter_bench.h"
#include "service_standin_base.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

constexpr ServerCallId Call{5};
constexpr const char *Key = "0000000000000001-0000000000000002-3"; ///< Idempotency key of the call in callOf().

StartServerCall callOf(Duration limit)
{
    StartServerCall action;
    action.call = Call;
    action.key = CallKey{ProgramId{ShardId{1}, 2}, Turn{3}};
    action.body = ServiceCall{ServiceName{"courier"}, "orders/book", R"({"parish":7})", false};
    action.timeLimit = limit;
    return action;
}

/** A service stand-in and its client. */
struct ServiceBench : AdapterBench<ServiceStandin>
{
    ServiceBench()
        : AdapterBench(ServiceStandinSettings{})
    {
    }

    /** Creates a client that reports its events to this fixture. */
    std::unique_ptr<ServiceClient> makeClient()
    {
        return std::make_unique<ServiceClient>(http, ServiceClientSettings{peer}, [this](GateEvent &&event) {
            events.push_back(std::move(event));
        });
    }

    /** @return Whether a call has ended. */
    [[nodiscard]] bool hasEnd() const
    {
        return !events.empty() && !std::holds_alternative<ServerCallStarted>(events.back());
    }

    std::vector<GateEvent> events; ///< All reported events.
};

} // namespace

struct ServiceFaultCase
{
    const char *name;                     ///< Name of the case.
    const char *fault;                    ///< Fault of the stand-in.
    Duration limit;                       ///< Time limit of the call.
    std::optional<ServerFailure> failure; ///< The failure; nothing if the call works.
    std::uint64_t runs{};                 ///< How often the call ran.
};

class ServiceFaults : public ::testing::TestWithParam<ServiceFaultCase>
{
};

TEST_P(ServiceFaults, AreReportedByKind)
{
    const ServiceFaultCase &it = GetParam();
    ServiceBench bench;
    bench.setFault(it.fault);
    const auto client = bench.makeClient();
    client->start(callOf(it.limit));
    EXPECT_TRUE(bench.events.empty()) << "called before start() returned";
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.hasEnd();
    }));
    runUntilFaultIsOver(bench.loop, bench.lastFault);
    ASSERT_TRUE(bench.hasEnd());
    const bool began = std::holds_alternative<ServerCallStarted>(bench.events.front());
    EXPECT_EQ(bench.events.size(), began ? 2U : 1U);
    if (it.failure) {
        const auto &failed = std::get<ServerCallFailed>(bench.events.back());
        EXPECT_EQ(failed.call, Call);
        EXPECT_EQ(failed.failure, *it.failure) << failed.message;
    } else {
        EXPECT_TRUE(std::holds_alternative<ServerCallFinished>(bench.events.back()));
    }
    EXPECT_EQ(bench.standin.runsOf(Key), it.runs);
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         ServiceFaults,
                         ::testing::Values(ServiceFaultCase{"Slow", SlowFault, ShortLimit, ServerFailure::Silent, 1},
                                           ServiceFaultCase{"Hang", R"({"kind":"hang"})", ShortLimit, ServerFailure::Silent, 0},
                                           ServiceFaultCase{"DropAnswer", R"({"kind":"drop_answer"})", LongLimit, ServerFailure::Broken, 1},
                                           ServiceFaultCase{"Reset", R"({"kind":"reset"})", LongLimit, ServerFailure::Broken, 0},
                                           ServiceFaultCase{"Silent", R"({"kind":"silent"})", ShortLimit, ServerFailure::Silent, 1},
                                           ServiceFaultCase{"Refuse", R"({"kind":"refuse"})", LongLimit, ServerFailure::Refused, 0},
                                           ServiceFaultCase{"Down", R"({"kind":"down","ms":60000})", LongLimit, ServerFailure::Refused, 0},
                                           ServiceFaultCase{"Crash", R"({"kind":"crash"})", LongLimit, ServerFailure::Broken, 0},
                                           ServiceFaultCase{"Absent", "absent", LongLimit, ServerFailure::NotSent, 0},
                                           ServiceFaultCase{"Stale", R"({"kind":"stale"})", LongLimit, {}, 1},
                                           ServiceFaultCase{"None", "", LongLimit, {}, 1}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(ServiceClient, ReportsTheResponse)
{
    ServiceBench bench;
    const auto client = bench.makeClient();
    client->start(callOf(LongLimit));
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.hasEnd();
    }));
    ASSERT_EQ(std::get<ServerCallStarted>(bench.events.front()).call, Call);
    const auto &result = std::get<ServerCallFinished>(bench.events.back()).result;
    EXPECT_EQ(result.status, 200U);
    EXPECT_EQ(result.body, R"({"number":1,"ok":true,"operation":"orders/book","service":"service"})");
}

TEST(ServiceClient, ReportsNoEventOfACancelledCall)
{
    ServiceBench bench;
    bench.setFault(SlowFault);
    const auto client = bench.makeClient();
    client->start(callOf(LongLimit));
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.standin.runsOf(Key) == 1;
    }));
    client->cancel(CancelServerCall{Call});
    runFor(bench.loop, AfterSlowAnswer);
    EXPECT_TRUE(bench.events.empty());
}

TEST(ServiceClient, ReportsTheLoad)
{
    ServiceBench bench;
    const auto client = bench.makeClient();
    client->pollLoad();
    client->pollLoad();
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return !bench.events.empty();
    }));
    runFor(bench.loop, std::chrono::milliseconds(50));
    ASSERT_EQ(bench.events.size(), 1U) << "the second poll was made while the first was pending";
    const auto &load = std::get<ServerLoad>(bench.events.front());
    EXPECT_TRUE(load.up);
    EXPECT_EQ(load.slots, ServiceStandinSettings{}.slots);
    bench.setFault(R"({"kind":"reset"})");
    client->pollLoad();
    ASSERT_TRUE(runUntil(bench.loop, [&bench] {
        return bench.events.size() == 2;
    }));
    EXPECT_FALSE(std::get<ServerLoad>(bench.events.back()).up);
}

} // namespace Vanillahall
