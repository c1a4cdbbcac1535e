/** The explanation of a request for operators: equal to what clients get, without a trace, and for operators only. */
#include "operator_listener.h"
#include "proxy_world.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using Json = nlohmann::json;

/** A request that is first explained and then sent. */
struct WhereCase
{
    const char *name;
    const char *path;
    const char *headers;     ///< Header fields besides the request id.
    const char *verdict;     ///< Expected verdict.
    const char *outcome;     ///< Expected outcome of a refusal, or error code; empty for none.
    unsigned status;         ///< Status that a client gets.
    const char *before = ""; ///< Path of a request that is sent before; empty for none.
    bool hasServers = true;
};

/** A proxy with an operators' listener whose configuration names the customers "a" and "b". */
class WhereWorld
{
public:
    WhereWorld()
        : world(
            [](const std::string &request) {
                const bool isStream = request.find(" /stream/") != std::string::npos;
                return Script{isStream ? streamHead() + eventChunk(1) + "0\r\n\r\n" : goodAnswer("ok")};
            },
            [](ProxySettings &settings) {
                settings.operatorListen = ProxyAddress{"127.0.0.1", 0};
            })
    {
        auto config = Json::parse(world.rows.config);
        config["routes"][0]["public"] = true; // "/call/"
        config["tenants"]
            = {{{"name", "a"}, {"apiKeys", {"secret-a"}}, {"ratePerS", 0.01}, {"burst", 0}}, {{"name", "b"}, {"apiKeys", {"secret-b"}}}};
        world.rows.config = config.dump();
    }

    /** Sends bytes to the operators' listener. @return The response, without its head if it is one. */
    std::string post(const std::string &body)
    {
        TestClient client(world.loop, world.proxy->operatorPort());
        client.send("POST /where HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                    + body);
        EXPECT_TRUE(world.run([&client] {
            return client.isClosed;
        }));
        return client.received;
    }
    Json where(const std::string &path, const std::string &headers, std::size_t bodyBytes = 4)
    {
        Json fields = Json::array({Json::array({"Request-Id", "asked"})});
        for (std::size_t at = 0; at < headers.size(); at = headers.find("\r\n", at) + 2) {
            const auto colon = headers.find(": ", at);
            fields.push_back({headers.substr(at, colon - at), headers.substr(colon + 2, headers.find("\r\n", at) - colon - 2)});
        }
        const Json body = {{"method", "POST"}, {"host", "h"}, {"path", path}, {"headers", fields}, {"body_bytes", bodyBytes}};
        answer = post(body.dump());
        return Json::parse(bodyOf(answer), nullptr, false);
    }
    unsigned send(const std::string &path, const std::string &headers)
    {
        const auto id = "sent" + std::to_string(++m_sent);
        return statusOf(world.ask(ProxyWorld::request("POST", path, id, headers, "body")));
    }

    ProxyWorld world;
    std::string answer; ///< Last response of where().

private:
    int m_sent = 0;
};

/** @return Chosen server; empty if there is none. */
std::string chosenIn(const Json &explanation)
{
    const auto choice = explanation.value("choice", Json());
    const auto chosen = choice.is_object() ? choice["chosen"] : Json();
    return chosen.is_string() ? chosen.get<std::string>() : std::string();
}

constexpr const char *Turn = "Credential: secret-b\r\nProgram-Id: p\r\nToken-Budget: 1000\r\nToken-Usage: 50,20\r\n";

class ProxyWhere : public ::testing::TestWithParam<WhereCase>
{
};

} // namespace

