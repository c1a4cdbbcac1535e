/** Programs with token budgets while the store is unavailable. */
#include "proxy_world.h"

#include "vanillahall/core/proxy_membership_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Half = 50;

/** Two proxies on one store, the first of which owns all partitions of the programs. Each turn delivers 20 tokens. */
struct OutageWorld
{
    explicit OutageWorld(std::uint32_t percent = Half)
        : world(
            [this](const std::string &request) {
                if (refusesStreams) {
                    return Script{"HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
                }
                if (breaksStreams && request.find("\r\nLast-Event-Id: ") == std::string::npos) {
                    return Script{streamHead() + eventChunk(1), true};
                }
                return Script{streamHead() + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"};
            },
            [percent](ProxySettings &settings) {
                settings.peerListen = ProxyAddress{"127.0.0.1", 0};
                settings.outageBudgetPercent = percent;
                settings.budgetClaimDelay = {};
            })
    {
    }

    bool start()
    {
        const bool isStarted = world.start() && world.run([this] {
            return world.hasLine("1132 owned=64");
        });
        beside = isStarted ? world.addProxy("beside") : nullptr;
        // The row holds the first turn, so the second proxy knows the owner once a second turn was served through it.
        return beside != nullptr && statusOf(ask(*beside, "warm", 20)) == 200U && world.run([this] {
            return statusOf(ask(*beside, "warm", 20)) == 200U;
        });
    }

    std::string
    ask(const Proxy &at, const std::string &program, int budget, const std::string &path = "/stream/1", const std::string &more = {})
    {
        const auto headers = "Program-Id: " + program + "\r\nToken-Usage: 50,20\r\nToken-Budget: " + std::to_string(budget) + "\r\n" + more;
        return world.ask(at, ProxyWorld::request("POST", path, "r" + std::to_string(++requests), headers));
    }

    /** Sets the software version of a server, and waits until both proxies know. */
    void setVersion(const std::string &server, const std::string &version)
    {
        auto &row = world.rows.servers[server];
        const std::string field = "\"version\":\"";
        const auto at = row.find(field) + field.size();
        row.replace(at, row.find('"', at) - at, version);
        EXPECT_TRUE(world.run([this, &version] {
            return world.lineCount("version=" + version) >= 2;
        }));
    }

    bool refusesStreams = false; ///< True if servers state that they don't run requests.
    bool breaksStreams = false;  ///< True if streams break off after their first event, unless they are resumed.
    ProxyWorld world;
    std::unique_ptr<Proxy> beside;
    int requests = 0;
};

} // namespace

// Programs that began in an outage of the store got 503 for all their turns.
TEST(ProxyOutage, ProgramsBeginGoOnAndEndAtSeveralProxies)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    it.world.rows.refusesAll = true;
    for (const char *program : {"p", "q", "r"}) {
        EXPECT_EQ(statusOf(it.ask(*it.beside, program, 100)), 200U);
        EXPECT_EQ(statusOf(it.ask(*it.world.proxy, program, 100)), 200U);
    }
    // From 1.5 s on, the store counts as unavailable and isn't called.
    const auto end = std::chrono::steady_clock::now() + 7s;
    for (int n = 0; std::chrono::steady_clock::now() < end; n++) {
        const auto program = "program" + std::to_string(n);
        for (const auto *at : {it.beside.get(), it.world.proxy.get()}) {
            EXPECT_EQ(statusOf(it.ask(*at, program, 100)), 200U) << program;
        }
        const auto next = std::chrono::steady_clock::now() + 300ms;
        it.world.run([next] {
            return std::chrono::steady_clock::now() >= next;
        });
    }
    // Half of the budget is used up; whether the rest is, isn't known.
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 100)), 503U);
    EXPECT_EQ(it.world.rows.tokens.count("p"), 0U);
    it.world.rows.refusesAll = false;
    // Two turns were served, and budget and one turn hold four more.
    std::vector<unsigned> statuses;
    statuses.reserve(5);
    for (int n = 0; n < 5; n++) {
        statuses.push_back(statusOf(it.ask(n % 2 == 0 ? *it.beside : *it.world.proxy, "p", 100)));
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 200, 200, 200, 402}));
}

