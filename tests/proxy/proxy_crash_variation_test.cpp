/** Requests that crash servers and come again with changes that don't matter to the fault. */
#include "proxy_world.h"

#include "vanillahall/core/crash_tracker_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

/** Way in which the requests differ from each other. */
struct Variation
{
    const char *name;                ///< For the test's name.
    std::string (*request)(int n);   ///< The nth request that crashes its server.
    std::string (*neighbour)(int n); ///< The nth request that doesn't, and shares as much as it can with the others.
    const char *feature;             ///< Feature by which the requests are recognized if neighbours are sent between them.
};

std::string program(int n)
{
    return "Program-Id: p" + std::to_string(n) + "\r\n";
}

std::string poison(int n)
{
    constexpr std::size_t BeginningBytes = 80;
    return "poison" + std::string(BeginningBytes + static_cast<std::size_t>(n), 'x');
}

std::string harmless(int n)
{
    return "harmless" + std::to_string(n);
}

std::string post(int n, const std::string &headers, const std::string &body)
{
    return ProxyWorld::request("POST", "/call/1", (body[0] == 'p' ? "r" : "n") + std::to_string(n), headers, body);
}

constexpr Variation OtherBody{"otherBody",
                              [](int n) {
                                  return post(n, program(1), poison(n));
                              },
                              [](int n) {
                                  return post(n, program(1), harmless(n));
                              },
                              "beginning="};
constexpr Variation OtherProgramAndBody{"otherProgramAndBody",
                                        [](int n) {
                                            return post(n, program(n), poison(n));
                                        },
                                        [](int n) {
                                            return post(n, program(n), harmless(n));
                                        },
                                        "beginning="};
constexpr Variation OtherPromptEnd{
    "otherPromptEnd",
    [](int n) {
        return post(n, program(n) + "Prompt-Prefix: a:100,b:50,c" + std::to_string(n) + ":10\r\n", "p" + std::to_string(n));
    },
    [](int n) {
        return post(n, program(n) + "Prompt-Prefix: a:100,d:50\r\n", harmless(n));
    },
    "prompt="};
constexpr Variation ShortBodyOfOneProgram{"shortBodyOfOneProgram",
                                          [](int n) {
                                              return post(n, program(1), "p" + std::to_string(n));
                                          },
                                          [](int n) {
                                              return post(n, program(2), harmless(n));
                                          },
                                          "caller="};
constexpr Variation NoBodyOtherProgram{"noBodyOtherProgram",
                                       [](int n) {
                                           return ProxyWorld::request("GET", "/call/poison", "r" + std::to_string(n), program(n));
                                       },
                                       [](int n) {
                                           return ProxyWorld::request("GET", "/call/1", "n" + std::to_string(n), program(n));
                                       },
                                       "path="};

class ProxyCrashVariation : public ::testing::TestWithParam<Variation>
{
protected:
    std::size_t m_crashes = 0;
    ProxyWorld m_world{[this](const std::string &request) {
        // Ids tell the requests apart, since the servers' fault depends on what no header shows.
        const bool isPoison = request.find("Request-Id: r") != std::string::npos;
        m_crashes += isPoison ? 1 : 0;
        return isPoison ? Script{"", true} : Script{goodAnswer("ok")};
    }};
};

} // namespace

// Requests to one path that crash servers were each counted by their exact bytes, so that they reached servers without end.
TEST_P(ProxyCrashVariation, ReachesFewServers)
{
    constexpr int Requests = 12;
    ASSERT_TRUE(m_world.start());
    std::string answer;
    for (int n = 0; n < Requests; n++) {
        answer = m_world.ask(GetParam().request(n));
    }
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_EQ(m_crashes, CrashLimit);
}

TEST_P(ProxyCrashVariation, LeavesRequestsThatShareAFeatureAlone)
{
    constexpr int Requests = 12;
    ASSERT_TRUE(m_world.start());
    for (int n = 0; n < Requests; n++) {
        m_world.ask(GetParam().request(n));
        EXPECT_EQ(statusOf(m_world.ask(GetParam().neighbour(n))), 200U) << n;
    }
    EXPECT_LE(m_crashes, CrashLimit + 1) << "each request may crash two servers";
    EXPECT_TRUE(m_world.hasLine(std::string("1901 ") + GetParam().feature));
}

TEST_P(ProxyCrashVariation, IsRefusedByOtherProxiesSoon)
{
    ASSERT_TRUE(m_world.start());
    const auto other = m_world.addProxy("other");
    ASSERT_NE(other, nullptr);
    for (int n = 0; n < 2; n++) {
        m_world.ask(GetParam().request(n));
    }
    EXPECT_EQ(m_crashes, CrashLimit);
    m_world.pause(std::chrono::seconds(1));
    EXPECT_EQ(statusOf(m_world.ask(*other, GetParam().request(2))), 503U);
    EXPECT_EQ(m_crashes, CrashLimit);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProxyCrashVariation,
                         ::testing::Values(OtherBody, OtherProgramAndBody, OtherPromptEnd, ShortBodyOfOneProgram, NoBodyOtherProgram),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
