#include "api_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr const char *InvalidProgram = "00000000000000010000000000000002"; ///< Invalid, since the dash is missing.
constexpr const char *ValidProgram = "0000000000000001-0000000000000002";

HttpRequest makeRequest(const std::string &method, const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.peer = "10.1.1.1";
    return request;
}

std::optional<ApiRequest> decode(const HttpRequest &request, Error &reason)
{
    return decodeApi(request, ClassName{"standard"}, reason);
}

} // namespace

/** An invalid request and the expected error code. */
struct BadRequestRow
{
    const char *name;   ///< Name of the test case.
    const char *method; ///< Method.
    std::string path;   ///< Path.
    std::string body;   ///< Body.
    ErrorCode code;     ///< Expected code.
};

class BadApiRequest : public ::testing::TestWithParam<BadRequestRow>
{
};

TEST_P(BadApiRequest, IsRefusedWithStepAndPeer)
{
    Error reason;
    EXPECT_FALSE(decode(makeRequest(GetParam().method, GetParam().path, GetParam().body), reason).has_value());
    EXPECT_EQ(reason.code, GetParam().code) << reason.message;
    EXPECT_EQ(reason.run, RunState::NotRun);
    EXPECT_EQ(reason.step, Step::Decode);
    EXPECT_EQ(reason.peer, "10.1.1.1");
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    BadApiRequest,
    ::testing::Values(
        BadRequestRow{"NotJson", "POST", "/v1/programs", "{", ErrorCode::BadRequest},
        BadRequestRow{"NotObject", "POST", "/v1/programs", "[]", ErrorCode::BadRequest},
        BadRequestRow{"Deep", "POST", "/v1/programs", std::string(100000, '['), ErrorCode::BadRequest},
        BadRequestRow{"BadUtf8", "POST", "/v1/programs", "{\"class\":\"\xff\"}", ErrorCode::BadRequest},
        BadRequestRow{"NoBudget", "POST", "/v1/programs", R"({"class":"a"})", ErrorCode::BadRequest},
        BadRequestRow{"NegativeBudget",
                      "POST",
                      "/v1/programs",
                      R"({"class":"a","budget":{"tokens":-1,"calls":1,"seconds":1}})",
                      ErrorCode::BadRequest},
        BadRequestRow{
            "HugeBudget", "POST", "/v1/programs", R"({"class":"a","budget":{"tokens":1e30,"calls":1,"seconds":1}})", ErrorCode::BadRequest},
        BadRequestRow{
            "ClassNumber", "POST", "/v1/programs", R"({"class":7,"budget":{"tokens":1,"calls":1,"seconds":1}})", ErrorCode::BadRequest},
        BadRequestRow{"BadParent", "POST", "/v1/programs", R"({"parent":"x"})", ErrorCode::BadRequest},
        BadRequestRow{"BadProgram", "POST", std::string("/v1/programs/") + InvalidProgram + "/calls", "{}", ErrorCode::NotFound},
        BadRequestRow{
            "NoTurn", "POST", std::string("/v1/programs/") + ValidProgram + "/calls", R"({"kind":"model"})", ErrorCode::BadRequest},
        BadRequestRow{"TurnZero",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":0,"kind":"model","model":"m","messages":[{"role":"user","content":"x"}]})",
                      ErrorCode::BadRequest},
        BadRequestRow{"BadKind",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":1,"kind":"magic"})",
                      ErrorCode::BadRequest},
        BadRequestRow{"NoMessages",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":1,"kind":"model","model":"m","messages":[]})",
                      ErrorCode::BadRequest},
        BadRequestRow{"NoRole",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":1,"kind":"model","model":"m","messages":[{"content":"x"}]})",
                      ErrorCode::BadRequest},
        BadRequestRow{"NoRepeatable",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":1,"kind":"service","service":"s","operation":"o"})",
                      ErrorCode::BadRequest},
        BadRequestRow{"StreamText",
                      "POST",
                      std::string("/v1/programs/") + ValidProgram + "/calls",
                      R"({"turn":1,"kind":"model","model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]})",
                      ErrorCode::BadRequest},
        BadRequestRow{"NoPath", "GET", "/v1/nothing", "", ErrorCode::NotFound},
        BadRequestRow{"WrongMethod", "DELETE", "/v1/programs", "", ErrorCode::NotFound},
        BadRequestRow{"NoIfMatch", "PUT", "/v1/classes/a", R"({"target_ms":5})", ErrorCode::BadRequest}),
    [](const auto &row) {
        return row.param.name;
    });

