/** Responses of servers with a status that HTTP doesn't define. */
#include "proxy_world.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

/** Route and framing of a response. */
struct StatusCase
{
    const char *name; ///< For the test's name.
    const char *path; ///< Path of the request.
    const char *rest; ///< Response after its status line.
};

class ProxyStatus : public ::testing::TestWithParam<std::tuple<StatusCase, const char *>>
{
};

} // namespace

// Responses below 100 were taken for interim ones, so that requests waited for their time limit; those from 600 on reached clients.
TEST_P(ProxyStatus, ThatIsInvalidIsAFailureOfTheServerAtOnce)
{
    const auto &[param, status] = GetParam();
    ProxyWorld world(
        [text = "HTTP/1.1 " + std::string(status) + " X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n" + param.rest](const auto &) {
            return Script{text};
        });
    ASSERT_TRUE(world.start());
    const auto startedAt = std::chrono::steady_clock::now();
    const auto answer = world.ask(ProxyWorld::request("POST", param.path, "r1", {}, "body"));
    EXPECT_EQ(statusOf(answer), 502U) << answer;
    EXPECT_EQ(answer.find("Response-Signature"), std::string::npos);
    constexpr auto TimeLimit = std::chrono::seconds(5); // Time limit of the routes.
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, TimeLimit / 2);
    EXPECT_TRUE(world.hasLine("failure=bad_answer"));
    EXPECT_TRUE(world.rows.crashRecords.empty()) << "the server still runs";
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyStatus,
    ::testing::Combine(
        ::testing::Values(StatusCase{"repeatable", "/call/1", "Content-Length: 2\r\n\r\nok"},
                          StatusCase{"notRepeatable", "/once/1", "Content-Length: 2\r\n\r\nok"},
                          StatusCase{"chunked", "/once/1", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
                          StatusCase{"neither", "/once/1", "\r\n"},
                          StatusCase{"stream", "/stream/1", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}),
        ::testing::Values("000", "001", "099", "600", "999")),
    [](const auto &it) {
        return std::string(std::get<0>(it.param).name) + "Status" + std::get<1>(it.param);
    });

} // namespace Vanillahall::Forward
