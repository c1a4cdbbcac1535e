/** Contents that crash servers after the proxy has ended the attempt. */
#include "proxy_world.h"

#include "vanillahall/core/crash_tracker_base.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/** How an attempt ends for the proxy before its server has ended. */
enum class AttemptEnd : std::uint8_t {
    ClientLeaves,   ///< The client closes its connection.
    TimeLimit,      ///< The time limit of the route passes.
    AnswerRejected, ///< The server sends a response that can't be passed on.
};

/** What happens to the server afterwards. */
enum class ServerFate : std::uint8_t {
    Crashes,     ///< Its port refuses connections for a while.
    Restarts,    ///< It is listed with a later start; its connections stay open.
    Survives,    ///< Nothing.
    LeavesFirst, ///< It is listed as draining, then it ends.
};

struct AbandonedCase
{
    const char *name;             ///< For the test's name.
    const char *path;             ///< Target of the requests.
    AttemptEnd end;               ///< How each attempt ends.
    ServerFate fate;              ///< What happens to its server.
    std::size_t expectedRequests; ///< Requests that reach servers.
};

class ProxyAbandoned : public ::testing::TestWithParam<AbandonedCase>
{
protected:
    static Script answer(const std::string &)
    {
        return GetParam().end == AttemptEnd::AnswerRejected ? Script{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\n"}
                                                            : Script{};
    }

    [[nodiscard]] std::size_t requestCount() const
    {
        return m_world.first.requests.size() + m_world.second.requests.size();
    }

    void change(const std::string &server, const char *field, const Json &value)
    {
        auto &row = m_world.rows.servers[server];
        auto json = Json::parse(row);
        json[field] = value;
        row = json.dump();
    }

    /** Runs the loop until a condition holds or a while has passed: a fault that isn't noticed has no other sign. */
    void runFor(Duration patience, const std::function<bool()> &until)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        m_world.run([&until, end] {
            return until() || std::chrono::steady_clock::now() > end;
        });
    }

    /** Sends the content once, and ends the attempt. @return The server that got it; null if the proxy has refused it. */
    ScriptedPeer *sendOnce(int n)
    {
        const auto before = std::pair(m_world.first.requests.size(), m_world.second.requests.size());
        TestClient client(m_world.loop, m_world.proxy->port());
        client.send(ProxyWorld::request("POST", GetParam().path, "r" + std::to_string(n), {}, "poison"));
        m_world.run([&] {
            return requestCount() > before.first + before.second || !client.received.empty();
        });
        if (GetParam().end != AttemptEnd::ClientLeaves) {
            m_world.run([&client] {
                return !client.received.empty();
            });
        }
        client.close();
        m_world.run([&client] {
            return client.isClosed;
        });
        if (requestCount() == before.first + before.second) {
            return nullptr;
        }
        return m_world.first.requests.size() > before.first ? &m_world.first : &m_world.second;
    }

    void applyFate(ScriptedPeer &server, int n)
    {
        const std::string id = &server == &m_world.first ? "s1" : "s2";
        const auto known = m_world.rows.crashRecords.size();
        const auto isCounted = [this, known] {
            return m_world.rows.crashRecords.size() > known;
        };
        switch (GetParam().fate) {
        case ServerFate::Survives:
            return;
        case ServerFate::Restarts:
            change(id, "born", 1000 + n + 1);
            runFor(2s, isCounted);
            return;
        case ServerFate::LeavesFirst:
            change(id, "state", "draining");
            m_world.run([this, &id] {
                return m_world.hasLine("server=" + id + " state=draining");
            });
            break;
        case ServerFate::Crashes:
            break;
        }
        server.crash();
        runFor(GetParam().fate == ServerFate::LeavesFirst ? 500ms : 2s, isCounted);
        server.restart();
        change(id, "state", "ready");
        m_world.lines.clear();
        runFor(2s, [this, &id] {
            return GetParam().fate != ServerFate::LeavesFirst || m_world.hasLine("server=" + id + " state=ready");
        });
    }

    ProxyWorld m_world{answer};
};

} // namespace

// A request whose client left before the crash reached server after server, since only broken connections that were still open counted.
TEST_P(ProxyAbandoned, ContentIsRefusedAfterThreeCrashesThatFollowTheEndOfItsAttempts)
{
    for (const char *it : {"s1", "s2"}) {
        change(it, "born", 1000);
    }
    ASSERT_TRUE(m_world.start());
    constexpr int Requests = 5;
    for (int n = 0; n < Requests; n++) {
        if (auto *server = sendOnce(n)) {
            applyFate(*server, n);
        }
    }
    EXPECT_EQ(requestCount(), GetParam().expectedRequests);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyAbandoned,
    ::testing::Values(AbandonedCase{"streamClientLeaves", "/stream/1", AttemptEnd::ClientLeaves, ServerFate::Crashes, CrashLimit},
                      AbandonedCase{"plainClientLeaves", "/call/1", AttemptEnd::ClientLeaves, ServerFate::Crashes, CrashLimit},
                      AbandonedCase{"clientLeavesServerRestarts", "/call/1", AttemptEnd::ClientLeaves, ServerFate::Restarts, CrashLimit},
                      AbandonedCase{"timeLimit", "/brief/1", AttemptEnd::TimeLimit, ServerFate::Crashes, CrashLimit},
                      AbandonedCase{"timeLimitServerRestarts", "/brief/1", AttemptEnd::TimeLimit, ServerFate::Restarts, CrashLimit},
                      AbandonedCase{"answerRejected", "/once/1", AttemptEnd::AnswerRejected, ServerFate::Crashes, CrashLimit},
                      AbandonedCase{"serverSurvives", "/call/1", AttemptEnd::ClientLeaves, ServerFate::Survives, 5},
                      AbandonedCase{"serverLeavesFirst", "/call/1", AttemptEnd::ClientLeaves, ServerFate::LeavesFirst, 5}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
