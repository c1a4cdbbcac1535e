/** Backend servers that state in their answers that they are leaving. */
#include "proxy_world.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Vanillahall::Forward {

namespace {

std::string answerOf(const std::string &statusLine, const std::string &headers)
{
    return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

/** First answer of a server, and what it says. */
struct LeavingCase
{
    const char *name;   ///< For the test's name.
    std::string path;   ///< Target of the request.
    std::string answer; ///< Answer of the server.
    bool isLeaving;     ///< True if the server gets no new request afterwards.
};

class ProxyLeaving : public ::testing::TestWithParam<LeavingCase>
{
protected:
    /** Servers "s1" and "s2", of which the one that is asked first gives the answer of the case, and all later ones are good. */
    ProxyLeaving()
        : m_world([this](const std::string &) {
            return m_requests++ == 0 ? Script{GetParam().answer} : Script{goodAnswer("ok")};
        })
    {
    }

    std::size_t m_requests = 0;
    ProxyWorld m_world;
};

} // namespace

// Servers that had said that they were leaving got new requests as long as the list of servers didn't say so.
TEST_P(ProxyLeaving, AServerThatSaysSoGetsNoNewRequestUntilItHasRestarted)
{
    const auto &param = GetParam();
    ASSERT_TRUE(m_world.start());
    m_world.ask(ProxyWorld::request("POST", param.path, "r0", {}, "body"));
    const bool wasFirst = m_world.lineCount("1506 server=s1") != 0 || (!m_world.first.requests.empty() && !param.isLeaving);
    const std::string id = wasFirst ? "s1" : "s2";
    auto &leaving = wasFirst ? m_world.first : m_world.second;
    EXPECT_EQ(m_world.lineCount("1506 server="), param.isLeaving ? 1U : 0U);
    if (!param.isLeaving) {
        return;
    }
    const auto before = leaving.requests.size();
    const auto ask = [this](int n) {
        return statusOf(m_world.ask(ProxyWorld::request("POST", "/once/1", "r" + std::to_string(n), {}, "body")));
    };
    for (int n = 1; n < 7; n++) {
        EXPECT_EQ(ask(n), 200U);
    }
    EXPECT_EQ(leaving.requests.size(), before);
    // Its row goes and comes back, still of the same start; the other server goes.
    auto row = nlohmann::json::parse(m_world.rows.servers[id]);
    const auto waitFor = [this](const std::string &line, std::size_t count) {
        return m_world.run([&] {
            return m_world.lineCount(line) >= count;
        });
    };
    m_world.rows.servers.erase(id);
    ASSERT_TRUE(waitFor("server=" + id + " state=gone", 1));
    m_world.rows.servers[id] = row.dump();
    ASSERT_TRUE(waitFor("server=" + id + " state=ready", 2));
    m_world.rows.servers.erase(id == "s1" ? "s2" : "s1");
    ASSERT_TRUE(waitFor(std::string("server=") + (id == "s1" ? "s2" : "s1") + " state=gone", 1));
    EXPECT_EQ(ask(7), 503U);
    EXPECT_EQ(leaving.requests.size(), before);
    // A new start under the same id and address is another server.
    row["born"] = 99;
    m_world.rows.servers[id] = row.dump();
    ASSERT_TRUE(waitFor("server=" + id + " state=ready", 3));
    EXPECT_EQ(ask(8), 200U);
    EXPECT_EQ(leaving.requests.size(), before + 1);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyLeaving,
    ::testing::Values(
        LeavingCase{"success", "/once/1", answerOf("200 OK", "Server-Leaving: 1\r\n"), true},
        LeavingCase{"error", "/once/1", answerOf("500 X", "Server-Leaving: 1\r\n"), true},
        LeavingCase{"refusal", "/once/1", answerOf("503 X", "Not-Executed: 1\r\nServer-Leaving: 1\r\n"), true},
        LeavingCase{"refusalWithoutReason", "/once/1", answerOf("503 X", "Server-Leaving: 1\r\n"), true},
        LeavingCase{"headOfAStream",
                    "/stream/1",
                    streamHead().replace(streamHead().find("\r\n"), 2, "\r\nserver-leaving:  1 \r\n") + eventChunk(1) + "0\r\n\r\n",
                    true},
        LeavingCase{"repeated", "/once/1", answerOf("200 OK", "Server-Leaving: 0\r\nServer-Leaving: 1\r\nServer-Leaving: x\r\n"), true},
        LeavingCase{"ofAnotherServer", "/once/1", answerOf("421 X", "Server-Leaving: 1\r\n"), false},
        LeavingCase{"absent", "/once/1", answerOf("200 OK", ""), false},
        LeavingCase{"empty", "/once/1", answerOf("200 OK", "Server-Leaving:\r\n"), false},
        LeavingCase{"zero", "/once/1", answerOf("200 OK", "Server-Leaving: 0\r\n"), false},
        LeavingCase{"oddBytes", "/once/1", answerOf("200 OK", "Server-Leaving: \xff\xfe 1\r\n"), false}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
