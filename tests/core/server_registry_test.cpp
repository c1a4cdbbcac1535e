#include "vanillahall/core/server_registry_base.h"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

Server makeServer(const std::string &id, const std::string &zone = "z1")
{
    Server server;
    server.id = id;
    server.service = "svc";
    server.address = "127.0.0.1";
    server.port = static_cast<std::uint16_t>(1000 + id.back());
    server.zone = zone;
    server.slots = 8;
    return server;
}

RequestAttributes makeTurn(const std::string &program, std::vector<PromptPart> parts)
{
    RequestAttributes attributes;
    attributes.program = program;
    attributes.promptParts = std::move(parts);
    for (const auto &it : attributes.promptParts) {
        attributes.promptTokens += it.tokens;
    }
    return attributes;
}

std::string chooseServer(const ServerRegistry &registry,
                         const RequestAttributes &attributes,
                         const std::set<std::string> &avoided = {},
                         TimePoint now = Start)
{
    const auto choice = registry.choose({"svc", &attributes, 120, &avoided, {}}, now);
    return choice ? choice->server.id : "";
}

std::string chooseServerInHome(const ServerRegistry &registry, const RequestAttributes &attributes, const std::string &homeZone)
{
    const std::set<std::string> none;
    const auto choice = registry.choose({"svc", &attributes, 120, &none, homeZone}, Start);
    return choice ? choice->server.id : "";
}

} // namespace

TEST(ServerRegistrySoftware, OnlyServersOfTheWantedVersionsAreChosen)
{
    ServerRegistry registry("z1", {});
    std::vector<Server> list;
    for (const auto *id : {"a1", "b1", "a2", "b2", "c2"}) {
        list.push_back(makeServer(id));
        list.back().softwareVersion = std::string("v") + id[1];
    }
    registry.update(list, false, Start);
    EXPECT_TRUE(registry.hasServer(SoftwareVersion{"svc", "v1"}));
    EXPECT_FALSE(registry.hasServer(SoftwareVersion{"svc", "v3"}));
    EXPECT_FALSE(registry.hasServer(SoftwareVersion{"other", "v1"}));
    const std::set<std::string> none;
    for (int n = 0; n < 50; n++) {
        // Many programs, so that the homes of some are servers of the other version.
        const auto turn = makeTurn("p" + std::to_string(n), {{1, 100}});
        const std::vector<SoftwareVersion> wanted{{"svc", "v1"}};
        const auto choice = registry.choose({"svc", &turn, 120, &none, {}, &wanted}, Start);
        ASSERT_TRUE(choice);
        EXPECT_EQ(choice->server.softwareVersion, "v1");
        // The home among the servers of the version is the same for all turns of the program, so its cache is used.
        registry.recordStart(choice->server.id, 0, turn, Start);
        EXPECT_EQ(registry.choose({"svc", &turn, 120, &none, {}, &wanted}, Start)->server.id, choice->server.id);
        registry.recordEnd(choice->server.id, 0, false);
        const std::vector<SoftwareVersion> gone{{"svc", "v3"}, {"other", "v1"}, {}};
        EXPECT_FALSE(registry.choose({"svc", &turn, 120, &none, {}, &gone}, Start));
    }
}

TEST(ServerRegistrySoftware, AServerThatComesBackWithAnotherVersionIsANewOne)
{
    ServerRegistry registry("z1", {});
    auto server = makeServer("a");
    server.softwareVersion = "v1";
    registry.update({server}, false, Start);
    server.softwareVersion = "v2";
    EXPECT_EQ(registry.update({server}, false, Start), std::vector<std::string>{"a"});
    EXPECT_FALSE(registry.hasServer(SoftwareVersion{"svc", "v1"}));
    EXPECT_TRUE(registry.hasServer(SoftwareVersion{"svc", "v2"}));
}

/** What the list says after server "a" has stated that it is leaving. */
struct LeavingCase
{
    const char *name;                       ///< For the test's name.
    std::vector<std::vector<Server>> lists; ///< Lists that follow.
    bool isUsable;                          ///< True if "a" is usable then.
};

class LeavingServer : public ::testing::TestWithParam<LeavingCase>
{
};

