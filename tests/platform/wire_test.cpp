#include "vanillahall/platform/wire_header_func.h"
#include "vanillahall/platform/wire_store_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Platform {

using namespace std::chrono_literals;

/** A header of a request, and its treatment on the way to a server. */
struct HeaderCase
{
    const char *name;    ///< Header.
    HeaderPolicy policy; ///< Expected.
};

class RequestHeader : public ::testing::TestWithParam<HeaderCase>
{
};

TEST_P(RequestHeader, IsForwardedOrRemoved)
{
    EXPECT_EQ(requestHeaderPolicy(GetParam().name), GetParam().policy);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RequestHeader,
                         ::testing::Values(HeaderCase{"X-Unknown", HeaderPolicy::Forward},
                                           HeaderCase{"Request-Id", HeaderPolicy::Forward},
                                           HeaderCase{"Last-Event-Id", HeaderPolicy::Forward},
                                           HeaderCase{"Program-Id", HeaderPolicy::Forward},
                                           HeaderCase{"connection", HeaderPolicy::ConnectionOnly},
                                           HeaderCase{"Transfer-Encoding", HeaderPolicy::ConnectionOnly},
                                           HeaderCase{"hold", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Pin-Ms", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Kv-Backup", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Kv-From", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Kv-Fetch", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Expect-Instance", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Deadline-Ms", HeaderPolicy::SystemOnly},
                                           HeaderCase{"Request-Priority", HeaderPolicy::SystemOnly}));

TEST(RequestAttributes, AreReadFromHeaders)
{
    Forward::RequestAttributes attributes;
    readRequestHeader(attributes, "request-id", " 9c41 ");
    readRequestHeader(attributes, "Deadline-Ms", "4000");
    readRequestHeader(attributes, "Program-Id", "3fa81c");
    readRequestHeader(attributes, "Program-Deadline-Ms", "-12.5");
    readRequestHeader(attributes, "Token-Budget", "2296");
    readRequestHeader(attributes, "Token-Usage", "1840,287");
    readRequestHeader(attributes, "Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,broken,x:y,e4402b7d:250");
    EXPECT_FALSE(attributes.resumesStream);
    readRequestHeader(attributes, "Last-Event-Id", "12");
    EXPECT_TRUE(attributes.resumesStream);
    readRequestHeader(attributes, "resumes", " e5b2 ");
    EXPECT_EQ(attributes.resumedRequest, "e5b2");
    EXPECT_EQ(attributes.requestId, "9c41");
    EXPECT_EQ(attributes.deadline, Duration(4s));
    EXPECT_EQ(attributes.program, "3fa81c");
    EXPECT_EQ(attributes.programTimeLeft, Duration(-12500us));
    EXPECT_EQ(attributes.tokenBudget, 2296U);
    EXPECT_EQ(attributes.promptTokens, 1840U);
    EXPECT_EQ(attributes.maxGenerated, 287U);
    ASSERT_EQ(attributes.promptParts.size(), 3U);
    EXPECT_EQ(attributes.promptParts[1].id, 0x91bd3f06U);
    EXPECT_EQ(attributes.promptParts[2].tokens, 250U);
    EXPECT_EQ(attributes.lastEventId, 12U);
    readRequestHeader(attributes, "Deadline-Ms", "soon");
    EXPECT_FALSE(attributes.deadline);
}

TEST(ResponseAttributes, AreReadFromHeaders)
{
    Forward::ResponseAttributes attributes;
    readResponseHeader(attributes, "Request-Id", "a");
    readResponseHeader(attributes, "Response-Signature", "s");
    readResponseHeader(attributes, "Server-Load", "3,0,8");
    readResponseHeader(attributes, "Keep-Alive", "timeout=5, max=100");
    readResponseHeader(attributes, "Content-Type", "text/event-stream; charset=utf-8");
    EXPECT_EQ(attributes.requestId, "a");
    EXPECT_TRUE(attributes.isSigned);
    EXPECT_FALSE(attributes.isNotRun);
    ASSERT_TRUE(attributes.load);
    EXPECT_EQ(attributes.load->slots, 8U);
    EXPECT_EQ(attributes.keepAlive, Duration(5s));
    EXPECT_TRUE(attributes.isEventStream);
    readResponseHeader(attributes, "Not-Executed", "1");
    EXPECT_TRUE(attributes.isNotRun);
}

