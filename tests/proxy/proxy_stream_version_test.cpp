/** Streams while backend servers of two software versions serve side by side. */
#include "proxy_world.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr const char *ProgramHeaders = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 4000\r\n";
constexpr const char *NotRun = "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

void setVersion(StoreModel &rows, const std::string &server, const std::string &version)
{
    auto row = nlohmann::json::parse(rows.servers[server]);
    row["version"] = version;
    rows.servers[server] = row.dump();
}

/** A proxy, server "s1" of version v1 and server "s2" of version v2. Streams break off after their first event until `isHealthy`. */
class StreamWorld
{
public:
    explicit StreamWorld(bool hasProgram = true, const std::string &secondVersion = "v2")
        : world([this](const std::string &request) {
            const bool isResumed = request.find("\r\nLast-Event-Id: ") != std::string::npos;
            if (isHealthy || isResumed) {
                return Script{streamHead() + eventChunk(isResumed ? 2 : 1) + "0\r\n\r\n"};
            }
            return Script{streamHead() + eventChunk(1), true};
        })
        , m_headers(hasProgram ? ProgramHeaders : "")
    {
        setVersion(world.rows, "s1", "v1");
        setVersion(world.rows, "s2", secondVersion);
    }

    /** Begins a stream that breaks off. @return The server that began it. */
    ScriptedPeer &begin(const std::string &id)
    {
        const auto before = world.first.requests.size();
        EXPECT_NE(world.ask(ProxyWorld::request("POST", "/stream/1", id, m_headers)).find("id: 1"), std::string::npos);
        return world.first.requests.size() > before ? world.first : world.second;
    }

    /** Resumes a stream at a proxy. @return The response. */
    std::string resume(const Proxy &proxy, const std::string &id, const std::string &resumed)
    {
        return world.ask(proxy,
                         ProxyWorld::request("POST", "/stream/1", id, m_headers + "Last-Event-Id: 1\r\nResumes: " + resumed + "\r\n"));
    }

    ScriptedPeer &other(const ScriptedPeer &server)
    {
        return &server == &world.first ? world.second : world.first;
    }

    /** Adds a proxy on the same store. */
    std::unique_ptr<Proxy> addProxy(const std::string &name)
    {
        m_proxies++;
        return world.addProxy(name);
    }

    /** Removes a server from the list, and waits until all proxies know. */
    void remove(const ScriptedPeer &server)
    {
        const std::string id = &server == &world.first ? "s1" : "s2";
        world.rows.servers.erase(id);
        EXPECT_TRUE(world.run([this, &id] {
            return world.lineCount("server=" + id + " state=gone") >= m_proxies;
        }));
    }

    bool isHealthy = false;
    ProxyWorld world;

private:
    std::string m_headers;
    std::size_t m_proxies = 1; ///< Number of running proxies.
};

/** Process that gets the request that resumes a stream. */
enum class ResumeAt : std::uint8_t {
    SameProxy,  ///< The proxy that forwarded the beginning.
    OtherProxy, ///< A proxy that runs beside it.
    NewProxy,   ///< A proxy that was started after the beginning, so it knows only what the store has.
};

struct ResumeCase
{
    const char *name; ///< For the test's name.
    ResumeAt at;      ///< Where the stream is resumed.
    bool hasProgram;  ///< True if the stream belongs to a program with a token budget.
    bool hasLeft;     ///< True if the server that began the stream has left meanwhile.
    bool goesOn;      ///< True if the stream is expected to go on.
};

class ProxyResumedStream : public ::testing::TestWithParam<ResumeCase>
{
};

} // namespace

