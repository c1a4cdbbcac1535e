/** Contents that crash the servers that run them. */
#include "proxy_world.h"

#include "vanillahall/core/crash_tracker_base.h"

#include <sstream>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr const char *StreamWithoutFraming
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n";

std::string poison(int n, const std::string &path = "/call/1")
{
    return ProxyWorld::request("POST", path, "r" + std::to_string(n), {}, "poison");
}

std::string errorAnswer()
{
    return "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n";
}

std::size_t requestCount(const ProxyWorld &world)
{
    return world.first.requests.size() + world.second.requests.size();
}

} // namespace

TEST(ProxyCrash, ContentThatBreaksItsServersIsRefusedBeforeItReachesMore)
{
    ProxyWorld world([](const std::string &request) {
        return request.find("poison") != std::string::npos ? Script{"", true} : Script{goodAnswer("ok")};
    });
    ASSERT_TRUE(world.start());
    std::string answer;
    for (int n = 0; n < 5; n++) {
        answer = world.ask(ProxyWorld::request("POST", "/call/1", "r" + std::to_string(n), {}, "poison"));
    }
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_LE(world.first.requests.size() + world.second.requests.size(), 4U);
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/1", "other", {}, "harmless"))), 200U);
}

/** Shared crash records of a content, and the response to a request with it. */
struct CrashRecordCase
{
    const char *name; ///< For the test's name.
    Duration age;     ///< Age of the records.
    unsigned status;  ///< Expected status.
    bool areRemoved;  ///< True if the proxy is expected to remove the records.
};

class ProxyCrashRecord : public ::testing::TestWithParam<CrashRecordCase>
{
};