TEST_P(LeavingServer, IsUnusableUntilItHasRestarted)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a")}, false, Start);
    ASSERT_TRUE(registry.hasServer("svc"));
    EXPECT_TRUE(registry.recordLeaving("a"));
    EXPECT_FALSE(registry.recordLeaving("a"));
    EXPECT_FALSE(registry.hasServer("svc"));
    EXPECT_EQ(registry.listedState("a"), "ready");
    EXPECT_EQ(registry.leavingCount(), 1U);
    auto now = Start;
    for (const auto &it : GetParam().lists) {
        registry.update(it, false, now += 1s);
    }
    EXPECT_EQ(registry.hasServer("svc"), GetParam().isUsable);
    const RequestAttributes attributes;
    EXPECT_EQ(chooseServer(registry, attributes), GetParam().isUsable ? "a" : "");
}

Server restartedServer(std::uint64_t startedMs, std::uint16_t port)
{
    auto server = makeServer("a");
    server.startedMs = startedMs;
    server.port = port;
    return server;
}

INSTANTIATE_TEST_SUITE_P(All,
                         LeavingServer,
                         ::testing::Values(LeavingCase{"listedAsBefore", {{makeServer("a")}}, false},
                                           LeavingCase{"removed", {{}}, false},
                                           LeavingCase{"removedAndListedAgain", {{}, {makeServer("a")}}, false},
                                           LeavingCase{"restarted", {{restartedServer(5, makeServer("a").port)}}, true},
                                           LeavingCase{"removedAndRestarted", {{}, {restartedServer(5, makeServer("a").port)}}, true},
                                           LeavingCase{"otherPort", {{restartedServer(0, 99)}}, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** Proxies that hear from a server that it is leaving, while the list of servers stays as it was. */
class LeavingNews : public ::testing::TestWithParam<std::size_t>
{
};

// A proxy sends no request to a server later than it has heard the news, however many proxies have not heard them.
TEST_P(LeavingNews, NoRequestFollowsThem)
{
    std::vector<std::unique_ptr<ServerRegistry>> proxies;
    for (std::size_t n = 0; n < GetParam(); n++) {
        proxies.push_back(std::make_unique<ServerRegistry>("z1", ChoiceSettings()));
        proxies.back()->update({makeServer("a"), makeServer("b")}, false, Start);
    }
    constexpr std::size_t Requests = 40;
    std::size_t sentAfterTheNews = 0;
    std::size_t sentAtAll = 0;
    for (std::size_t n = 0; n < Requests * GetParam(); n++) {
        const auto now = Start + 10ms * static_cast<std::int64_t>(n / GetParam());
        auto &proxy = *proxies[n % GetParam()];
        const auto turn = makeTurn("p" + std::to_string(n), {{n, 100}});
        const std::set<std::string> none;
        const auto choice = proxy.choose({"svc", &turn, 1000, &none, {}}, now);
        ASSERT_TRUE(choice);
        if (choice->server.id == "a") {
            sentAtAll++;
            // Each answer of the server says that it is leaving.
            sentAfterTheNews += proxy.recordLeaving("a") ? 0 : 1;
        }
    }
    EXPECT_EQ(sentAfterTheNews, 0U);
    EXPECT_EQ(sentAtAll, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Proxies, LeavingNews, ::testing::Values(1, 8, 127));

TEST(LeavingServers, TheirNumberIsBounded)
{
    ServerRegistry registry("z1", {});
    std::vector<Server> list;
    for (std::size_t n = 0; n <= MaxLeavingServers; n++) {
        auto server = makeServer("a" + std::to_string(n));
        server.port = static_cast<std::uint16_t>(1 + n);
        list.push_back(server);
    }
    registry.update(list, false, Start);
    for (const auto &it : list) {
        registry.recordLeaving(it.id);
    }
    registry.update({}, false, Start + 1s);
    registry.update(list, false, Start + 2s);
    EXPECT_EQ(registry.leavingCount(), MaxLeavingServers);
}

/** Change of the list, and whether server "a" is usable afterwards. */
struct ListCase
{
    const char *name;         ///< For the test's name.
    std::vector<Server> list; ///< List that follows one with only "a".
    bool wasListUnavailable;  ///< True if the list couldn't be read before it.
    Duration later;           ///< Delay until the same list is read again.
    bool isUsable;            ///< True if "a" is usable after that.
};

class ServerList : public ::testing::TestWithParam<ListCase>
{
};

TEST_P(ServerList, IsFollowed)
{
    const auto &param = GetParam();
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a")}, false, Start);
    registry.update(param.list, param.wasListUnavailable, Start + 1s);
    registry.update(param.list, false, Start + 1s + param.later);
    EXPECT_EQ(registry.hasServer("svc"), param.isUsable);
}

Server changedServer(bool isDraining, std::uint64_t startedMs)
{
    auto server = makeServer("a");
    server.isDraining = isDraining;
    server.startedMs = startedMs;
    return server;
}

INSTANTIATE_TEST_SUITE_P(All,
                         ServerList,
                         ::testing::Values(ListCase{"stays", {makeServer("a")}, false, 0s, true},
                                           ListCase{"removed", {}, false, 0s, false},
                                           ListCase{"draining", {changedServer(true, 0)}, false, 0s, false},
                                           ListCase{"restarted", {changedServer(false, 7)}, false, 0s, true},
                                           ListCase{"expiredWhileTheListWasUnavailable", {}, true, 1s, true},
                                           ListCase{"stillMissingAfterTheGrace", {}, true, 2s, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** A sequence of lists, each with at most server "a". */
struct LateWriteCase
{
    const char *name;                      ///< For the test's name.
    std::vector<std::vector<Server>> list; ///< Lists in their order.
    bool isUsable;                         ///< True if "a" is usable after the last one.
};

class LateHeartbeat : public ::testing::TestWithParam<LateWriteCase>
{
};

// A heartbeat that the store takes late brought back a server that had left, or ended its draining.
TEST_P(LateHeartbeat, DoesNotChangeWhatIsKnown)
{
    ServerRegistry registry("z1", {});
    TimePoint now = Start;
    for (const auto &it : GetParam().list) {
        registry.update(it, false, now += 1s);
    }
    EXPECT_EQ(registry.hasServer("svc"), GetParam().isUsable);
}

Server heartbeat(std::uint64_t sequence, bool isDraining = false, std::uint64_t startedMs = 3)
{
    auto server = changedServer(isDraining, startedMs);
    server.sequence = sequence;
    return server;
}

INSTANTIATE_TEST_SUITE_P(All,
                         LateHeartbeat,
                         ::testing::Values(LateWriteCase{"earlierAfterItLeft", {{heartbeat(5)}, {}, {heartbeat(4)}}, false},
                                           LateWriteCase{"sameAfterItsRowExpired", {{heartbeat(5)}, {}, {heartbeat(5)}}, true},
                                           LateWriteCase{"laterAfterItsRowExpired", {{heartbeat(5)}, {}, {heartbeat(6)}}, true},
                                           LateWriteCase{"restartedAfterItLeft", {{heartbeat(5)}, {}, {heartbeat(1, false, 7)}}, true},
                                           LateWriteCase{
                                               "restartedWithUnknownStart", {{heartbeat(5, false, 0)}, {}, {heartbeat(1, false, 0)}}, true},
                                           LateWriteCase{"earlierWhileDraining", {{heartbeat(5, true)}, {heartbeat(4)}}, false},
                                           LateWriteCase{"laterEndsDraining", {{heartbeat(5, true)}, {heartbeat(6)}}, true},
                                           LateWriteCase{"earlierWhileReady", {{heartbeat(5)}, {heartbeat(4, true)}}, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ServerRegistry, ASecondOutageRenewsTheGraceOfExpiredServers)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a")}, false, Start);
    registry.update({}, true, Start + 4s);
    registry.update({}, true, Start + 9s);
    EXPECT_TRUE(registry.hasServer("svc"));
    registry.update({}, false, Start + 10s);
    EXPECT_TRUE(registry.hasServer("svc"));
    registry.update({}, false, Start + 11s);
    EXPECT_FALSE(registry.hasServer("svc"));
}

TEST(ServerRegistry, EntriesAgreeOnTheHomeOfAProgram)
{
    std::vector<Server> list;
    for (char c = 'a'; c < 'j'; c++) {
        list.push_back(makeServer(std::string(1, c), c < 'd' ? "z1" : "z2"));
    }
    ServerRegistry first("z1", {});
    ServerRegistry second("z2", {});
    first.update(list, false, Start);
    second.update(list, false, Start);
    std::map<std::string, int> homes;
    for (int n = 0; n < 300; n++) {
        const auto program = "program-" + std::to_string(n);
        const auto home = chooseServer(first, makeTurn(program, {{1, 500}, {100U + static_cast<unsigned>(n), 300}}));
        // A turn of a sub-agent arrives at an entry that hasn't received any turn of the program yet.
        EXPECT_EQ(chooseServer(second, makeTurn(program, {{1, 500}, {100U + static_cast<unsigned>(n), 2200}, {5000, 300}})), home);
        homes[home]++;
    }
    EXPECT_EQ(homes.size(), list.size());
}

// Load pattern: each program starts in one zone; one turn in seven, mostly of a sub-agent, arrives through another zone.
TEST(ServerRegistry, TheHomeIsInTheZoneWhereTheProgramStarted)
{
    std::vector<Server> list;
    for (char c = 'a'; c < 'j'; c++) {
        list.push_back(makeServer(std::string(1, c), c < 'd' ? "z1" : (c < 'g' ? "z2" : "z3")));
    }
    ServerRegistry first("z1", {});
    ServerRegistry second("z2", {});
    first.update(list, false, Start);
    second.update(list, false, Start);
    std::map<std::string, int> homes;
    for (int n = 0; n < 300; n++) {
        const auto attributes = makeTurn("program-" + std::to_string(n), {{1, 500}, {100U + static_cast<unsigned>(n), 300}});
        const auto home = chooseServerInHome(first, attributes, "z1");
        EXPECT_EQ(chooseServerInHome(second, attributes, "z1"), home);
        homes[home]++;
    }
    ASSERT_EQ(homes.size(), 3U);
    EXPECT_EQ(homes.begin()->first, "a");
    EXPECT_EQ(homes.rbegin()->first, "c");
}

TEST(ServerRegistry, AProgramWhoseHomeZoneHasNoServerHasItsHomeElsewhere)
{
    ServerRegistry registry("z1", {});
    auto leaving = makeServer("a", "z1");
    leaving.isDraining = true;
    registry.update({leaving, makeServer("b", "z2"), makeServer("c", "z2")}, false, Start);
    std::map<std::string, int> homes;
    for (int n = 0; n < 50; n++) {
        homes[chooseServerInHome(
            registry, makeTurn("program-" + std::to_string(n), {{1, 500}, {100U + static_cast<unsigned>(n), 300}}), "z1")]++;
    }
    EXPECT_EQ(homes.size(), 2U);
    EXPECT_EQ(homes.count("a"), 0U);
}

TEST(ServerRegistry, AFullHomeIsNotChosen)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 500}, {2, 300}});
    const auto home = chooseServer(registry, attributes);
    for (int n = 0; n < 9; n++) {
        registry.recordStart(home, 800, attributes, Start);
    }
    EXPECT_NE(chooseServer(registry, attributes), home);
}

TEST(ServerRegistry, TurnsGoToTheServerThatHasTheirPromptCached)
{
    ChoiceSettings settings;
    settings.newTokensPerTurn = 3000;
    settings.homeBonusMs = 20;
    ServerRegistry registry("z1", settings);
    registry.update({makeServer("a"), makeServer("b"), makeServer("c")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 500}, {2, 3000}});
    const auto home = chooseServer(registry, attributes);
    const std::string other = home == "a" ? "b" : "a";
    registry.recordStart(other, 3500, attributes, Start);
    registry.recordEnd(other, 3500, false);
    EXPECT_EQ(chooseServer(registry, makeTurn("p", {{1, 500}, {2, 3400}})), other);
}

TEST(ServerRegistry, TurnsReturnToTheirHomeEvenIfAnEarlierOneRanElsewhere)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b"), makeServer("c")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 500}, {2, 3000}});
    const auto home = chooseServer(registry, attributes);
    const std::string other = home == "a" ? "b" : "a";
    registry.recordStart(other, 3500, attributes, Start);
    registry.recordEnd(other, 3500, false);
    // The other entries send this program's turns to its home server, too.
    EXPECT_EQ(chooseServer(registry, makeTurn("p", {{1, 500}, {2, 3400}})), home);
}

TEST(ServerRegistry, RefusingFailingAndAvoidedServersAreNotChosen)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b")}, false, Start);
    const RequestAttributes plain;
    EXPECT_EQ(chooseServer(registry, plain, {"a"}), "b");
    EXPECT_EQ(chooseServer(registry, plain, {"a", "b"}), "");
    registry.recordFailure("a", Start);
    EXPECT_EQ(chooseServer(registry, plain), "b");
    registry.recordSuccess("a", Start);
    registry.recordRefusal("b", Start);
    EXPECT_EQ(chooseServer(registry, plain), "a");
    registry.recordMisdirection("a");
    EXPECT_EQ(chooseServer(registry, plain, {}, Start + 1s), "b");
}

TEST(ServerRegistry, ASlowHomeIsAvoidedUntilItIsTriedAgain)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b"), makeServer("c")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 500}, {2, 3000}});
    const auto home = chooseServer(registry, attributes);
    for (int n = 0; n < 20; n++) {
        for (const auto *it : {"a", "b", "c"}) {
            registry.recordEventInterval(it, it == home ? 125ms : 25ms, Start);
        }
    }
    EXPECT_NE(chooseServer(registry, attributes), home);
    EXPECT_EQ(chooseServer(registry, attributes, {}, Start + 10s), home);
}