// Guards against an explanation that differs from what clients get, that changes something, or that shows an API key.
TEST_P(ProxyWhere, IsWhatTheClientGetsAndChangesNothing)
{
    const auto &param = GetParam();
    WhereWorld it;
    ASSERT_TRUE(it.world.start());
    if (!param.hasServers) {
        it.world.rows.servers.clear();
        ASSERT_TRUE(it.world.run([&] {
            return it.world.lineCount("state=gone") == 2;
        }));
    }
    // A few requests use up the burst of the customer with a limit.
    for (int n = 0; n < 20 && *param.before != 0 && it.send(param.before, param.headers) != param.status; n++) { }
    const auto lines = it.world.lines.size();
    const auto writes = it.world.rows.writes + it.world.rows.tokenReads;
    const auto explanation = it.where(param.path, param.headers);
    ASSERT_TRUE(explanation.is_object()) << it.answer;
    const auto again = it.where(param.path, param.headers);
    EXPECT_EQ(it.world.lines.size(), lines) << it.world.lines.back();
    EXPECT_EQ(it.world.rows.writes + it.world.rows.tokenReads, writes);
    EXPECT_EQ(it.answer.find("secret"), std::string::npos) << it.answer;
    EXPECT_FALSE(it.world.hasLine("secret"));
    EXPECT_EQ(explanation["verdict"], param.verdict) << explanation.dump(1);
    EXPECT_EQ(again["verdict"], explanation["verdict"]);
    EXPECT_EQ(chosenIn(again), chosenIn(explanation));
    const auto error = explanation.value("error", Json::object());
    const auto refusal = explanation["refusal"].is_object() ? explanation["refusal"] : Json::object();
    EXPECT_EQ(refusal.value("outcome", error.value("code", "")), param.outcome);
    const auto first = it.world.first.requests.size();
    const auto second = it.world.second.requests.size();
    EXPECT_EQ(it.send(param.path, param.headers), param.status);
    if (param.verdict == std::string("sent")) {
        EXPECT_EQ(it.world.first.requests.size() - first, chosenIn(explanation) == "s1" ? 1U : 0U);
        EXPECT_EQ(it.world.second.requests.size() - second, chosenIn(explanation) == "s2" ? 1U : 0U);
        EXPECT_EQ(explanation["choice"]["servers"].size(), 2U);
    } else if (param.verdict == std::string("refused")) {
        EXPECT_EQ(explanation["refusal"]["status"], param.status);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyWhere,
    ::testing::Values(
        WhereCase{"public", "/call/1", "", "sent", "", 200},
        WhereCase{"with_key", "/once/1", "Credential: secret-b\r\n", "sent", "", 200},
        WhereCase{"no_route", "/nowhere", "", "refused", "no_route", 404},
        WhereCase{"no_key", "/once/1", "", "refused", "key_unknown", 401},
        WhereCase{"unknown_key", "/once/1", "Credential: secret-c\r\n", "refused", "key_unknown", 401},
        WhereCase{"over_limit", "/once/1", "Credential: secret-a\r\n", "refused", "quota_spent", 429, "/once/1"},
        WhereCase{"no_server", "/call/1", "", "refused", "no_server", 503, "", false},
        WhereCase{"new_program", "/stream/1", Turn, "unknown", "token_row_unknown", 200},
        WhereCase{"known_program", "/stream/1", Turn, "sent", "", 200, "/stream/1"},
        WhereCase{"turn_on_other_route", "/once/1", "Credential: secret-b\r\nPrevious-Turn: t\r\n", "refused", "faulty_turn_name", 400}),
    [](const auto &it) {
        return std::string(it.param.name);
    });

// Guards against choice statistics, counters or gauges that an explanation changes.
TEST(ProxyWhereState, OnlyTheCounterOfExplanationsChanges)
{
    WhereWorld it;
    ASSERT_TRUE(it.world.start());
    it.send("/stream/1", Turn);
    const auto decisions = [&it] {
        std::istringstream text(it.world.proxy->metrics().text());
        std::string kept;
        for (std::string line; std::getline(text, line);) {
            // Calls to the store go on meanwhile, and gauges follow the time.
            const bool isDecision = line.find("_total") != std::string::npos && line.find("store") == std::string::npos
                && line.find("quota_calls") == std::string::npos && line.find("operator_requests") == std::string::npos;
            kept += isDecision ? line + '\n' : "";
        }
        return kept;
    };
    const auto before = decisions();
    ASSERT_NE(before.find("_total"), std::string::npos);
    for (const auto *path : {"/stream/1", "/once/1", "/nowhere"}) {
        it.where(path, Turn);
    }
    EXPECT_EQ(decisions(), before);
    EXPECT_NE(it.world.proxy->metrics().text().find("vanillahall_operator_requests_total{outcome=\"explained\"} 3"), std::string::npos);
}

// Guards against a missing configuration that is explained as a refusal for good.
TEST(ProxyWhereState, WithoutAConfigurationTheAnswerIsAnError)
{
    WhereWorld it;
    it.world.rows.refusesAll = true;
    Error reason;
    ASSERT_TRUE(it.world.proxy->start(reason)) << reason.message;
    const auto explanation = it.where("/call/1", "");
    EXPECT_EQ(explanation["error"]["code"], "no_configuration") << it.answer;
}

namespace {

/** Bytes that aren't a valid description. */
struct BadCase
{
    const char *name;
    std::string body;
    const char *code; ///< Expected code; empty if the connection is closed without an answer.
};

class BadDescription : public ::testing::TestWithParam<BadCase>
{
};

std::string described(const std::string &headers)
{
    return R"({"method":"GET","host":"h","path":"/call/1","headers":[)" + headers + "]}";
}

} // namespace

// Guards against input that is unbounded, injects header lines, or is shown in the answer although it may contain a key.
TEST_P(BadDescription, IsRejectedWithoutBeingShown)
{
    WhereWorld it;
    ASSERT_TRUE(it.world.start());
    const auto answer = it.post(GetParam().body);
    EXPECT_EQ(answer.find("secret"), std::string::npos) << answer;
    EXPECT_FALSE(it.world.hasLine("secret"));
    if (*GetParam().code == 0) {
        EXPECT_EQ(answer, "");
        return;
    }
    EXPECT_EQ(statusOf(answer), 400U) << answer;
    EXPECT_EQ(Json::parse(bodyOf(answer))["error"]["code"], GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(All,
                         BadDescription,
                         ::testing::Values(BadCase{"no_json", "secret", "bad_description"},
                                           BadCase{"no_path", R"({"method":"GET","host":"secret"})", "bad_description"},
                                           BadCase{"split_line", described(R"(["Credential","secret\r\nHost: x"])"), "bad_description"},
                                           BadCase{"no_request_id", described(R"(["Credential","secret"])"), "request_refused"},
                                           BadCase{"faulty_name", described(R"(["sec ret","secret"])"), "request_refused"},
                                           BadCase{"too_long", std::string(std::size_t{70} * 1024, ' '), ""}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

namespace {

/** Origin of a request to the operators' listener. */
struct OriginCase
{
    const char *name;
    bool isFromLoopback;
    const char *authorization;
    bool hasTokens;
    bool isAllowed;
};

class OperatorRequest : public ::testing::TestWithParam<OriginCase>
{
};

} // namespace

// Guards against a listener that explains customers' requests to anyone on the network.
TEST_P(OperatorRequest, ComesFromThisVmOrWithAToken)
{
    const auto &param = GetParam();
    const OperatorTokenCheck check = [](const std::string &token, Error & /*reason*/) {
        return token == "good";
    };
    std::string reason;
    const MessageRequest request{"POST", "/where", {}, param.authorization, param.isFromLoopback};
    EXPECT_EQ(isOperatorRequest(request, param.hasTokens ? check : OperatorTokenCheck(), reason), param.isAllowed);
    EXPECT_EQ(reason.empty(), param.isAllowed);
}

INSTANTIATE_TEST_SUITE_P(All,
                         OperatorRequest,
                         ::testing::Values(OriginCase{"loopback", true, "", false, true},
                                           OriginCase{"token", false, "Bearer good", true, true},
                                           OriginCase{"no_token", false, "", true, false},
                                           OriginCase{"other_token", false, "Bearer bad", true, false},
                                           OriginCase{"other_scheme", false, "good", true, false},
                                           OriginCase{"no_tokens_file", false, "Bearer good", false, false}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Vanillahall::Forward