TEST_P(ProxyCrashRecord, CountsUntilItExpires)
{
    const auto &param = GetParam();
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    std::ostringstream content;
    content << std::hex << contentHash("POST", "/call/1", "", "poison");
    world.rows.nowMs = 1000000;
    const auto at = world.rows.nowMs - static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(param.age).count());
    for (int n = 0; n < 3; n++) {
        // Process "gone" has ended, so it won't remove its records itself.
        world.rows.crashRecords[content.str() + "/gone/1/" + std::to_string(n)] = R"({"breaks":1,"at":)" + std::to_string(at) + "}";
    }
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/call/1", "r1", {}, "poison"))), param.status);
    EXPECT_TRUE(world.run([&world, &param] {
        return world.rows.crashRecords.empty() == param.areRemoved;
    }));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyCrashRecord,
                         ::testing::Values(CrashRecordCase{"fresh", 1s, 503, false},
                                           CrashRecordCase{"old", CrashRecordLifetime + 1s, 200, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** Fault of the store while a content crashes servers. */
struct SharingCase
{
    const char *name;                     ///< For the test's name.
    void (*startFault)(StoreModel &rows); ///< Starts the fault.
    void (*endFault)(StoreModel &rows);   ///< Ends it.
};

class ProxyCrashSharing : public ::testing::TestWithParam<SharingCase>
{
};

// Records of crashes that the store didn't take at once were lost, and the content reached more servers through the other proxies.
TEST_P(ProxyCrashSharing, OtherProxiesRefuseAContentThatCrashedServersDuringAFaultOfTheStore)
{
    ProxyWorld world([](const std::string &) {
        return Script{"", true};
    });
    ASSERT_TRUE(world.start());
    const auto other = world.addProxy("other");
    ASSERT_NE(other, nullptr);
    GetParam().startFault(world.rows);
    for (int n = 0; n < 3; n++) {
        world.ask(poison(n));
    }
    const auto sent = requestCount(world);
    GetParam().endFault(world.rows);
    EXPECT_TRUE(world.run([&world] {
        return world.hasLine("other 1901 content=");
    }));
    EXPECT_EQ(world.rows.crashRecords.size(), sent);
    EXPECT_EQ(statusOf(world.ask(*other, poison(9))), 503U);
    EXPECT_EQ(requestCount(world), sent);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyCrashSharing,
                         ::testing::Values(SharingCase{"none", [](StoreModel &) {}, [](StoreModel &) {}},
                                           SharingCase{"writesRefused",
                                                       [](StoreModel &rows) {
                                                           rows.refusesWrites = true;
                                                       },
                                                       [](StoreModel &rows) {
                                                           rows.refusesWrites = false;
                                                       }},
                                           SharingCase{"tooManyWrites",
                                                       [](StoreModel &rows) {
                                                           rows.refusesWrites = true;
                                                           rows.refusalStatus = 429;
                                                       },
                                                       [](StoreModel &rows) {
                                                           rows.refusesWrites = false;
                                                       }},
                                           SharingCase{"unavailable",
                                                       [](StoreModel &rows) {
                                                           rows.refusesAll = true;
                                                       },
                                                       [](StoreModel &rows) {
                                                           rows.refusesAll = false;
                                                       }}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** How long the store refuses to give a new proxy the crash records of the others. */
struct CrashReadCase
{
    const char *name;  ///< For the test's name.
    Duration refusal;  ///< How long reads are refused.
    unsigned expected; ///< Status of the content once the proxy is ready.
};

class ProxyCrashRead : public ::testing::TestWithParam<CrashReadCase>
{
};

// A proxy that was ready before it had read the crash records sent contents on that the others refused.
TEST_P(ProxyCrashRead, ComesBeforeAProxyIsReadyUnlessItTakesTooLong)
{
    ProxyWorld world([](const std::string &) {
        return Script{goodAnswer("ok")};
    });
    std::ostringstream content;
    content << std::hex << contentHash("POST", "/call/1", "", "poison");
    for (int n = 0; n < 3; n++) {
        world.rows.crashRecords[content.str() + "/gone/1/" + std::to_string(n)] = R"({"breaks":1,"at":1})";
    }
    const auto refusedUntil = std::chrono::steady_clock::now() + GetParam().refusal;
    Error reason;
    ASSERT_TRUE(world.proxy->start(reason));
    ASSERT_TRUE(world.run([&world, refusedUntil] {
        world.rows.refusesCrashReads = std::chrono::steady_clock::now() < refusedUntil;
        return world.proxy->isReady();
    }));
    EXPECT_EQ(statusOf(world.ask(poison(1))), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyCrashRead,
                         ::testing::Values(CrashReadCase{"aWhile", 500ms, 503}, CrashReadCase{"tooLong", 20s, 200}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Records that the store hadn't acknowledged were lost with a proxy that was stopped.
TEST(ProxyCrash, APlannedStopWritesTheRecordsThatTheStoreDoesNotHaveYet)
{
    ProxyWorld world([](const std::string &) {
        return Script{"", true};
    });
    ASSERT_TRUE(world.start());
    world.rows.refusesWrites = true;
    world.ask(poison(1, "/once/1"));
    bool isStopped = false;
    world.proxy->stop([&isStopped] {
        isStopped = true;
    });
    constexpr auto UsualStop = 4s; // A proxy without requests stops sooner.
    const auto storeBackAt = std::chrono::steady_clock::now() + UsualStop;
    EXPECT_TRUE(world.run([&world, &isStopped, storeBackAt] {
        world.rows.refusesWrites = std::chrono::steady_clock::now() < storeBackAt;
        return isStopped;
    }));
    EXPECT_EQ(world.rows.crashRecords.size(), 1U);
}

TEST(ProxyCrash, AnAttemptAfterTheLastAllowedCrashIsNotSent)
{
    ProxyWorld world([](const std::string &) {
        return Script{"", true};
    });
    ASSERT_TRUE(world.start());
    // The route allows two attempts a request: the second attempt of the second request would be the fourth crash.
    EXPECT_EQ(statusOf(world.ask(poison(1))), 502U);
    EXPECT_EQ(statusOf(world.ask(poison(2))), 502U);
    EXPECT_EQ(requestCount(world), CrashLimit);
}

/** Responses of the servers to a content that crashes them, one after the other; the last one is repeated. */
struct CrashCase
{
    const char *name;               ///< For the test's name.
    std::vector<Script> scripts;    ///< Responses.
    std::size_t expectedRequests{}; ///< Requests that reach the servers.
};

class ProxyCrashCount : public ::testing::TestWithParam<CrashCase>
{
};

TEST_P(ProxyCrashCount, RefusesTheContentAfterThreeCrashes)
{
    std::size_t requests = 0;
    ProxyWorld world([&requests](const std::string &) {
        const auto &scripts = GetParam().scripts;
        return scripts[std::min(requests++, scripts.size() - 1)];
    });
    ASSERT_TRUE(world.start());
    constexpr int Requests = 8;
    for (int n = 0; n < Requests; n++) {
        world.ask(poison(n, "/stream/1"));
    }
    EXPECT_EQ(requestCount(world), GetParam().expectedRequests);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyCrashCount,
    ::testing::Values(
        CrashCase{"closed", {Script{"", true}}, 3},
        CrashCase{"reset", {Script{"", false, true}}, 3},
        CrashCase{"insideHead", {Script{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n", true}}, 3},
        CrashCase{"insideChunkedStream", {Script{streamHead() + eventChunk(1), true}}, 3},
        CrashCase{"insideEvent", {Script{StreamWithoutFraming + std::string("id: 1\ndata: e\n\nid: 2\nda"), true}}, 3},
        CrashCase{"resetWithoutFraming", {Script{StreamWithoutFraming + std::string("id: 1\ndata: e\n\n"), false, true}}, 3},
        // An error of another server doesn't show that the content is harmless.
        CrashCase{"errorBetween", {Script{"", true}, Script{"", true}, Script{errorAnswer()}, Script{"", true}}, 4},
        // A stream without framing may end early without a sign.
        CrashCase{
            "unknownEndBetween",
            {Script{"", true}, Script{"", true}, Script{StreamWithoutFraming + std::string("id: 1\ndata: e\n\n"), true}, Script{"", true}},
            4},
        CrashCase{"successBetween",
                  {Script{"", true}, Script{"", true}, Script{streamHead() + eventChunk(1) + "0\r\n\r\n"}, Script{"", true}},
                  6}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