TEST(ServerRegistry, AHomeThatFailsPartOfItsRequestsIsAvoided)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b"), makeServer("c")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 500}, {2, 3000}});
    const auto home = chooseServer(registry, attributes);
    for (int n = 0; n < 10; n++) {
        registry.recordFailure(home, Start);
        registry.recordSuccess(home, Start);
    }
    EXPECT_NE(chooseServer(registry, attributes), home);
    EXPECT_EQ(chooseServer(registry, attributes, {}, Start + 10s), home);
}

TEST(ServerRegistry, ARestartedServerHasAnEmptyPrefixCache)
{
    ServerRegistry registry("z1", {});
    const auto attributes = makeTurn("p", {{1, 600}, {2, 900}});
    const std::set<std::string> none;
    const auto unread = [&] {
        return registry.choose({"svc", &attributes, 110, &none, {}}, Start)->uncachedTokens;
    };
    registry.update({makeServer("a")}, false, Start);
    registry.recordStart("a", 0, attributes, Start);
    registry.recordEnd("a", 0, false);
    EXPECT_EQ(unread(), 0U);
    registry.update({changedServer(false, 7)}, false, Start + 1s);
    // The newest 500 tokens can't be cached at the home server by any earlier turn of the program.
    EXPECT_EQ(unread(), 500U);
}