// The row held the whole budget, so that both shares together exceeded it.
TEST(ProxyOutage, AProgramThatNeedsMoreThanHalfClosesTheSecondShare)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    std::vector<unsigned> statuses;
    statuses.reserve(7);
    for (int n = 0; n < 7; n++) {
        statuses.push_back(statusOf(it.ask(n % 2 == 0 ? *it.beside : *it.world.proxy, "p", 100)));
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 200, 200, 200, 200, 200, 402}));
    EXPECT_TRUE(it.world.hasLine("program=p owner=proxy outcome=closed tokens=0"));
    it.world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 100)), 503U);
}

// Without the owner, nobody knows what it has granted.
TEST(ProxyOutage, WithoutTheOwnerProgramsWaitAndAreNotRefusedForGood)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 200)), 200U);
    it.world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(it.ask(*it.beside, "q", 100)), 200U);
    it.world.proxy.reset();
    EXPECT_EQ(statusOf(it.ask(*it.beside, "r", 100)), 503U);
    it.world.rows.refusesAll = false;
    ASSERT_TRUE(it.world.run([&it] {
        return statusOf(it.ask(*it.beside, "q", 100)) == 200U;
    }));
    // The first share holds two turns, and the row one beyond; after them the owner would have to be asked.
    EXPECT_EQ(statusOf(it.ask(*it.beside, "q", 100)), 200U);
    EXPECT_EQ(statusOf(it.ask(*it.beside, "q", 100)), 200U);
    EXPECT_EQ(statusOf(it.ask(*it.beside, "q", 100)), 503U);
}

// After a power failure, new incarnations granted the second share again.
TEST(ProxyOutage, AllProxiesKilledInTheOutageGrantNothingAfterIt)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    it.world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 100)), 200U);
    EXPECT_EQ(statusOf(it.ask(*it.world.proxy, "p", 100)), 200U);
    it.beside.reset();
    it.world.proxy.reset();
    it.world.rows.refusesAll = false;
    const auto first = it.world.addProxy("proxy", "2");
    const auto second = it.world.addProxy("beside", "2");
    ASSERT_TRUE(first && second);
    std::vector<unsigned> statuses;
    statuses.reserve(4);
    for (int n = 0; n < 4; n++) {
        statuses.push_back(statusOf(it.ask(n % 2 == 0 ? *first : *second, "p", 100)));
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 200, 200, 503}));
    it.world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(it.ask(*first, "new", 100)), 503U);
}

/** How the owner of all partitions ends. */
struct OwnerEndCase
{
    const char *name;  ///< For the test's name.
    bool isStopped;    ///< True for a planned stop, false if it is killed.
    bool hasGranted;   ///< True if it has granted a turn of the program that its row doesn't name.
    bool grantsItself; ///< True if that turn ran at the owner.
};

class OwnerEnd : public ::testing::TestWithParam<OwnerEndCase>
{
};