TEST(ApiTest, SubmitOfModelCallIsDecoded)
{
    Error reason;
    const auto body = R"({"turn":3,"kind":"model","model":"m","max_tokens":9,"stream":true,"messages":[{"role":"user","content":"x"}]})";
    const auto api = decode(makeRequest("POST", std::string("/v1/programs/") + ValidProgram + "/calls", body), reason);
    ASSERT_TRUE(api.has_value()) << reason.message;
    const auto &caller = std::get<CallerApi>(*api);
    EXPECT_TRUE(caller.stream);
    const auto &submit = std::get<SubmitCall>(caller.body);
    EXPECT_EQ(submit.key.turn, Turn{3});
    EXPECT_EQ(std::get<ModelInput>(submit.input).maxTokens, 9U);
    EXPECT_EQ(submit.content, inputHash(submit.input));
}

TEST(ApiTest, ChatInsideAProgramKeepsOnlyNewMessages)
{
    HttpRequest request = makeRequest(
        "POST",
        "/v1/chat/completions",
        R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]})");
    request.headers = {{ProgramHeader, ValidProgram}, {TurnHeader, "2"}};
    Error reason;
    const auto api = decode(request, reason);
    ASSERT_TRUE(api.has_value()) << reason.message;
    const auto &chat = std::get<ChatApi>(*api);
    ASSERT_EQ(chat.input.messages.size(), 1U);
    EXPECT_NE(chat.input.messages[0].find("\"c\""), std::string::npos);
    EXPECT_EQ(chat.key->turn, Turn{2});
}

TEST(ApiTest, ConfigChangeCarriesTheExpectedVersion)
{
    HttpRequest request = makeRequest("PUT", "/v1/classes/urgent", R"({"target_ms":5000})");
    request.headers = {{IfMatchHeader, "\"7\""}};
    Error reason;
    const auto api = decode(request, reason);
    ASSERT_TRUE(api.has_value()) << reason.message;
    EXPECT_TRUE(isOperatorApi(*api));
    const auto &change = std::get<ChangeApi>(*api);
    EXPECT_EQ(change.expected, ConfigVersion{7});
    EXPECT_EQ(std::get<ClassTarget>(change.change).target, std::chrono::seconds(5));
}

TEST(ApiTest, ErrorsCarryRunStateAndRetryAfter)
{
    Error error = notRun(ErrorCode::Overloaded, Step::Admit, "entry-1", "full");
    error.retryAfter = std::chrono::milliseconds(1500);
    const HttpResponse response = encodeError(error);
    EXPECT_EQ(response.status, 503U);
    const auto body = nlohmann::json::parse(response.body)["error"];
    EXPECT_EQ(body["run"], "not_run");
    EXPECT_EQ(body["peer"], "entry-1");
    EXPECT_EQ(body["step"], "admit");
    EXPECT_EQ(body["retry_after_ms"], 1500);
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].value, "2");
}

RC_GTEST_PROP(ApiProperty, AnyBytesAreDecodedOrRefused, (const std::string &body))
{
    Error reason;
    for (const auto &path :
         {std::string("/v1/programs"), std::string("/v1/programs/") + ValidProgram + "/calls", std::string("/v1/chat/completions")}) {
        const auto api = decode(makeRequest("POST", path, body), reason);
        RC_ASSERT(api.has_value() || reason.run == RunState::NotRun);
    }
}

RC_GTEST_PROP(ApiProperty, ChangedFieldsAreDecodedOrRefused, ())
{
    nlohmann::json body = {{"turn", 1},
                           {"kind", "model"},
                           {"model", "m"},
                           {"messages", nlohmann::json::array({{{"role", "user"}, {"content", "x"}}})},
                           {"service", "s"},
                           {"operation", "o"},
                           {"repeatable", true}};
    const auto values
        = std::vector<nlohmann::json>{nullptr, true, -1, 1e300, "", "model", "service", nlohmann::json::array(), nlohmann::json::object()};
    const auto field
        = *rc::gen::elementOf(std::vector<std::string>{"turn", "kind", "model", "messages", "service", "operation", "repeatable"});
    body[field] = *rc::gen::elementOf(values);
    Error reason;
    const auto api = decode(makeRequest("POST", std::string("/v1/programs/") + ValidProgram + "/calls", body.dump()), reason);
    RC_ASSERT(api.has_value() || (reason.run == RunState::NotRun && !reason.message.empty()));
}

} // namespace Vanillahall