TEST(ServerRegistry, TheExpectedTimeOfAHomeExcludesItsBonus)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b"), makeServer("c")}, false, Start);
    const auto attributes = makeTurn("p", {{1, 600}});
    const std::set<std::string> none;
    const auto choice = registry.choose({"svc", &attributes, 110, &none, {}}, Start);
    ASSERT_TRUE(choice.has_value());
    EXPECT_GE(choice->expectedMs, 0);
}

TEST(ServerRegistry, ColdServersWarmUpBeforeTheyAreChosen)
{
    ServerRegistry registry("z1", {});
    auto cold = makeServer("a");
    cold.coldLeft = 2s;
    registry.update({cold, makeServer("b")}, false, Start);
    const RequestAttributes plain;
    registry.recordStart("b", 0, plain, Start);
    EXPECT_EQ(chooseServer(registry, plain), "b");
    EXPECT_EQ(chooseServer(registry, plain, {}, Start + 3s), "a");
}

TEST(ServerRegistry, AServerListedAgainWhileRequestsRunThereIsUsedAgain)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a")}, false, Start);
    registry.recordStart("a", 0, RequestAttributes{}, Start);
    registry.update({}, false, Start + 1s);
    EXPECT_FALSE(registry.hasServer("svc"));
    registry.update({makeServer("a")}, false, Start + 2s);
    EXPECT_TRUE(registry.hasServer("svc"));
}