// Clients got streams that were joined from two software versions.
TEST_P(ProxyResumedStream, GoesOnAtTheVersionThatBeganItOrIsRefused)
{
    const auto &param = GetParam();
    constexpr int Streams = 6;
    StreamWorld streams(param.hasProgram);
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    const auto beside = streams.addProxy("beside");
    ASSERT_NE(beside, nullptr);
    auto &began = streams.begin("r0");
    if (param.hasLeft) {
        streams.remove(began);
    }
    const auto restarted = streams.addProxy("restarted");
    ASSERT_NE(restarted, nullptr);
    const auto &proxy = param.at == ResumeAt::SameProxy ? *world.proxy : (param.at == ResumeAt::OtherProxy ? *beside : *restarted);
    const auto before = began.requests.size();
    for (int n = 1; n <= Streams; n++) {
        const auto answer = streams.resume(proxy, "r" + std::to_string(n), "r0");
        EXPECT_EQ(statusOf(answer), param.goesOn ? 200U : 503U);
        EXPECT_EQ(answer.find("Retry-After: ") != std::string::npos, !param.goesOn);
    }
    EXPECT_EQ(began.requests.size() - before, param.goesOn ? Streams : 0U);
    EXPECT_EQ(streams.other(began).requests.size(), 0U);
    // A version that has left is not waited for.
    EXPECT_EQ(world.lineCount("outcome=no_server_of_version"), param.hasLeft ? Streams : 0U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyResumedStream,
                         ::testing::Values(ResumeCase{"sameProxy", ResumeAt::SameProxy, true, false, true},
                                           ResumeCase{"sameProxyWithoutProgram", ResumeAt::SameProxy, false, false, true},
                                           ResumeCase{"sameProxyVersionHasLeft", ResumeAt::SameProxy, true, true, false},
                                           ResumeCase{"otherProxy", ResumeAt::OtherProxy, true, false, true},
                                           ResumeCase{"otherProxyWithoutProgram", ResumeAt::OtherProxy, false, false, true},
                                           ResumeCase{"otherProxyVersionHasLeft", ResumeAt::OtherProxy, true, true, false},
                                           ResumeCase{"newProxy", ResumeAt::NewProxy, true, false, true},
                                           ResumeCase{"newProxyVersionHasLeft", ResumeAt::NewProxy, true, true, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Streams without a budget never went on at other proxies, although all servers had one version.
TEST_P(ProxyResumedStream, GoesOnAtAnyServerIfAllHaveOneVersion)
{
    const auto &param = GetParam();
    StreamWorld streams(param.hasProgram, "v1");
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    const auto beside = streams.addProxy("beside");
    ASSERT_NE(beside, nullptr);
    auto &began = streams.begin("r0");
    if (param.hasLeft) {
        streams.remove(began);
    }
    const auto restarted = streams.addProxy("restarted");
    ASSERT_NE(restarted, nullptr);
    const auto &proxy = param.at == ResumeAt::SameProxy ? *world.proxy : (param.at == ResumeAt::OtherProxy ? *beside : *restarted);
    const auto answer = streams.resume(proxy, "r1", "");
    EXPECT_EQ(statusOf(answer), 200U);
    EXPECT_NE(answer.find("id: 2"), std::string::npos);
}

// A stream that no row of a program names began at a version that other proxies didn't know of.
TEST(ProxyStreamVersion, IsRecordedBeforeTheFirstStreamBeginsThere)
{
    StreamWorld streams(false, "v1");
    auto &world = streams.world;
    world.rows.refusesWrites = true;
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r0"))), 503U);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), 0U);
    world.rows.refusesWrites = false;
    EXPECT_TRUE(world.run([&world] {
        return statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r1"))) == 200U;
    }));
    EXPECT_EQ(world.rows.streamVersions.size(), 1U);
}

TEST(ProxyResume, OfAProgramWithStreamsOfTwoVersionsNeedsTheProxyThatKnows)
{
    StreamWorld streams;
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    const auto beside = streams.addProxy("beside");
    ASSERT_NE(beside, nullptr);
    auto &began = streams.begin("r0");
    const auto id = &began == &world.first ? "s1" : "s2";
    const auto row = world.rows.servers[id];
    streams.remove(began);
    // The program goes on at the other version, and the first one comes back.
    EXPECT_EQ(&streams.begin("q0"), &streams.other(began));
    world.rows.servers[id] = row;
    ASSERT_TRUE(world.run([&world, id] {
        return world.lineCount(std::string("server=") + id + " state=ready") >= 4;
    }));
    const auto before = world.first.requests.size() + world.second.requests.size();
    EXPECT_EQ(statusOf(streams.resume(*beside, "r1", "r0")), 503U);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), before);
    EXPECT_EQ(statusOf(streams.resume(*world.proxy, "r2", "r0")), 200U);
    EXPECT_EQ(statusOf(streams.resume(*world.proxy, "q1", "q0")), 200U);
    EXPECT_EQ(began.requests.size(), 2U);
    EXPECT_EQ(streams.other(began).requests.size(), 2U);
}

TEST(ProxyResume, WithoutTheStoreIsRefusedAtAProxyThatDoesNotKnowTheStream)
{
    StreamWorld streams;
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    const auto beside = streams.addProxy("beside");
    ASSERT_NE(beside, nullptr);
    const auto &began = streams.begin("r0");
    world.rows.refusesAll = true;
    EXPECT_EQ(statusOf(streams.resume(*beside, "r1", "r0")), 503U);
    EXPECT_EQ(streams.other(began).requests.size(), 0U);
}

TEST(ProxyResume, ByTheProxyItselfStaysAtTheVersion)
{
    StreamWorld streams;
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    // The route allows a second attempt, but the only other server has another version.
    const auto answer = world.ask(ProxyWorld::request("POST", "/resumed/1", "r1", ProgramHeaders));
    EXPECT_NE(answer.find("id: 1\n"), std::string::npos);
    EXPECT_EQ(answer.find("id: 2\n"), std::string::npos);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), 1U);
}

TEST(ProxyProgramVersion, TurnsStayAtAVersionThatTheRowNamesWhileItServes)
{
    StreamWorld streams;
    streams.isHealthy = true;
    auto &world = streams.world;
    ASSERT_TRUE(world.start());
    constexpr std::size_t Turns = 8;
    auto &began = streams.begin("r0");
    for (std::size_t n = 1; n < Turns; n++) {
        EXPECT_EQ(&streams.begin("r" + std::to_string(n)), &began);
    }
    // The other version is used once the first one has left, and stands in the row before its first event.
    streams.remove(began);
    EXPECT_EQ(&streams.begin("q0"), &streams.other(began));
    EXPECT_EQ(streams.other(began).requests.size(), 1U);
}

TEST(ProxyProgramVersion, ATurnThatNoServerOfItsVersionTakesGoesToAnother)
{
    std::string refusing;
    ProxyWorld world([&refusing](const std::string &request) {
        const bool isRefused = !refusing.empty() && request.find("Expect-Instance: " + refusing) != std::string::npos;
        return isRefused ? Script{NotRun} : Script{streamHead() + eventChunk(1) + "0\r\n\r\n"};
    });
    setVersion(world.rows, "s1", "v1");
    setVersion(world.rows, "s2", "v2");
    ASSERT_TRUE(world.start());
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r1", ProgramHeaders))), 200U);
    refusing = world.first.requests.empty() ? "s2" : "s1";
    EXPECT_EQ(statusOf(world.ask(ProxyWorld::request("POST", "/stream/1", "r2", ProgramHeaders))), 200U);
    EXPECT_EQ(world.first.requests.size() + world.second.requests.size(), 3U);
}

} // namespace Vanillahall::Forward