// After the owner had been restarted, programs got 503 beyond the first share for 150 s, since its successor didn't know its grants.
TEST_P(OwnerEnd, ProgramsUseTheirWholeBudgetsSoonAndNoMore)
{
    const auto &param = GetParam();
    OutageWorld it;
    ASSERT_TRUE(it.start());
    // By now the owner knows the other proxy, and has recorded that in its row.
    it.world.pause(std::chrono::ceil<std::chrono::milliseconds>(MemberHeartbeatInterval + 1s));
    const unsigned granted = param.hasGranted ? 1 : 0;
    if (param.hasGranted) {
        it.world.rows.refusesAll = true;
        EXPECT_EQ(statusOf(it.ask(param.grantsItself ? *it.world.proxy : *it.beside, "p", 100)), 200U);
        it.world.rows.refusesAll = false;
    }
    if (param.isStopped) {
        bool isStopped = false;
        it.world.proxy->stop([&isStopped] {
            isStopped = true;
        });
        ASSERT_TRUE(it.world.run([&isStopped] {
            return isStopped;
        }));
    }
    it.world.proxy.reset();
    const auto restarted = it.world.addProxy("proxy", "2");
    ASSERT_TRUE(restarted);
    for (unsigned n = granted; n < 6; n++) {
        const auto &at = n % 2 == 0 ? *it.beside : *restarted;
        EXPECT_TRUE(it.world.run([&it, &at] {
            const auto status = statusOf(it.ask(at, "p", 100));
            EXPECT_TRUE(status == 200U || status == 503U) << status;
            return status == 200U;
        })) << "turn "
            << n;
    }
    unsigned status = 503;
    ASSERT_TRUE(it.world.run([&it, &status] {
        status = statusOf(it.ask(*it.beside, "p", 100));
        return status != 503U;
    }));
    EXPECT_EQ(status, 402U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         OwnerEnd,
                         ::testing::Values(OwnerEndCase{"stopped", true, false, false},
                                           OwnerEndCase{"stoppedAfterAGrant", true, true, false},
                                           OwnerEndCase{"killed", false, false, false},
                                           OwnerEndCase{"killedAfterAGrant", false, true, false},
                                           OwnerEndCase{"killedAfterAGrantToItself", false, true, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// The row of a program didn't name the version of a stream that the owner had granted, so that another version continued it.
TEST(ProxyOutage, AStreamOfTheOwnerIsResumedOnlyAtItsVersion)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    it.setVersion("s1", "v1");
    it.world.rows.servers.erase("s2");
    ASSERT_TRUE(it.world.run([&it] {
        return it.world.lineCount("server=s2 state=gone") == 2;
    }));
    it.world.rows.refusesAll = true;
    it.breaksStreams = true;
    EXPECT_NE(it.ask(*it.world.proxy, "p", 400).find("id: 1"), std::string::npos);
    EXPECT_NE(it.ask(*it.world.proxy, "q", 400).find("id: 1"), std::string::npos);
    const auto begun = it.requests - 1;
    it.breaksStreams = false;
    it.world.rows.refusesAll = false;
    // The software is replaced, and a turn of one program names the new version in its row.
    it.setVersion("s1", "v2");
    ASSERT_TRUE(it.world.run([&it] {
        return statusOf(it.ask(*it.beside, "p", 400)) == 200U;
    }));
    const auto sent = it.world.first.requests.size();
    for (const auto &[program, request] : {std::pair("p", begun), std::pair("q", begun + 1)}) {
        const auto answer
            = it.ask(*it.beside, program, 400, "/stream/1", "Last-Event-Id: 1\r\nResumes: r" + std::to_string(request) + "\r\n");
        EXPECT_EQ(statusOf(answer), 503U) << program;
    }
    EXPECT_EQ(it.world.first.requests.size(), sent);
    EXPECT_TRUE(it.world.hasLine("outcome=stream_origin_unknown"));
    EXPECT_TRUE(it.world.hasLine("outcome=no_server_of_version"));
}

// Tokens of a turn that no server ran counted as used.
TEST(ProxyOutage, TokensOfATurnThatDidNotRunAreGrantedAgain)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    it.world.rows.refusesAll = true;
    it.refusesStreams = true;
    for (const auto *at : {it.beside.get(), it.world.proxy.get()}) {
        EXPECT_EQ(statusOf(it.ask(*at, "p", 40)), 503U);
    }
    it.refusesStreams = false;
    // The second share holds one turn.
    ASSERT_TRUE(it.world.run([&it] {
        return statusOf(it.ask(*it.beside, "p", 40)) == 200U;
    }));
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 40)), 503U);
}

// Conversations need the store to keep their turns.
TEST(ProxyOutage, StoredConversationsWait)
{
    OutageWorld it;
    ASSERT_TRUE(it.start());
    it.world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(it.ask(*it.beside, "p", 100, "/kept/1")), 503U);
}

TEST(ProxyOutage, WithoutTheSettingNothingIsCalled)
{
    OutageWorld it(0);
    ASSERT_TRUE(it.world.start());
    for (int n = 0; n < 7; n++) {
        EXPECT_EQ(statusOf(it.ask(*it.world.proxy, "p", 100)), n < 6 ? 200U : 402U);
    }
    for (const auto &request : it.world.store.requests) {
        EXPECT_EQ(request.find("budget_owners"), std::string::npos);
        EXPECT_EQ(request.find("outage"), std::string::npos);
    }
}

} // namespace Vanillahall::Forward