namespace {

/** A random list of the servers a to d. */
std::vector<Server> randomList()
{
    std::vector<Server> list;
    for (const auto *it : {"a", "b", "c", "d"}) {
        if (*rc::gen::inRange(0, 3) != 0) {
            list.push_back(makeServer(it));
            list.back().isDraining = *rc::gen::inRange(0, 4) == 0;
            list.back().startedMs = *rc::gen::inRange<std::uint64_t>(0, 2);
        }
    }
    return list;
}

/** Independent model of the servers, from the lists and reported misdirections. */
struct ListModel
{
    std::map<std::string, Server> listed;               ///< Servers of the last list.
    std::map<std::string, std::uint64_t> lostAddresses; ///< Start time of servers whose address is used by another server.

    void update(const std::vector<Server> &list)
    {
        listed.clear();
        for (const auto &it : list) {
            listed[it.id] = it;
        }
        std::erase_if(lostAddresses, [this](const auto &it) {
            return !listed.contains(it.first) || listed[it.first].startedMs != it.second;
        });
    }
    [[nodiscard]] bool isUsable(const std::string &id) const
    {
        const auto it = listed.find(id);
        return it != listed.end() && !it->second.isDraining && !lostAddresses.contains(id);
    }
    [[nodiscard]] bool hasOne() const
    {
        return isUsable("a") || isUsable("b") || isUsable("c") || isUsable("d");
    }
};

} // namespace