/** Value of the header that tells a server's load. */
struct LoadCase
{
    const char *name;                        ///< For the test's name.
    const char *value;                       ///< Value of the header.
    std::optional<Forward::ServerLoad> load; ///< Expected load.
};

class LoadHeader : public ::testing::TestWithParam<LoadCase>
{
};

// Guards against the loss of a whole report because of a figure that only some services add.
TEST_P(LoadHeader, IsRead)
{
    Forward::ResponseAttributes attributes;
    readResponseHeader(attributes, "server-load", GetParam().value);
    EXPECT_EQ(attributes.load, GetParam().load);
}

INSTANTIATE_TEST_SUITE_P(All,
                         LoadHeader,
                         ::testing::Values(LoadCase{"threeFigures", "3,1,8", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"fourFigures", " 3 , 1, 8,250", Forward::ServerLoad{3, 1, 8, 2.5}},
                                           LoadCase{"usual", "3,1,8,100", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"fraction", "3,1,8,62.5", Forward::ServerLoad{3, 1, 8, 0.625}},
                                           LoadCase{"zeroPercent", "3,1,8,0", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"negativePercent", "3,1,8,-50", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"hugePercent", "3,1,8,1e300", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"noNumber", "3,1,8,nan", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"emptyPercent", "3,1,8,", Forward::ServerLoad{3, 1, 8, 1}},
                                           LoadCase{"fiveFigures", "3,1,8,150,7", Forward::ServerLoad{3, 1, 8, 1.5}},
                                           LoadCase{"twoFigures", "3,1", std::nullopt},
                                           LoadCase{"faultyCount", "3,x,1,8", std::nullopt},
                                           LoadCase{"empty", "", std::nullopt}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Guards against hints that are taken from the servers or that differ from what the client sent.
TEST(RequestAttributes, LengthHintAndObjectAreReadAndForwarded)
{
    Forward::RequestAttributes attributes;
    readRequestHeader(attributes, "length-hint", " 120 ");
    readRequestHeader(attributes, "Affinity-Key", " doc/7 ");
    EXPECT_EQ(attributes.lengthHint, 120U);
    EXPECT_EQ(attributes.object, "doc/7");
    readRequestHeader(attributes, "Length-Hint", "-1");
    EXPECT_FALSE(attributes.lengthHint);
    EXPECT_EQ(requestHeaderPolicy("Length-Hint"), HeaderPolicy::Forward);
    EXPECT_EQ(requestHeaderPolicy("Affinity-Key"), HeaderPolicy::Forward);
}

/** Value of the header that names a server's rate limit. */
struct RateLimitCase
{
    const char *name;           ///< For the test's name.
    const char *value;          ///< Value of the header.
    std::optional<double> rate; ///< Expected limit, in requests per second.
};

class RateLimitHeader : public ::testing::TestWithParam<RateLimitCase>
{
};

TEST_P(RateLimitHeader, IsRead)
{
    Forward::ResponseAttributes attributes;
    readResponseHeader(attributes, "server-limit", GetParam().value);
    EXPECT_EQ(attributes.rateLimit, GetParam().rate);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RateLimitHeader,
                         ::testing::Values(RateLimitCase{"decimal", " 8.25 ", 8.25},
                                           RateLimitCase{"whole", "8", 8.0},
                                           RateLimitCase{"zero", "0", 0.0},
                                           RateLimitCase{"negative", "-1", std::nullopt},
                                           RateLimitCase{"infinite", "inf", std::nullopt},
                                           RateLimitCase{"text", "8 a second", std::nullopt},
                                           RateLimitCase{"empty", "", std::nullopt}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(ServerRequestHeaders, IsWrittenAsHeaders)
{
    std::string text;
    appendServerRequestHeaders(text, {1500ms, "i-7", 2});
    EXPECT_EQ(text, "Deadline-Ms: 1500\r\nExpect-Instance: i-7\r\nRequest-Priority: 2\r\n");
    text.clear();
    appendServerRequestHeaders(text, {-5ms, "i-7", std::nullopt});
    EXPECT_EQ(text, "Deadline-Ms: 1\r\nExpect-Instance: i-7\r\n");
}

/** Values of the header that says that a server is leaving, in the order of the response. */
struct LeavingHeaderCase
{
    const char *name;                     ///< For the test's name.
    std::vector<std::string_view> values; ///< Values.
    bool isLeaving;                       ///< Expected meaning.
};

class LeavingHeader : public ::testing::TestWithParam<LeavingHeaderCase>
{
};

TEST_P(LeavingHeader, CountsIfAValueIsOne)
{
    Forward::ResponseAttributes attributes;
    for (const auto it : GetParam().values) {
        readResponseHeader(attributes, "server-Leaving", it);
    }
    EXPECT_EQ(attributes.isLeaving, GetParam().isLeaving);
}

INSTANTIATE_TEST_SUITE_P(All,
                         LeavingHeader,
                         ::testing::Values(LeavingHeaderCase{"absent", {}, false},
                                           LeavingHeaderCase{"one", {" 1\t"}, true},
                                           LeavingHeaderCase{"empty", {""}, false},
                                           LeavingHeaderCase{"zero", {"0"}, false},
                                           LeavingHeaderCase{"list", {"1,1"}, false},
                                           LeavingHeaderCase{"oneAmongOthers", {"0", "1", "x"}, true},
                                           LeavingHeaderCase{"oddBytes",
                                                             {std::string_view("\xff\0"
                                                                               "1",
                                                                               3)},
                                                             false},
                                           LeavingHeaderCase{"longNumber", {"11111111111111111111111111"}, false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

namespace {

constexpr const char *GoodServer
    = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":24,"state":"ready","version":"v1.1","born":17,
    "models":[{"name":"m","version":1}],"coldLeftMs":50,"seq":4,"unknown":[]})";

constexpr const char *GoodConfig = R"({"version":7,"routes":[
    {"name":"r","host":"Ficu.Example","prefix":"/a/","kind":"streaming","timeoutMs":4000,"sloMs":250,"priority":1,
     "backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"resumable":true}],
    "services":[{"name":"s","maxConns":210,"engine":{"slots":24,"kvCapacity":144781,"tokensPerEvent":7}},{"name":"t"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** Returns the valid value with one field replaced, or removed if the new value is null. */
std::string withField(const char *good, const char *pointer, const nlohmann::json &value)
{
    auto json = nlohmann::json::parse(good);
    const nlohmann::json::json_pointer field(pointer);
    if (value.is_null()) {
        json[field.parent_pointer()].erase(field.back());
    } else {
        json[field] = value;
    }
    return json.dump();
}

} // namespace

TEST(ServerRow, IsDecoded)
{
    Error reason;
    const auto server = decodeServer("i-1", GoodServer, reason);
    ASSERT_TRUE(server) << reason.message;
    EXPECT_EQ(server->address, "10.0.0.9");
    EXPECT_EQ(server->port, 8080);
    EXPECT_EQ(server->slots, 24U);
    EXPECT_EQ(server->startedMs, 17U);
    EXPECT_EQ(server->models, std::vector<std::string>{"m"});
    EXPECT_EQ(server->software(), (Forward::SoftwareVersion{"s", "v1.1"}));
    EXPECT_EQ(server->sequence, 4U);
    EXPECT_EQ(decodeServer("i-1", withField(GoodServer, "/version", ""), reason)->softwareVersion, "");
    EXPECT_FALSE(server->isDraining);
    EXPECT_TRUE(decodeServer("i-1", withField(GoodServer, "/state", "draining"), reason)->isDraining);
}

class BrokenServerRow : public ::testing::TestWithParam<std::string>
{
};

TEST_P(BrokenServerRow, IsRefusedWithAReason)
{
    Error reason;
    EXPECT_FALSE(decodeServer("i-1", GetParam(), reason));
    EXPECT_EQ(reason.peer, "i-1");
    EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenServerRow,
                         ::testing::Values("",
                                           "\xff\xfe",
                                           "[]",
                                           "{",
                                           withField(GoodServer, "/service", nullptr),
                                           withField(GoodServer, "/service", 5),
                                           withField(GoodServer, "/address", "10.0.0.9"),
                                           withField(GoodServer, "/address", "10.0.0.9:0"),
                                           withField(GoodServer, "/address", "10.0.0.9:99999"),
                                           withField(GoodServer, "/slots", "24"),
                                           withField(GoodServer, "/slots", -1),
                                           withField(GoodServer, "/state", "sleeping"),
                                           withField(GoodServer, "/version", 7),
                                           withField(GoodServer, "/zone", nullptr)));

namespace {

constexpr std::size_t DeepNesting = 24000; ///< As deep as a row of the store can be nested.

std::string nested()
{
    return std::string(DeepNesting, '[') + std::string(DeepNesting, ']');
}

/** @return The valid row with a field replaced by unquoted text. */
std::string withText(const char *field, const std::string &text)
{
    auto json = nlohmann::json::parse(GoodServer);
    json[field] = "@";
    auto row = json.dump();
    return row.replace(row.find("\"@\""), 3, text);
}

} // namespace

/** A row of a server by another writer. */
struct OddServerRow
{
    const char *name;  ///< For the test's name.
    const char *id;    ///< Key of the row.
    std::string value; ///< Value of the row.
    bool isUsed;       ///< True if it names a server to use.
};

class OddServer : public ::testing::TestWithParam<OddServerRow>
{
};

// A row that another writer had left among those of the servers ended processes, or numbers in it were cut to other ones.
TEST_P(OddServer, IsRefusedOrWithinBounds)
{
    const auto &param = GetParam();
    Error reason;
    const auto server = decodeServer(param.id, param.value, reason);
    ASSERT_EQ(server.has_value(), param.isUsed) << reason.message;
    if (server) {
        EXPECT_GE(server->coldLeft, Duration::zero());
        EXPECT_LE(server->coldLeft, MaxReadTime);
        EXPECT_LE(server->slots, MaxServerSlots);
    } else {
        EXPECT_FALSE(reason.message.empty());
        EXPECT_LE(reason.message.size(), 200U);
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         OddServer,
                         ::testing::Values(OddServerRow{"nestedValue", "i-1", nested(), false},
                                           OddServerRow{"nestedWithoutEnd", "i-1", std::string(2 * DeepNesting, '['), false},
                                           OddServerRow{"nestedField", "i-1", withText("unknown", nested()), true},
                                           OddServerRow{"nestedModels", "i-1", withText("models", nested()), true},
                                           OddServerRow{"nestedSlots", "i-1", withText("slots", nested()), false},
                                           OddServerRow{"slotsAboveLimit", "i-1", withText("slots", "1000001"), false},
                                           OddServerRow{"slotsOver32Bits", "i-1", withText("slots", "4294967320"), false},
                                           OddServerRow{"slotsOver64Bits", "i-1", withText("slots", "18446744073709551640"), false},
                                           OddServerRow{"slotsBeyondAllNumbers", "i-1", withText("slots", "1e999"), false},
                                           OddServerRow{"coldForever", "i-1", withText("coldLeftMs", "1e300"), true},
                                           OddServerRow{"coldBeforeTheStart", "i-1", withText("coldLeftMs", "-1e300"), true},
                                           OddServerRow{"startBeyondAllNumbers", "i-1", withText("born", "1e999"), false},
                                           OddServerRow{"startOver64Bits", "i-1", withText("born", "18446744073709551640"), false},
                                           OddServerRow{"startOfAnotherType", "i-1", withText("born", R"("17")"), false},
                                           OddServerRow{"startWithFraction", "i-1", withText("born", "17.5"), false},
                                           OddServerRow{"noStart", "i-1", withField(GoodServer, "/born", nullptr), true},
                                           OddServerRow{"noSequence", "i-1", withField(GoodServer, "/seq", nullptr), false},
                                           OddServerRow{"sequenceOfAnotherType", "i-1", withText("seq", R"("4")"), false},
                                           OddServerRow{"sequenceNegative", "i-1", withText("seq", "-4"), false},
                                           OddServerRow{"noColdTime", "i-1", withField(GoodServer, "/coldLeftMs", nullptr), false},
                                           OddServerRow{"coldTimeOfAnotherType", "i-1", withText("coldLeftMs", "true"), false},
                                           OddServerRow{"noVersion", "i-1", withField(GoodServer, "/version", nullptr), false},
                                           OddServerRow{"noService", "i-1", withField(GoodServer, "/service", nullptr), false},
                                           OddServerRow{"noZone", "i-1", withField(GoodServer, "/zone", nullptr), false},
                                           OddServerRow{"noSlots", "i-1", withField(GoodServer, "/slots", nullptr), false},
                                           OddServerRow{"noState", "i-1", withField(GoodServer, "/state", nullptr), false},
                                           OddServerRow{"otherState", "i-1", withText("state", R"("lent")"), false},
                                           OddServerRow{"noAddress", "i-1", withField(GoodServer, "/address", nullptr), false},
                                           OddServerRow{"noModels", "i-1", withField(GoodServer, "/models", nullptr), true},
                                           OddServerRow{"portZero", "i-1", withText("address", R"("10.0.0.9:0")"), false},
                                           OddServerRow{"portOver16Bits", "i-1", withText("address", R"("10.0.0.9:73616")"), false},
                                           OddServerRow{"portNegative", "i-1", withText("address", R"("10.0.0.9:-80")"), false},
                                           OddServerRow{
                                               "portOver64Bits", "i-1", withText("address", R"("10.0.0.9:18446744073709551696")"), false},
                                           OddServerRow{"hostName", "i-1", withText("address", R"("server:80")"), false},
                                           OddServerRow{"noIpNumber", "i-1", withText("address", R"("10.0.0.256:80")"), false},
                                           OddServerRow{"idWithLineBreak", "i-1\r\nHold: x", GoodServer, false},
                                           OddServerRow{"idWithSpace", "i 1", GoodServer, false},
                                           OddServerRow{"emptyId", "", GoodServer, false},
                                           OddServerRow{"zoneWithLineBreak", "i-1", withText("zone", R"("z\nevent=1")"), false},
                                           OddServerRow{"versionWithSpace", "i-1", withText("version", R"("v 1")"), false},
                                           OddServerRow{"serviceWithLineBreak", "i-1", withText("service", R"("s\r\n")"), false}),
                         [](const auto &it) {
                             return it.param.name;
                         });

RC_GTEST_PROP(RowProperty, CorruptedRowsAreRefusedWithAReasonOrValid, ())
{
    const auto corrupted = [](std::string text) {
        const auto corruptions = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
        for (const auto &[at, byte] : corruptions) {
            text[at] = byte;
        }
        return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
    };
    Error reason;
    const auto server = decodeServer("i-1", corrupted(GoodServer), reason);
    RC_ASSERT(server.has_value() != !reason.message.empty());
    if (server) {
        RC_ASSERT(!server->service.empty() && !server->address.empty() && server->port != 0 && server->slots != 0U);
    }
    Error configReason;
    const auto config = decodeConfig(corrupted(GoodConfig), configReason);
    RC_ASSERT(config.has_value() != !configReason.message.empty());
    if (config) {
        RC_ASSERT(std::all_of(config->routes.begin(), config->routes.end(), [](const auto &it) {
            return !it.targets.empty() && it.prefix.front() == '/' && it.prefix.back() == '/' && it.maxAttempts != 0;
        }));
    }
}

TEST(ConfigRow, IsDecoded)
{
    Error reason;
    const auto config = decodeConfig(GoodConfig, reason);
    ASSERT_TRUE(config) << reason.message;
    ASSERT_EQ(config->routes.size(), 1U);
    const auto &route = config->routes[0];
    EXPECT_EQ(config->version, 7U);
    EXPECT_EQ(route.host, "ficu.example");
    EXPECT_EQ(route.repetition, Forward::Repetition::Resumable);
    EXPECT_EQ(route.timeLimit, Duration(4s));
    EXPECT_EQ(route.targets.size(), 2U);
    EXPECT_EQ(route.maxAttempts, 2U);
    EXPECT_EQ(config->services.at("s").tokensPerEvent, 7U);
    EXPECT_EQ(config->services.at("s").maxConnections, 210U);
    EXPECT_EQ(config->limits.maxBodyBytes, 1000U);
}

class BrokenConfigRow : public ::testing::TestWithParam<std::string>
{
};

TEST_P(BrokenConfigRow, IsRefusedWhole)
{
    Error reason;
    EXPECT_FALSE(decodeConfig(GetParam(), reason));
    EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenConfigRow,
                         ::testing::Values("",
                                           "null",
                                           withField(GoodConfig, "/version", nullptr),
                                           withField(GoodConfig, "/version", "7"),
                                           withField(GoodConfig, "/routes", 5),
                                           withField(GoodConfig, "/routes/0", "r"),
                                           withField(GoodConfig, "/routes/0/prefix", nullptr),
                                           withField(GoodConfig, "/routes/0/kind", "sometimes"),
                                           withField(GoodConfig, "/routes/0/backends", nullptr),
                                           withField(GoodConfig, "/services/0", "s")));

TEST(StoreCalls, TokenRowsAreDecodedAsWritten)
{
    const std::vector<Forward::SoftwareVersion> begun{{"s", "v1"}, {}, {"t", ""}};
    const Forward::TokenWrite write{"p1", {300, "a/1", 12, "z1", begun, 40, {"b", "c"}}};
    const auto call = writeTokenRowCall(write, 7000);
    const auto body = nlohmann::json::parse(call.body);
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(body["expect"][0]["ver"], 12);
    EXPECT_EQ(body["expect"][0]["part"], tokenPart("p1"));
    nlohmann::json row = body["writes"][0];
    row["ver"] = 13;
    const nlohmann::json refused = {{"rows", {row}}};
    Error reason;
    const auto answer = decodeTransaction(412, refused.dump(), reason);
    ASSERT_TRUE(answer);
    const auto tokens = decodeTokenRow(std::get<TransactionRefused>(*answer).rows.at(0), reason);
    ASSERT_TRUE(tokens);
    EXPECT_EQ(tokens->reserved, 300U);
    EXPECT_EQ(tokens->writer, "a/1");
    EXPECT_EQ(tokens->version, 13U);
    EXPECT_EQ(tokens->homeZone, "z1");
    EXPECT_EQ(tokens->streamVersions, begun);
    EXPECT_EQ(tokens->returned, 40U);
    EXPECT_EQ(tokens->outstanding(), 260U);
    EXPECT_EQ(tokens->holders, (std::vector<std::string>{"b", "c"}));
}

/** The field "returned" of a token row with 100 tokens reserved. */
struct ReturnedFieldCase
{
    const char *name;       ///< For the test's name.
    const char *field;      ///< Text of the field, or nothing.
    std::uint64_t returned; ///< Expected number.
};

class ReturnedField : public ::testing::TestWithParam<ReturnedFieldCase>
{
};

TEST_P(ReturnedField, GrantsNothingIfItIsOdd)
{
    Error reason;
    const auto row = decodeTokenRow({"p1", R"({"reserved":100,"writer":"a/1")" + std::string(GetParam().field) + "}", 3}, reason);
    ASSERT_TRUE(row) << reason.message;
    EXPECT_EQ(row->returned, GetParam().returned);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ReturnedField,
                         ::testing::Values(ReturnedFieldCase{"absent", "", 0},
                                           ReturnedFieldCase{"number", R"(,"returned":30)", 30},
                                           ReturnedFieldCase{"negative", R"(,"returned":-30)", 0},
                                           ReturnedFieldCase{"text", R"(,"returned":"30")", 0},
                                           ReturnedFieldCase{"tooMany", R"(,"returned":300)", 100}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(StoreCalls, VersionsThatCanNotBeReadAreUnknown)
{
    Error reason;
    for (const auto *begun : {"5", "[5]", R"([["s"]])", R"([["s",1]])", R"([["s","v1","x"]])"}) {
        const auto row = decodeTokenRow({"p1", R"({"reserved":1,"writer":"a/1","begun":)" + std::string(begun) + "}", 3}, reason);
        ASSERT_TRUE(row) << begun;
        EXPECT_EQ(row->streamVersions, std::vector<Forward::SoftwareVersion>(1)) << begun;
    }
}

TEST(StoreCalls, CrashRecordsAreDecodedAsWritten)
{
    using namespace std::chrono_literals;
    const Forward::CrashRecord record{0xabc, 7};
    const Forward::RequestFeatures features{{Forward::FeatureKind::Caller, 5}, {Forward::FeatureKind::Path, 0xffffffffffffffff}};
    const auto call = writeCrashesCall({{record, "vm-1/42", 5000ms, 250ms, 0xfffffffffffffffe, features, true}});
    const auto written = nlohmann::json::parse(call.body)["writes"][0];
    EXPECT_EQ(written["key"], crashKey("vm-1/42", record));
    Error reason;
    const auto value = decodeRows(R"({"ver":3,"nowMs":1,"hasMore":false,"rows":[{"key":"k","ver":3,"value":")"
                                      + written["value"].get<std::string>() + R"("}]})",
                                  reason);
    ASSERT_TRUE(value) << reason.message;
    const auto crash = decodeCrash({written["key"], value->rows.front().value, 3}, reason);
    ASSERT_TRUE(crash) << reason.message;
    EXPECT_EQ(crash->record, record);
    EXPECT_EQ(crash->process, "vm-1/42");
    EXPECT_EQ(crash->at, 5000ms);
    EXPECT_EQ(crash->span, 250ms);
    EXPECT_EQ(crash->server, 0xfffffffffffffffe);
    EXPECT_EQ(crash->features, features);
    EXPECT_TRUE(crash->isHarmless);
    for (const auto *text : {R"({"at":5000,"features":[[1]]})", R"({"at":5000,"features":[["1",2]]})", R"({"at":5000,"features":[1]})"}) {
        EXPECT_FALSE(decodeCrash({written["key"], text, 3}, reason)) << text;
    }
    EXPECT_TRUE(decodeCrash({written["key"], R"({"at":5000,"features":[[99,2]]})", 3}, reason)->features.empty())
        << "kind of a newer version";
    for (const auto *key : {"abc", "abc/7", "x/vm-1/42/7", "/vm-1/42/7"}) {
        EXPECT_FALSE(decodeCrash({key, R"({"at":5000})", 3}, reason)) << key;
    }
    EXPECT_FALSE(decodeCrash({written["key"], R"({"breaks":1})", 3}, reason));
    EXPECT_FALSE(decodeCrash({written["key"], R"({"at":18446744073709551615})", 3}, reason)) << "would overflow";
    const auto removed = nlohmann::json::parse(removeCrashesCall({crashKey("vm-1/42", record)}).body)["remove"];
    EXPECT_EQ(removed[0]["key"], written["key"]);
}

TEST(StoreCalls, RowsOfProxiesAreRemovedOnlyIfUnchanged)
{
    const auto body = nlohmann::json::parse(removeMembersCall("r", {{"vm-1", "10.0.0.1", 7000, 9}}).body);
    EXPECT_EQ(body["expect"][0]["ver"], 9);
    EXPECT_EQ(body["expect"][0]["key"], "vm-1");
    EXPECT_EQ(body["remove"][0]["key"], "vm-1");
    EXPECT_EQ(body["remove"][0]["part"], "r");
}

TEST(StoreCalls, ExpiredAndInvalidTokenRowsAreFound)
{
    StoreRows rows;
    rows.nowMs = 200000;
    rows.rows = {{"new", R"({"reserved":1,"writer":"a","at":199000})", 4},
                 {"old", R"({"reserved":1,"writer":"a","at":40000})", 5},
                 {"broken", "x", 6}};
    const auto old = expiredTokenRows(rows, 150s);
    ASSERT_EQ(old.size(), 2U);
    EXPECT_EQ(old[0].program, "old");
    EXPECT_EQ(old[0].row.version, 5U);
    EXPECT_EQ(old[1].program, "broken");
}

/** A reply to a transaction. */
struct TransactionCase
{
    const char *name;  ///< For the test's name.
    unsigned status;   ///< HTTP status.
    const char *body;  ///< Body.
    std::size_t index; ///< Index of the decoded alternative; npos if decoding fails.
};

class Transaction : public ::testing::TestWithParam<TransactionCase>
{
};

TEST_P(Transaction, IsDecodedOrRefused)
{
    Error reason;
    const auto answer = decodeTransaction(GetParam().status, GetParam().body, reason);
    EXPECT_EQ(answer ? answer->index() : std::variant_npos, GetParam().index) << reason.message;
}

INSTANTIATE_TEST_SUITE_P(All,
                         Transaction,
                         ::testing::Values(TransactionCase{"done", 200, R"({"ver":4,"nowMs":1})", 0},
                                           TransactionCase{"refused", 412, R"({"rows":[]})", 1},
                                           TransactionCase{"busy", 503, R"({"ver":4})", std::variant_npos},
                                           TransactionCase{"tooMany", 429, "", std::variant_npos},
                                           TransactionCase{"noVersion", 200, "{}", std::variant_npos},
                                           TransactionCase{"noJson", 200, "<html>", std::variant_npos}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Platform
