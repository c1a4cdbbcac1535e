#include "where_text.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

/** Header fields as an operator gives them. */
struct HeaderCase
{
    const char *name;
    std::vector<std::string> headers;
    Json expected; ///< Fields in the description; null if they are refused.
};

class WhereHeaders : public ::testing::TestWithParam<HeaderCase>
{
};

/** An explanation, and texts that its printed form must contain. */
struct TextCase
{
    const char *name;
    Json explanation;
    std::vector<std::string> words;
};

class WhereText : public ::testing::TestWithParam<TextCase>
{
};

} // namespace

// Guards against fields that reach the proxy changed, or a faulty line that is left out silently.
TEST_P(WhereHeaders, AreDescribedAsGiven)
{
    CommandContext context;
    context.headers = GetParam().headers;
    context.bodyBytes = 7;
    context.arguments = {"POST", "h", "/p?q=1"};
    const auto body = describeRequest(context);
    ASSERT_EQ(body.has_value(), !GetParam().expected.is_null());
    if (body) {
        const Json expected = {{"method", "POST"}, {"host", "h"}, {"path", "/p?q=1"}, {"headers", GetParam().expected}, {"body_bytes", 7}};
        EXPECT_EQ(Json::parse(*body), expected);
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         WhereHeaders,
                         ::testing::Values(HeaderCase{"none", {}, Json::array()},
                                           HeaderCase{"colons", {"A: b:c", "D:"}, Json::parse(R"([["A","b:c"],["D",""]])")},
                                           HeaderCase{"no_colon", {"A b"}, Json()},
                                           HeaderCase{"no_name", {": b"}, Json()}),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

// Guards against a text without the decision, its inputs, or the excluded servers.
TEST_P(WhereText, ShowsDecisionAndInputs)
{
    const auto text = explanationText(GetParam().explanation);
    for (const auto &it : GetParam().words) {
        EXPECT_NE(text.find(it), std::string::npos) << it << " is missing in\n" << text;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    WhereText,
    ::testing::Values(
        TextCase{"sent",
                 Json::parse(R"({"verdict":"sent","reason":"nearest","route":"chat","service":"svc","customer":{"name":"a","rank":1},
                     "choice":{"chosen":"s1","known":2,"considered":2,"servers":[
                     {"server":"s1","weight_ms":1.5,"terms_ms":{"wait":1.5},"ages_ms":{"load_report":120.0},"zone":"z","excluded_by":null},
                     {"server":"s2","weight_ms":9.0,"zone":"z","excluded_by":"rate_limit"}]}})"),
                 {"sent to s1", "nearest", "chat, service svc", "name=a rank=1", "load_report=120.0", "rate_limit", "2 known"}},
        TextCase{"refused",
                 Json::parse(R"({"verdict":"refused","reason":"over","refusal":{"status":429,"retry_after_ms":300.0},
                     "rate_limit":{"decision":"refused","reports_age_ms":90.0}})"),
                 {"refused\n", "status=429", "retry_after_ms=300.0", "decision=refused", "reports_age_ms=90.0"}},
        TextCase{"waits", Json::parse(R"({"verdict":"waits","reason":"full","max_wait_ms":50.0})"), {"waits\n", "at most 50.0 ms"}},
        TextCase{"empty", Json::object(), {"verdict"}}),
    [](const auto &it) {
        return std::string(it.param.name);
    });

} // namespace Vanillahall