RC_GTEST_PROP(ServerRegistryProperty, OnlyListedServersThatDontDrainAreChosen, ())
{
    ServerRegistry registry("z1", {});
    ListModel model;
    TimePoint now = Start;
    std::map<std::string, int> running;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; n++) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        const auto id = *rc::gen::element<std::string>("a", "b", "c", "d");
        const auto action = *rc::gen::inRange(0, 7);
        if (action == 0) {
            const auto list = randomList();
            registry.update(list, false, now);
            model.update(list);
        } else if (action == 1) {
            registry.recordFailure(id, now);
        } else if (action == 2 && model.listed.contains(id)) {
            registry.recordMisdirection(id);
            model.lostAddresses[id] = model.listed[id].startedMs;
        } else if (action == 3) {
            registry.recordLoad(id, {3, 2, 8}, now);
        } else if (action == 4 && running[id] > 0) {
            running[id]--;
            registry.recordEnd(id, 300, false);
        } else if (const auto name = chooseServer(registry, makeTurn("p", {{1, 300}}), {}, now); !name.empty()) {
            RC_ASSERT(model.isUsable(name));
            running[name]++;
            registry.recordStart(name, 300, makeTurn("p", {{1, 300}}), now);
        }
        RC_ASSERT(registry.hasServer("svc") == model.hasOne());
    }
}

TEST(ServerRegistry, ConnectionsAreSharedAmongEntries)
{
    ServerRegistry registry("z1", {});
    registry.setProxies(10, 0);
    registry.update({makeServer("a")}, false, Start);
    const RequestAttributes plain;
    for (std::uint32_t n = 0; n < 12; n++) {
        EXPECT_EQ(chooseServer(registry, plain), "a");
        registry.recordStart("a", 0, plain, Start);
    }
    EXPECT_EQ(chooseServer(registry, plain), "");
    registry.recordEnd("a", 0, false);
    EXPECT_EQ(chooseServer(registry, plain), "a");
}

TEST(ServerRegistry, ReportedLoadOfOthersCounts)
{
    ServerRegistry registry("z1", {});
    registry.update({makeServer("a"), makeServer("b")}, false, Start);
    registry.recordLoad("a", {8, 6, 8}, Start);
    EXPECT_EQ(chooseServer(registry, RequestAttributes{}), "b");
}

} // namespace Vanillahall::Forward
